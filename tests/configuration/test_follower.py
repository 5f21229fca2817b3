"""Check what a host forwards to its linked hosts."""

from collections.abc import Callable
from typing import Any

from turmericproxy.configuration.deltas import ChangeId, Delta
from turmericproxy.configuration.follower import MAX_DIGEST_DELAY_SECONDS, Follower
from turmericproxy.configuration.messages import DELTA_KIND, encode_deltas
from turmericproxy.configuration.resources import Kind
from turmericproxy.configuration.state import ConfigurationState
from turmericproxy.core import DomainName, HostName, Incarnation, Revision
from turmericproxy.keys import KeyController
from turmericproxy.keys.controller import MARKS_KIND
from turmericproxy.peers import PeerState
from turmericproxy.settings.schema import ConfigurationSettings


class RecordedLinks:
    """Record broadcasts; the only linked peer has ``revision`` and its confirmation ``age``."""

    def __init__(self, revision: int, age: float | None = None) -> None:
        self.handlers: dict[str, Callable[[HostName, Any], Any]] = {}
        self.sent: list[tuple[str, Any]] = []
        self._peer = PeerState(
            HostName("p"),
            DomainName("d"),
            Incarnation("i"),
            {"revision": revision} | ({} if age is None else {"configuration_age": age}),
        )

    def register(self, kind: str, handler: Callable[[HostName, Any], Any]) -> None:
        self.handlers[kind] = handler

    def set_digest(self, name: str, value: Any) -> None:
        pass

    def list_reachable(self) -> tuple[PeerState, ...]:
        return (self._peer,)

    def call(self, host: HostName, kind: str, body: Any, timeout: float) -> Any:
        return {"open": [], "covered": {}, "deltas": []}

    def broadcast(self, kind: str, body: Any) -> int:
        self.sent.append((kind, body))
        return 1


def create_deltas(count: int) -> list[Delta]:
    return [
        Delta(Revision(n), ChangeId(f"c{n}"), Kind.MODEL, "m", {"version": str(n)})
        for n in range(1, count + 1)
    ]


def test_new_deltas_are_forwarded_once_and_known_ones_never() -> None:
    links = RecordedLinks(revision=2)
    follower = Follower(None, links, ConfigurationSettings(), ConfigurationState())  # type: ignore[arg-type]
    deltas = create_deltas(4)
    for _ in range(2):
        links.handlers[DELTA_KIND](HostName("p"), encode_deltas(reversed(deltas)))
        follower._check_peers()
    assert links.sent == [(DELTA_KIND, encode_deltas(deltas[2:]))]


def test_confirmation_age_of_a_peer_with_a_newer_revision_is_ignored() -> None:
    for revision, limit in ((0, 100.0 + MAX_DIGEST_DELAY_SECONDS), (1, float("inf"))):
        links = RecordedLinks(revision, age=100.0)
        follower = Follower(None, links, ConfigurationSettings(), ConfigurationState())  # type: ignore[arg-type]
        follower._check_peers()
        assert limit <= follower.measure_age() <= limit + 5


def test_new_marks_are_forwarded_once() -> None:
    links = RecordedLinks(revision=0)
    state = ConfigurationState()
    keys = KeyController(state, links, ConfigurationSettings())  # type: ignore[arg-type]
    marks = {"open": ["k1"], "covered": {"k2": 3}}
    for _ in range(2):
        links.handlers[MARKS_KIND](HostName("p"), marks)
        keys._check_peers()
    assert links.sent == [(MARKS_KIND, marks)]
