"""Check that requests wait for a host's first exchange of withdrawals with its peers.

A host that became ready before any peer was reachable has exchanged none when the first link opens.
It once refused the requests that came in that moment, though the exchange took some milliseconds.
"""

import threading
import time
from typing import Any

from tests.configuration.test_follower import RecordedLinks
from turmericproxy.configuration.deltas import ChangeId, Delta
from turmericproxy.configuration.resources import Kind
from turmericproxy.configuration.state import ConfigurationState
from turmericproxy.core import HostName, Refusal, ResultCode, Revision
from turmericproxy.keys import Identity, KeyController, compute_digest
from turmericproxy.keys.controller import EXCHANGE_TIMEOUT_SECONDS
from turmericproxy.settings.schema import ConfigurationSettings

SECRET = "secret"
EXCHANGE_SECONDS = 0.3


class SlowLinks(RecordedLinks):
    """Answer the exchange of withdrawals after some time, or never."""

    def __init__(self, *, is_answering: bool) -> None:
        super().__init__(revision=2)
        self._is_answering = is_answering

    def call(self, host: HostName, kind: str, body: Any, timeout: float) -> Any:
        if not self._is_answering:
            time.sleep(timeout)
            return Refusal(ResultCode.NO_UPSTREAM, "no answer")
        time.sleep(EXCHANGE_SECONDS)
        return super().call(host, kind, body, timeout)


class ConfirmedState(ConfigurationState):
    """Stand in for a configuration that the platform has just confirmed."""

    is_loaded = True

    def measure_age(self) -> float:
        return 0.0


def create_keys(links: RecordedLinks) -> KeyController:
    state = ConfirmedState()
    account = Delta(Revision(1), ChangeId("c1"), Kind.ACCOUNT, "a", {"rate": 1.0, "burst": 10})
    spec = {"account": "a", "digest": compute_digest(SECRET)}
    state.install_deltas([account, Delta(Revision(2), ChangeId("c2"), Kind.KEY, "k", spec)])
    return KeyController(state, links, ConfigurationSettings())  # type: ignore[arg-type]


def identify_while_exchanging(keys: KeyController) -> tuple[Identity | Refusal, float]:
    """Identify the key while the first exchange runs; return the result and the seconds."""
    exchange = threading.Thread(target=keys._check_peers)
    exchange.start()
    started = time.monotonic()
    result = keys.identify(SECRET)
    seconds = time.monotonic() - started
    exchange.join()
    return result, seconds


def test_request_waits_for_the_first_exchange() -> None:
    result, _ = identify_while_exchanging(create_keys(SlowLinks(is_answering=True)))
    assert isinstance(result, Identity)


def test_request_is_refused_if_no_peer_answers_the_exchange() -> None:
    result, seconds = identify_while_exchanging(create_keys(SlowLinks(is_answering=False)))
    assert isinstance(result, Refusal) and result.code is ResultCode.KEYS_TOO_OLD
    assert seconds < EXCHANGE_TIMEOUT_SECONDS + 0.5
