"""Check the notice of pauses."""

from turmericproxy.core.clock import PauseDetector


def test_watch_reports_a_pause_longer_than_its_limit() -> None:
    now = [0.0]
    watch = PauseDetector(limit=5.0, read_clock=lambda: now[0])
    now[0] = 4.0
    assert not watch.is_paused()
    now[0] = 9.5
    assert watch.is_paused()
    assert watch.record_tick() == 9.5
    assert not watch.is_paused()
