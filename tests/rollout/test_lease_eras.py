"""Check by random histories that orders of two hosts stay apart while the store is restored.

The store goes back to copies some seconds old, so it shows the lease of an earlier holder or none.
Writes without an answer take effect later, also in another era if a version was given out again.
Hosts restart and forget what they held, and the store rejects one from its first start until a
restoration. Whatever happens, two hosts never give orders within the
guard time of each other, and a later order never has a lower fence or another holder's fence.
"""

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from turmericproxy.core import Refusal
from turmericproxy.rollout.lease import LEASE_SECONDS
from turmericproxy.rollout.lease_manager import LEASE_KEY, LEASE_TABLE, LeaseManager
from turmericproxy.store import Changes, HistoryGone, TableState
from turmericproxy.tables.messages import AnswerLost, Committed, Conflict, Row, Transaction

GUARD_SECONDS = 3.0
HOSTS = ("a", "b", "c")
STEPS = 400
MAX_STEP_SECONDS = 0.6
MAX_COPY_AGE_SECONDS = 6.0
# Share of the restorations after which the store accepts a host that it has rejected.
ACCEPTED_SHARE = 0.5


@dataclass
class History:
    """Hold the store's row and counter, its copies, and the writes that are still under way."""

    seed: int
    clock: float = 0.0
    era: int = 1
    version: int = 0
    row: Row | None = None
    copies: list[tuple[float, int, Row | None]] = field(default_factory=list)
    late: list[Transaction] = field(default_factory=list)
    lose_next: bool = False

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)

    async def read_table(self, table: str) -> TableState | Refusal:
        rows = (self.row,) if self.row else ()
        return TableState(rows, self.version, self.clock, self.era)

    async def wait_for_changes(
        self, table: str, version: int, seconds: float
    ) -> Changes | HistoryGone | Refusal:
        raise NotImplementedError

    async def commit(self, transaction: Transaction) -> Committed | Conflict | AnswerLost | Refusal:
        if self.lose_next:
            self.lose_next = False
            self.late.append(transaction)
            return AnswerLost("no answer")
        if not self.apply(transaction):
            return Conflict((0,))
        return Committed({f"{LEASE_TABLE}/{LEASE_KEY}": self.version}, self.era)

    def apply(self, transaction: Transaction) -> bool:
        (condition,), (write,) = transaction.conditions, transaction.writes
        if condition.version != (self.row.version if self.row else None):
            return False
        self.version += 1
        self.row = Row(LEASE_KEY, write.value, self.version)
        return True

    def restore(self) -> None:
        recent = [c for c in self.copies if c[0] >= self.clock - MAX_COPY_AGE_SECONDS]
        _, self.version, self.row = self.random.choice(recent)
        self.era += 1

    def write_other_row(self) -> None:
        self.version += 1


@dataclass(frozen=True)
class Order:
    at: float
    holder: str
    fence: int


class Fleet:
    """Run lease managers on the history, and check each order that a holder may give."""

    def __init__(self, history: History) -> None:
        self.history = history
        self.managers = {host: self._create(host, is_first_start=True) for host in HOSTS}
        self.orders: list[Order] = []
        self.active = HOSTS[0]
        # The store rejects this host from its first start on.
        self.rejected: str | None = HOSTS[-1] if history.seed % 2 else None
        for host in HOSTS:
            if host != self.rejected:
                asyncio.run(self.managers[host].observe())

    def _create(self, host: str, *, is_first_start: bool) -> LeaseManager:
        return LeaseManager(
            self.history,
            host,
            GUARD_SECONDS,
            lambda: self.history.clock,
            is_first_start=is_first_start,
        )

    def step(self) -> None:
        history = self.history
        history.clock += history.random.uniform(0.0, MAX_STEP_SECONDS)
        history.copies.append((history.clock, history.version, history.row))
        if history.random.random() < 0.05:
            self.active = history.random.choice(HOSTS)
        event = history.random.random()
        if event < 0.02:
            history.restore()
            if self.rejected and history.random.random() < ACCEPTED_SHARE:
                self.active, self.rejected = self.rejected, None
        elif event < 0.06:
            host = history.random.choice(HOSTS)
            if host != self.rejected:
                self.managers[host] = self._create(host, is_first_start=False)
        elif event < 0.12:
            history.write_other_row()
        elif event < 0.2 and history.late:
            history.apply(history.late.pop(0))
        else:
            history.lose_next = history.random.random() < 0.1
            if self.active != self.rejected:
                asyncio.run(self.managers[self.active].acquire())
        self._check_orders()

    def _check_orders(self) -> None:
        for host, manager in self.managers.items():
            if not manager.is_held():
                continue
            order = Order(self.history.clock, host, manager.fence)
            for earlier in reversed(self.orders):
                if earlier.holder != host:
                    assert order.at - earlier.at >= GUARD_SECONDS, (earlier, order)
                    assert order.fence > earlier.fence, (earlier, order)
                    break
                assert order.fence >= earlier.fence, (earlier, order)
            self.orders.append(order)


@pytest.mark.parametrize("seed", range(60))
def test_orders_of_two_holders_stay_apart_over_restorations(seed: int) -> None:
    fleet = Fleet(History(seed))
    for _ in range(STEPS):
        fleet.step()
    assert len({order.holder for order in fleet.orders}) > 1
    assert fleet.history.era > 1


def test_host_that_was_rejected_since_the_first_start_waits_for_lost_leases() -> None:
    """Guard against orders of two hosts at once after the store lost the lease of one of them.

    The store rejects a host while the fleet starts for the first time, and returns from a copy that
    is older than the lease of another host. Its missing row doesn't tell that none was written.
    """
    history = History(1)
    fleet = Fleet(history)
    assert fleet.rejected == "c"
    history.clock = 10.0
    copy = (history.version, history.row)
    assert asyncio.run(fleet.managers["a"].acquire()) == 0.0
    history.clock = 11.0
    history.version, history.row = copy
    history.era += 1
    assert asyncio.run(fleet.managers["c"].acquire()) > 0.0
    assert not fleet.managers["c"].is_held()
    history.clock += GUARD_SECONDS + LEASE_SECONDS
    assert asyncio.run(fleet.managers["c"].acquire()) == 0.0


def test_first_order_of_a_new_fleet_needs_no_wait() -> None:
    """Guard against a first start in which each host waits for a holder that never was."""
    fleet = Fleet(History(0))
    fleet.history.clock = 30.0
    assert asyncio.run(fleet.managers["b"].acquire()) == 0.0
    assert fleet.managers["b"].is_held()
