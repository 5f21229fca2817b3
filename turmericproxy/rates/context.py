"""Provide the dependencies that the managers of the rate ledger share."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from turmericproxy.configuration import Snapshot
from turmericproxy.core import HostName, Incarnation
from turmericproxy.peers import PeerState
from turmericproxy.rates.leases import LEASE_FRACTION, Lessor
from turmericproxy.rates.ledger import Member
from turmericproxy.rates.local_buckets import LocalBuckets
from turmericproxy.rates.table import Platform, RateTable
from turmericproxy.settings.schema import RateSettings


class Links(Protocol):
    """Define the calls to other hosts that this package needs."""

    def register(self, kind: str, handler: Callable[[HostName, Any], Any]) -> None:
        """Call ``handler`` with the sender and body of each frame of a kind."""

    def call(self, host: HostName, kind: str, body: Any, timeout: float | None = None) -> Any:
        """Return the reply of another host, or a refusal after ``timeout`` seconds."""

    def send(self, host: HostName, kind: str, body: Any) -> bool:
        """Send a frame without a reply; return whether it was handed to the network."""

    def broadcast(self, kind: str, body: Any) -> int:
        """Send a frame to every linked host, and return to how many."""

    def list_reachable(self) -> tuple[PeerState, ...]:
        """Return the hosts that answer heartbeats."""


@dataclass(frozen=True)
class RateContext:
    """Bundle the identity of this host with the interfaces and settings of its managers."""

    member: Member
    incarnation: Incarnation
    platform: Platform
    links: Links
    local_buckets: LocalBuckets
    settings: RateSettings
    read_snapshot: Callable[[], Snapshot]
    read_clock: Callable[[], float]

    @property
    def table(self) -> RateTable:
        """Return the rate ledger in the platform's table."""
        return RateTable(self.platform)

    @property
    def identity(self) -> Lessor:
        """Return the identity of this process as a lessor."""
        return Lessor(self.member.host, self.incarnation)

    @property
    def lease_seconds(self) -> float:
        """Return the length of a lease in seconds."""
        return self.settings.regrant_after * LEASE_FRACTION
