"""Check that requests after a pause of the process wait for current keys."""

from turmericproxy.keys.pauses import CATCH_UP_SECONDS, PauseGuard


class FakeTime:
    """Clock that advances by assignment and by ``sleep``."""

    def __init__(self) -> None:
        self.now = 100.0

    def sleep(self, seconds: float) -> None:
        self.now += seconds


def create_guard(time: FakeTime, current_at: float) -> PauseGuard:
    return PauseGuard(2.0, lambda _: time.now >= current_at, lambda: time.now, time.sleep)


def test_request_after_a_pause_waits_until_the_state_is_current() -> None:
    time = FakeTime()
    guard = create_guard(time, current_at=130.6)
    guard.tick()
    time.now = 130.0
    guard.await_current()
    assert 130.6 <= time.now < 130.7
    guard.await_current()
    assert time.now < 130.7


def test_isolated_host_waits_only_for_the_catch_up_time() -> None:
    time = FakeTime()
    guard = create_guard(time, current_at=1e9)
    time.now = 130.0
    guard.await_current()
    assert time.now < 130.0 + CATCH_UP_SECONDS + 0.1


def test_process_that_was_not_paused_does_not_wait() -> None:
    time = FakeTime()
    guard = create_guard(time, current_at=1e9)
    time.now += 1.9
    guard.await_current()
    assert time.now == 101.9
