"""Check by random histories that orders of two hosts stay apart while the store answers slowly.

Hosts ask for the lease at the same time. Each call takes up to 1.2 s to reach the store or to be
answered. Hosts stop and start asking, some answers are lost, and the store goes back to copies.
"""

import asyncio
import random
from collections import Counter

import pytest

from tests.rollout.test_lease_eras import (
    GUARD_SECONDS,
    HOSTS,
    MAX_COPY_AGE_SECONDS,
    History,
    Order,
)
from tests.traffic.test_silence import VirtualTimeLoop
from turmericproxy.core import Refusal
from turmericproxy.rollout.lease_manager import EXTENSION_SECONDS, LeaseManager
from turmericproxy.store import TableState
from turmericproxy.tables.messages import AnswerLost, Committed, Conflict, Transaction

MAX_CALL_SECONDS = 1.2
RUN_SECONDS = 240.0
CHECK_SECONDS = 0.02
# Mean time between restorations, and for which a host asks for the lease.
RESTORATION_SECONDS = 25.0
ACTIVE_SECONDS = 12.0
LOST_SHARE = 0.05


class SlowHistory(History):
    """Delay each call on its way to the store and back."""

    def read_time(self) -> float:
        return asyncio.get_running_loop().time()

    async def read_table(self, table: str) -> TableState | Refusal:
        back = await self._travel()
        self.clock = self.read_time()
        state = await super().read_table(table)
        await asyncio.sleep(back)
        return state

    async def commit(self, transaction: Transaction) -> Committed | Conflict | AnswerLost | Refusal:
        back = await self._travel()
        is_applied = self.apply(transaction)
        key = f"{transaction.writes[0].table}/{transaction.writes[0].key}"
        result = Committed({key: self.version}, self.era) if is_applied else Conflict((0,))
        await asyncio.sleep(back)
        return AnswerLost("no answer") if self.random.random() < LOST_SHARE else result

    async def _travel(self) -> float:
        """Wait for the way to the store; return the seconds of the way back."""
        seconds = MAX_CALL_SECONDS * self.random.choice((0.0, 0.5, 1.0, self.random.random()))
        there = seconds * self.random.choice((0.0, 1.0, self.random.random()))
        await asyncio.sleep(there)
        return seconds - there


class SlowFleet:
    """Run the lease managers of some hosts, and record each order that a holder may give."""

    def __init__(self, seed: int) -> None:
        self.history = SlowHistory(seed)
        self.random = random.Random(seed)
        self.orders: list[Order] = []
        self.held: Counter[str] = Counter()
        self.managers = {
            host: LeaseManager(
                self.history, host, GUARD_SECONDS, self.history.read_time, is_first_start=False
            )
            for host in HOSTS
        }

    async def run(self) -> None:
        tasks = [asyncio.create_task(self._ask(host)) for host in HOSTS]
        tasks.append(asyncio.create_task(self._disturb()))
        for _ in range(int(RUN_SECONDS / CHECK_SECONDS)):
            self._check_orders()
            await asyncio.sleep(CHECK_SECONDS)
        for task in tasks:
            task.cancel()

    async def _ask(self, host: str) -> None:
        while True:
            until = self.history.read_time() + self.random.expovariate(1 / ACTIVE_SECONDS)
            while self.history.read_time() < until:
                pause = 0.1
                if self.managers[host].needs_extension():
                    pause = min(await self.managers[host].acquire() or 0.1, EXTENSION_SECONDS)
                await asyncio.sleep(pause)
            await asyncio.sleep(self.random.expovariate(1 / ACTIVE_SECONDS))

    async def _disturb(self) -> None:
        history = self.history
        next_at = self.random.expovariate(1 / RESTORATION_SECONDS)
        while True:
            history.clock = history.read_time()
            history.copies.append((history.clock, history.version, history.row))
            history.copies = history.copies[-int(MAX_COPY_AGE_SECONDS / 0.25) - 1 :]
            if history.clock >= next_at:
                history.restore()
                next_at = history.clock + self.random.expovariate(1 / RESTORATION_SECONDS)
            await asyncio.sleep(0.25)

    def _check_orders(self) -> None:
        for host, manager in self.managers.items():
            if not manager.is_held():
                continue
            self.held[host] += 1
            order = Order(self.history.read_time(), host, manager.fence)
            earlier = self.orders[-1] if self.orders else None
            if earlier and earlier.holder != host:
                assert order.at - earlier.at >= GUARD_SECONDS, (earlier, order)
                assert order.fence > earlier.fence, (earlier, order)
            self.orders.append(order)


@pytest.mark.parametrize("seed", range(30))
def test_orders_of_two_holders_stay_apart_while_the_store_is_slow(seed: int) -> None:
    """Guard against leases that end later here than in the store, or than others wait for."""
    fleet = SlowFleet(seed)
    loop = VirtualTimeLoop()
    try:
        loop.run_until_complete(fleet.run())
    finally:
        loop.close()
    assert len(fleet.held) > 1
    assert fleet.history.era > 1


def test_holder_keeps_usable_time_though_each_answer_takes_long() -> None:
    """Guard against leases that have expired by the time at which a slow store grants them."""

    class Steady(SlowHistory):
        async def _travel(self) -> float:
            await asyncio.sleep(MAX_CALL_SECONDS)
            return 0.0

    fleet = SlowFleet(1)
    fleet.history = Steady(1)
    manager = LeaseManager(
        fleet.history, "a", GUARD_SECONDS, fleet.history.read_time, is_first_start=False
    )
    fleet.managers = {"a": manager}

    async def run() -> None:
        task = asyncio.create_task(fleet._ask("a"))
        for _ in range(1000):
            fleet._check_orders()
            await asyncio.sleep(CHECK_SECONDS)
        task.cancel()

    fleet.random.expovariate = lambda _rate: 60.0  # type: ignore[method-assign]
    loop = VirtualTimeLoop()
    try:
        loop.run_until_complete(run())
    finally:
        loop.close()
    # Of 20 s, the first 7.4 s are the guard time, a read before and after it, and the first write.
    assert fleet.held["a"] * CHECK_SECONDS > 3.0
