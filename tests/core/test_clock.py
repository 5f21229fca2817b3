"""Check the detection of pauses."""

from turmericproxy.core.clock import PauseDetector


def test_detector_reports_a_pause_longer_than_its_limit() -> None:
    now = [0.0]
    detector = PauseDetector(limit=5.0, read_clock=lambda: now[0])
    now[0] = 4.0
    assert not detector.is_paused()
    now[0] = 9.5
    assert detector.is_paused()
    assert detector.record_tick() == 9.5
    assert not detector.is_paused()
