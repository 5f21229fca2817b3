"""Check that loads of servers are decoded, and that faulty ones are no report."""

import logging

import pytest

from turmericproxy.edge import AnswerHead, Headers
from turmericproxy.placement.load_reports import LoadReport
from turmericproxy.platform.load_reports import LoadReportReader, parse_load


def create_head(load: str, server: str = "one") -> AnswerHead:
    return AnswerHead(200, Headers((("x-server-load", load), ("X-Instance-Id", server))))


def test_three_figures_report_no_speed() -> None:
    assert parse_load("3,0,8") == LoadReport(3, 0, 8)


@pytest.mark.parametrize(("text", "slowdown"), [("3, 1, 16, 60", 0.6), ("0,0,16,400", 4.0)])
def test_fourth_figure_is_the_slowdown_in_percent(text: str, slowdown: float) -> None:
    report = parse_load(text)
    assert report is not None
    assert report.slowdown == slowdown


@pytest.mark.parametrize(
    "text",
    [
        "",
        "3,0",
        "3,0,8,",
        "3,0,8,0",
        "3,0,8,-60",
        "3,0,8,1e2",
        "3,0,8,60.5",
        "3,0,8,nan",
        "a,0,8,60",
    ]
    + ["-1,0,8,60", "3,0,8,99999", "3,0,8,60,1", "3,0,8,²", "9" * 5000, "3,0,99999999,60"],
)
def test_faulty_loads_are_no_report(text: str) -> None:
    assert parse_load(text) is None


def test_faulty_loads_are_logged_once_for_each_server(caplog: pytest.LogCaptureFixture) -> None:
    """Guard against a log line for each answer of a faulty server."""
    reader = LoadReportReader()
    logger = logging.getLogger("turmericproxy")
    logger.propagate = True
    with caplog.at_level(logging.INFO, "turmericproxy"):
        for _ in range(50):
            assert reader.read(create_head("3,0,8,x")) is None
            assert reader.read(create_head("none", "two")) is None
            assert reader.read(AnswerHead(200, Headers(()))) is None
    assert len([r for r in caplog.records if "unreadable load" in r.message]) == 2
