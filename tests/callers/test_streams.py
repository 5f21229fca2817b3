"""Check whether a chat whose attempt failed waits for another engine."""

import pytest

from turmericproxy.callers.streams import is_final
from turmericproxy.core import ResultCode, refuse


@pytest.mark.parametrize(
    ("code", "retry_after", "has_started", "seconds_left", "expected"),
    [
        # When engines crash in turn, a restarted one may have no free slot for a moment.
        (ResultCode.OVERLOADED, 0.5, False, 1.5, False),
        (ResultCode.OVERLOADED, 0.5, False, 0.4, True),
        (ResultCode.NO_UPSTREAM, 0.5, False, 0.4, False),
        (ResultCode.OVERLOADED, 0.5, True, 0.4, False),
        (ResultCode.DEADLINE_UNREACHABLE, 0.1, False, 1.5, True),
        (ResultCode.KEY_WITHDRAWN, None, True, 9.0, True),
    ],
)
def test_failed_chat_waits_if_an_engine_may_become_available_in_time(
    code: ResultCode,
    retry_after: float | None,
    has_started: bool,
    seconds_left: float,
    expected: bool,
) -> None:
    refusal = refuse(code, "reason", retry_after=retry_after)
    assert is_final(refusal, has_started, seconds_left) is expected
