"""Check what callers are told about keys and routes that a host doesn't know."""

import pytest

from turmericproxy.core import ResultCode, refuse
from turmericproxy.traffic.confirmation import MAX_CERTAIN_AGE_SECONDS, confirm_refusal


@pytest.mark.parametrize("code", [ResultCode.KEY_UNKNOWN, ResultCode.UNKNOWN_ROUTE])
@pytest.mark.parametrize("age", [None, MAX_CERTAIN_AGE_SECONDS + 0.1, 60.0])
def test_unknown_key_or_route_is_not_denied_without_a_confirmed_configuration(
    code: ResultCode, age: float | None
) -> None:
    """Guard against 401 and 404 for what an operator added while the host reached no store."""
    result = confirm_refusal(refuse(code, "unknown"), age)
    assert result.code is ResultCode.KEYS_TOO_OLD
    assert result.retry_after is not None


@pytest.mark.parametrize("age", [0.0, MAX_CERTAIN_AGE_SECONDS])
def test_unknown_key_is_denied_by_a_confirmed_configuration(age: float) -> None:
    refusal = refuse(ResultCode.KEY_UNKNOWN, "unknown")
    assert confirm_refusal(refusal, age) is refusal


def test_missing_key_is_denied_by_any_configuration() -> None:
    refusal = refuse(ResultCode.KEY_MISSING, "the route needs a key")
    assert confirm_refusal(refusal, 60.0) is refusal
