"""Hold what the managers of the rate ledger share."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from turmericproxy.configuration import Snapshot
from turmericproxy.core import HostName, Incarnation
from turmericproxy.peers import PeerState
from turmericproxy.rates.leases import LEASE_SHARE, Lessor
from turmericproxy.rates.ledger import Member
from turmericproxy.rates.local_buckets import LocalBuckets
from turmericproxy.rates.table import Platform, RateTable
from turmericproxy.settings.schema import RateSettings


class Links(Protocol):
    """Name the calls to other hosts that the rates need."""

    def register(self, kind: str, handler: Callable[[HostName, Any], Any]) -> None:
        """Call a handler for each frame of a kind."""

    def call(self, host: HostName, kind: str, body: Any, timeout: float | None = None) -> Any:
        """Return the reply of another host, or a refusal."""

    def send(self, host: HostName, kind: str, body: Any) -> bool:
        """Send without waiting."""

    def broadcast(self, kind: str, body: Any) -> int:
        """Send to every linked host."""

    def list_reachable(self) -> tuple[PeerState, ...]:
        """Return the hosts that answer."""


@dataclass(frozen=True)
class RateContext:
    """Name this host and reach the platform, the other hosts, the configuration and the clock."""

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
    def process(self) -> Lessor:
        """Return this process as the lessor of others."""
        return Lessor(self.member.host, self.incarnation)

    @property
    def lease(self) -> float:
        """Return the length of a lease in seconds."""
        return self.settings.regrant_after * LEASE_SHARE
