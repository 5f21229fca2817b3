"""Offer the ways to keep a rate over all hosts under one interface, to be measured."""

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
MOVE_KIND = "bench.move"
MOVE_SECONDS = 0.1
CENTRAL_TABLE = "bench"


class RatePolicy(ABC):
    """Admit tokens at the hosts of a fleet in one way."""

    def __init__(self, rate: float, burst: int, seed: int, settings: RateSettings) -> None:
        self.rate = rate
        self.burst = burst
        self.fleet = RateFleet(settings, seed=seed)

    def start(self) -> None:
        """Start the fleet and wait until it can admit."""
        self.fleet.start(HOSTS_PER_DOMAIN)
        self.prepare()

    @abstractmethod
    def prepare(self) -> None:
        """Put the client account into force."""

    @abstractmethod
    def admit(self, host: HostName, tokens: int) -> bool:
        """Return whether a request is admitted at a host."""

    def lose_host(self, host: HostName) -> None:
        """Kill a host."""
        self.fleet.hosts[host].kill()

    def close(self) -> None:
        """End the fleet."""
        self.fleet.close()

    def list_hosts(self) -> tuple[HostName, ...]:
        """Return the names of the hosts that run."""
        return tuple(host.host for host in self.fleet.list_running())


class DebitPolicy(RatePolicy):
    """Split the rate into buckets and let hosts debit each other's."""

    def prepare(self) -> None:
        """Wait until the whole rate is handed out and claimed."""
        self.fleet.set_account(ACCOUNT, self.rate, self.burst)
        end = read_boottime() + READY_SECONDS
        pause = threading.Event()
        while read_boottime() < end and self._measure_level() < self.burst * 0.9 - 1:
            pause.wait(0.05)

    def _measure_level(self) -> float:
        reports = [r for h in self.fleet.list_running() for r in h.controller.list_buckets()]
        return sum(report.level for report in reports if report.is_open)

    def admit(self, host: HostName, tokens: int) -> bool:
        """Ask the host's controller."""
        controller = self.fleet.hosts[host].controller
        return not isinstance(
            controller.admit(ACCOUNT, tokens, read_boottime() + DEADLINE_SECONDS), Refusal
        )


class StaticPolicy(RatePolicy):
    """Give each host an equal share that never moves."""

    def prepare(self) -> None:
        """Fill an equal bucket at each host."""
        names = self.list_hosts()
        rates, bursts = divide(int(self.rate * MICRO), len(names)), divide(
            self.burst * MICRO, len(names)
        )
        now = _read_micro()
        self._buckets = {
            name: Bucket(rate, burst, burst, now)
            for name, rate, burst in zip(names, rates, bursts, strict=True)
        }
        self._lock = threading.Lock()

    def admit(self, host: HostName, tokens: int) -> bool:
        """Spend from the host's own bucket."""
        with self._lock:
            result = buckets.spend(self._buckets[host], tokens * MICRO, _read_micro())
            if result:
                self._buckets[host] = result[0]
            return result is not None


class MovingPolicy(StaticPolicy):
    """Move half of another host's share, with its level, to the host that runs short.

    A share whose message is lost is lost; this is measured without such losses.
    """

    def prepare(self) -> None:
        """Let each host answer requests for its share."""
        super().prepare()
        for host in self.fleet.list_running():
            host.links.register(MOVE_KIND, partial(self._hand_over, host.host))

    def admit(self, host: HostName, tokens: int) -> bool:
        """Spend from the host's own bucket, after moves if it is short."""
        for peer in self._order_peers(host):
            if super().admit(host, tokens):
                return True
            reply = self.fleet.hosts[host].links.call(peer, MOVE_KIND, {}, MOVE_SECONDS)
            if isinstance(reply, dict):
                self._take_in(host, reply)
        return super().admit(host, tokens)

    def _order_peers(self, host: HostName) -> Sequence[HostName]:
        own = self.fleet.hosts[host].domain
        reachable = self.fleet.hosts[host].links.list_reachable()
        return [p.host for p in sorted(reachable, key=lambda p: (p.domain != own, p.host))]

    def _hand_over(self, name: HostName, _sender: HostName, _body: Any) -> dict[str, int]:
        with self._lock:
            old = buckets.refill(self._buckets[name], _read_micro())
            level = old.level // 2
            rate, depth = old.rate // 2, max(old.depth // 2, level)
            self._buckets[name] = Bucket(
                old.rate - rate, old.depth - depth, old.level - level, old.updated
            )
            return {"rate": rate, "depth": depth, "level": level}

    def _take_in(self, name: HostName, moved: dict[str, Any]) -> None:
        with self._lock:
            old = buckets.refill(self._buckets[name], _read_micro())
            self._buckets[name] = Bucket(
                old.rate + moved["rate"],
                old.depth + moved["depth"],
                old.level + moved["level"],
                old.updated,
            )


class CentralPolicy(RatePolicy):
    """Keep one bucket in the platform's table and change it by conditional writes."""

    def prepare(self) -> None:
        """Write the full bucket."""
        client = self.fleet.list_running()[0].platform
        now = _read_micro()
        value = {"level": self.burst * MICRO, "updated": now}
        client.commit(
            Transaction(
                (Condition(CENTRAL_TABLE, ACCOUNT, None),), (Write(CENTRAL_TABLE, ACCOUNT, value),)
            )
        )

    def admit(self, host: HostName, tokens: int) -> bool:
        """Read and write the bucket until no other host was faster, or the deadline is over."""
        client = self.fleet.hosts[host].platform
        end = read_boottime() + DEADLINE_SECONDS
        while read_boottime() < end:
            row = client.read_row(CENTRAL_TABLE, ACCOUNT)
            if not isinstance(row, Row):
                return False
            old = Bucket(
                int(self.rate * MICRO),
                self.burst * MICRO,
                row.value["level"],
                row.value["updated"],
            )
            result = buckets.spend(old, tokens * MICRO, _read_micro())
            if result is None:
                return False
            value = {"level": result[0].level, "updated": result[0].updated}
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
    "moving": MovingPolicy,
    "central": CentralPolicy,
}


def create_policy(
    name: str, rate: float, burst: int, seed: int, settings: RateSettings
) -> RatePolicy:
    """Return a policy by its name."""
    return POLICIES[name](rate, burst, seed, settings)


def _read_micro() -> int:
    return int(read_boottime() * MICRO)
