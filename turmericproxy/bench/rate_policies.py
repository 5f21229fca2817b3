"""Implement several ways to enforce a rate limit over all hosts behind one interface."""

import threading
from abc import ABC, abstractmethod
from collections.abc import Sequence
from functools import partial
from typing import Any

from turmericproxy.bench.rate_fleet import RateFleet
from turmericproxy.core import AccountName, HostName, Refusal, read_boottime
from turmericproxy.core import bucket as buckets
from turmericproxy.core.bucket import MICRO, Bucket
from turmericproxy.rates.ledger import divide
from turmericproxy.settings.schema import RateSettings
from turmericproxy.tables import Committed, Condition, Row, Transaction, Write

ACCOUNT = AccountName("measured")
HOSTS_PER_DOMAIN = (3, 3, 2)
READY_SECONDS = 15.0
DEADLINE_SECONDS = 0.5
TRANSFER_KIND = "bench.move"
TRANSFER_TIMEOUT_SECONDS = 0.1
CENTRAL_TABLE = "bench"


class RatePolicy(ABC):
    """Define the interface of the rate-limiting policies."""

    def __init__(self, rate: float, burst: int, seed: int, settings: RateSettings) -> None:
        self.rate = rate
        self.burst = burst
        self.fleet = RateFleet(settings, seed=seed)

    def start(self) -> None:
        """Start the fleet and wait until it can admit requests."""
        self.fleet.start(HOSTS_PER_DOMAIN)
        self.prepare()

    @abstractmethod
    def prepare(self) -> None:
        """Set up the client account."""

    @abstractmethod
    def admit(self, host: HostName, tokens: int) -> bool:
        """Return whether a request is admitted at a host."""

    def kill_host(self, host: HostName) -> None:
        """Kill a host."""
        self.fleet.hosts[host].kill()

    def close(self) -> None:
        """Stop the fleet."""
        self.fleet.close()

    def list_hosts(self) -> tuple[HostName, ...]:
        """Return the names of the running hosts."""
        return tuple(host.host for host in self.fleet.list_running())


class DebitPolicy(RatePolicy):
    """Split the rate into a bucket for each host, which hosts may debit remotely."""

    def prepare(self) -> None:
        """Set the client account and wait until the hosts have claimed 90 % of the burst."""
        self.fleet.set_account(ACCOUNT, self.rate, self.burst)
        deadline = read_boottime() + READY_SECONDS
        timer = threading.Event()
        while read_boottime() < deadline and self._measure_level() < self.burst * 0.9 - 1:
            timer.wait(0.05)

    def _measure_level(self) -> float:
        reports = [r for h in self.fleet.list_running() for r in h.controller.list_buckets()]
        return sum(report.level for report in reports if report.is_open)

    def admit(self, host: HostName, tokens: int) -> bool:
        """Request admission from the host's rate controller."""
        controller = self.fleet.hosts[host].controller
        return not isinstance(
            controller.admit(ACCOUNT, tokens, read_boottime() + DEADLINE_SECONDS), Refusal
        )


class StaticPolicy(RatePolicy):
    """Give each host a fixed, equal share of the rate."""

    def prepare(self) -> None:
        """Create an equal, full bucket for each host."""
        names = self.list_hosts()
        rates, bursts = divide(int(self.rate * MICRO), len(names)), divide(
            self.burst * MICRO, len(names)
        )
        now = _read_boottime_micros()
        self._buckets = {
            name: Bucket(rate, burst, burst, now)
            for name, rate, burst in zip(names, rates, bursts, strict=True)
        }
        self._lock = threading.Lock()

    def admit(self, host: HostName, tokens: int) -> bool:
        """Spend from the host's own bucket."""
        with self._lock:
            spent = buckets.spend(self._buckets[host], tokens * MICRO, _read_boottime_micros())
            if spent:
                self._buckets[host] = spent[0]
            return spent is not None


