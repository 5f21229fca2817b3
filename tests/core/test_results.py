"""Check that the result codes and their HTTP statuses match."""

from turmericproxy.core.results import HTTP_STATUS, ResultCode


def test_every_code_has_an_http_status() -> None:
    assert set(HTTP_STATUS) == set(ResultCode)
