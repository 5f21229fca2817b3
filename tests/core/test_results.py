"""Check the table of result codes."""

from turmericproxy.core.results import HTTP_STATUS, ResultCode


def test_every_code_has_an_http_status() -> None:
    assert set(HTTP_STATUS) == set(ResultCode)