class ShareTransferPolicy(StaticPolicy):
    """Transfer half of another host's share, with its level, to a host whose bucket is short.

    A share is lost if the message that carries it is lost. No messages are lost in this benchmark.
    """

    def prepare(self) -> None:
        """Create the buckets and let each host answer transfer requests."""
        super().prepare()
        for host in self.fleet.list_running():
            host.links.register(TRANSFER_KIND, partial(self._release_half, host.host))

    def admit(self, host: HostName, tokens: int) -> bool:
        """Spend from the host's own bucket, after transfers from peers if it is short."""
        for peer in self._order_peers(host):
            if super().admit(host, tokens):
                return True
            reply = self.fleet.hosts[host].links.call(
                peer, TRANSFER_KIND, {}, TRANSFER_TIMEOUT_SECONDS
            )
            if isinstance(reply, dict):
                self._add_share(host, reply)
        return super().admit(host, tokens)

    def _order_peers(self, host: HostName) -> Sequence[HostName]:
        own = self.fleet.hosts[host].domain
        reachable = self.fleet.hosts[host].links.list_reachable()
        return [p.host for p in sorted(reachable, key=lambda p: (p.domain != own, p.host))]

    def _release_half(self, name: HostName, _sender: HostName, _body: Any) -> dict[str, int]:
        with self._lock:
            bucket = buckets.refill(self._buckets[name], _read_boottime_micros())
            level = bucket.level // 2
            rate, depth = bucket.rate // 2, max(bucket.depth // 2, level)
            self._buckets[name] = Bucket(
                bucket.rate - rate, bucket.depth - depth, bucket.level - level, bucket.updated
            )
            return {"rate": rate, "depth": depth, "level": level}

    def _add_share(self, name: HostName, transfer: dict[str, Any]) -> None:
        with self._lock:
            bucket = buckets.refill(self._buckets[name], _read_boottime_micros())
            self._buckets[name] = Bucket(
                bucket.rate + transfer["rate"],
                bucket.depth + transfer["depth"],
                bucket.level + transfer["level"],
                bucket.updated,
            )


class CentralPolicy(RatePolicy):
    """Store one bucket in the platform's table and update it by conditional writes."""

    def prepare(self) -> None:
        """Write a full bucket to the table."""
        client = self.fleet.list_running()[0].platform
        now = _read_boottime_micros()
        value = {"level": self.burst * MICRO, "updated": now}
        client.commit(
            Transaction(
                (Condition(CENTRAL_TABLE, ACCOUNT, None),), (Write(CENTRAL_TABLE, ACCOUNT, value),)
            )
        )

    def admit(self, host: HostName, tokens: int) -> bool:
        """Read and write the bucket; retry after a conflict until the deadline."""
        client = self.fleet.hosts[host].platform
        deadline = read_boottime() + DEADLINE_SECONDS
        while read_boottime() < deadline:
            row = client.read_row(CENTRAL_TABLE, ACCOUNT)
            if not isinstance(row, Row):
                return False
            bucket = Bucket(
                int(self.rate * MICRO),
                self.burst * MICRO,
                row.value["level"],
                row.value["updated"],
            )
            spent = buckets.spend(bucket, tokens * MICRO, _read_boottime_micros())
            if spent is None:
                return False
            value = {"level": spent[0].level, "updated": spent[0].updated}
            outcome = client.commit(
                Transaction(
                    (Condition(CENTRAL_TABLE, ACCOUNT, row.version),),
                    (Write(CENTRAL_TABLE, ACCOUNT, value),),
                )
            )
            if isinstance(outcome, Committed):
                return True
        return False


POLICIES: dict[str, type[RatePolicy]] = {
    "debits": DebitPolicy,
    "static": StaticPolicy,
    "moving": ShareTransferPolicy,
    "central": CentralPolicy,
}


def create_policy(
    name: str, rate: float, burst: int, seed: int, settings: RateSettings
) -> RatePolicy:
    """Create a policy by its name in ``POLICIES``."""
    return POLICIES[name](rate, burst, seed, settings)


def _read_boottime_micros() -> int:
    return int(read_boottime() * MICRO)
