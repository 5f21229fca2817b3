"""Check what one host does with a field of an upstream's limit that it can't read."""

import logging

import pytest

from turmericproxy.core import HostName
from turmericproxy.core.ids import InstanceId
from turmericproxy.limits.controller import FleetView, LimitController
from turmericproxy.metrics import Metrics
from turmericproxy.placement.notices import UpstreamNotice

UPSTREAM, START = InstanceId("u"), 7
UNREADABLE = UpstreamNotice(is_limit_unreadable=True)


# Guards against a log line for each answer, and against limits that nobody has named.
def test_unreadable_limit_is_no_limit_and_is_logged_once(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(logging.getLogger("turmericproxy"), "propagate", True)
    host = HostName("h")
    controller = LimitController(host, lambda: FleetView((host,), 1), Metrics())
    with caplog.at_level(logging.INFO, logger="turmericproxy"):
        for start in (START, START, START + 1):
            controller.record_notice(UPSTREAM, start, UNREADABLE, 0.0)
    assert controller.find_limit(UPSTREAM, START + 1) is None
    assert len(caplog.records) == 2
