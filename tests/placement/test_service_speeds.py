"""Check the figures that are learned of a service, apart from the speed of its engines."""

import random

import pytest

from turmericproxy.placement.service_speeds import ServiceSpeeds
from turmericproxy.placement.stream_gaps import UNOBSERVED, StreamGaps


def test_gap_and_its_growth_are_learned_apart_from_speed() -> None:
    """Use the figures of engines A: 6 steps of 6.08 ms, and 0.041 ms for each running request."""
    speeds, source = ServiceSpeeds(), random.Random(4)
    for _ in range(400):
        requests, slowdown = source.randint(0, 15), source.choice([0.6, 1.0, 1.67])
        gap = 6 * (0.00608 + 0.000041 * requests) * slowdown
        speeds.record_stream(gap, requests, 1.5 * slowdown, slowdown)
        speeds.record_events(294, 49)
    assert speeds.event_seconds == pytest.approx(6 * 0.00608, rel=0.05)
    assert speeds.event_seconds_per_request == pytest.approx(6 * 0.000041, rel=0.1)
    assert speeds.stream_seconds == pytest.approx(1.5, rel=0.05)
    assert speeds.tokens_per_event == pytest.approx(6.0, rel=0.05)


def test_prefill_rate_of_110_000_tokens_a_second_is_learned_beside_queues() -> None:
    """Guard against a rate that falls with queues of prompts that the host doesn't know."""
    speeds, source = ServiceSpeeds(), random.Random(4)
    for _ in range(600):
        slowdown = source.choice([0.6, 1.0, 1.67])
        hidden = source.choice([0, 0, 2_890, 9_190])
        seconds = ((2_890 + hidden) / 110_000 + speeds.event_seconds) * slowdown
        speeds.record_prefill(2_890, seconds, slowdown)
    assert 80_000 < speeds.tokens_per_second < 130_000


def test_stalled_engine_changes_the_figures_little() -> None:
    speeds = ServiceSpeeds()
    before = speeds.event_seconds
    speeds.record_stream(30.0, 3, 60.0, 1.0)
    assert speeds.event_seconds < 1.5 * before


def test_gaps_of_a_stream_are_reported_once_it_is_complete() -> None:
    reports: list[tuple[float, int, float]] = []
    gaps = StreamGaps(lambda *report: reports.append(report))
    for at in (1.0, 1.1, 1.2, 1.5, 1.6):
        gaps.record_event(at)
    gaps.close()
    assert reports == [(pytest.approx(0.1), 5, pytest.approx(0.6))]


def test_unobserved_streams_keep_nothing() -> None:
    """Guard against gaps that pile up where no engine reports its speed."""
    for at in range(100):
        UNOBSERVED.record_event(float(at))
    UNOBSERVED.close()
    assert not UNOBSERVED._gaps
