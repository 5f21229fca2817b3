"""Check with the controllers of many hosts that their requests together keep and use a limit.

A limit of about one a second is, for each of 195 hosts, one request in three minutes: neither equal
parts nor one request of each host can keep and use it.
"""

import itertools
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

import pytest

from turmericproxy.core import HostName, RequestId
from turmericproxy.core.hashing import choose_by_hash
from turmericproxy.core.ids import InstanceId
from turmericproxy.limits.controller import (
    GONE_SECONDS,
    MAX_LEARNING_SECONDS,
    FleetView,
    LimitController,
)
from turmericproxy.limits.messages import LimitState
from turmericproxy.limits.permits import Applicant
from turmericproxy.metrics import Metrics
from turmericproxy.placement.notices import UpstreamNotice

UPSTREAM, START = InstanceId("u"), 7
STEP_SECONDS, DELAY_SECONDS = 0.04, 0.08
WINDOW_SECONDS = 4.0
# Time until hosts notice that others are cut off.
DETECTION_SECONDS = 1.3


@dataclass
class Fleet:
    """Controllers that exchange states with a delay; ``sides`` are cut off from each other."""

    size: int
    seed: int = 1
    now: float = 100.0
    arrivals: list[float] = field(default_factory=list)
    severed: list[set[HostName]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)
        self._numbers = itertools.count()
        self.names = [HostName(f"h{n}") for n in range(self.size)]
        self.sides = [list(self.names)]
        self._known_sides = self.sides
        self._detected_at = 0.0
        self.hosts = {name: self._create(name) for name in self.names}
        self._sent: list[tuple[float, HostName, LimitState]] = []

    def _create(self, name: HostName) -> LimitController:
        def describe() -> FleetView:
            side = next(s for s in self._known_sides if name in s)
            if self.severed:
                side = [other for other in side if not self._is_severed(name, other)]
            return FleetView(tuple(side), self.size)

        return LimitController(name, describe, Metrics(), lambda: self.now)

    def _is_severed(self, one: HostName, other: HostName) -> bool:
        return {one, other} in self.severed and self.now >= self._detected_at

    def sever(self, one: HostName, other: HostName) -> None:
        """Cut two hosts off from each other; all others go on to see both."""
        self.severed.append({one, other})
        self._detected_at = self.now + DETECTION_SECONDS

    def cut(self, *sides: Iterable[HostName]) -> None:
        self.sides = [list(side) for side in sides]
        self._detected_at = self.now + DETECTION_SECONDS

    def answer(self, name: HostName, per_second: float | None, age: float = 0.0) -> None:
        notice = UpstreamNotice(request_limit=per_second)
        self.hosts[name].record_notice(UPSTREAM, START, notice, age)

    def restart(self, name: HostName) -> None:
        self.hosts[name] = self._create(name)
        for other in self.names:
            if other != name:
                self.hosts[name].receive(other, self.hosts[other].create_state())

    def play(
        self, seconds: float, per_second: float, busy: list[HostName] | None = None
    ) -> tuple[int, int]:
        """Send requests to random hosts; return how many there were, and how many were sent on."""
        asked = sent = 0
        debt = 0.0
        for _ in range(round(seconds / STEP_SECONDS)):
            debt += per_second * STEP_SECONDS
            while debt >= 1:
                debt -= 1
                asked += 1
                sent += self._ask(self._random.choice(busy or self.names))
            self._exchange()
            self.now += STEP_SECONDS
        return asked, sent

    def _ask(self, name: HostName) -> bool:
        host = self.hosts[name]
        applicant = Applicant(RequestId(str(next(self._numbers))), 0, None)
        if not host.may_send(UPSTREAM, START, applicant):
            host.turn_away(UPSTREAM, START, applicant)
            return False
        host.record_sent(UPSTREAM, START, applicant)
        self.arrivals.append(self.now)
        return True

    def _exchange(self) -> None:
        if self._known_sides != self.sides and self.now >= self._detected_at:
            self._known_sides = self.sides
            for side in self.sides:
                for name in side:
                    for other in set(self.names) - set(side):
                        self.hosts[name].forget_peer(other)
        for name, host in self.hosts.items():
            if state := host.take_state():
                self._sent.append((self.now + DELAY_SECONDS, name, state))
        due = [entry for entry in self._sent if entry[0] <= self.now]
        self._sent = [entry for entry in self._sent if entry[0] > self.now]
        for _, sender, state in due:
            for name in next(side for side in self.sides if sender in side):
                if name != sender and {name, sender} not in self.severed:
                    self.hosts[name].receive(sender, state)

    def count_most(self, start: float) -> int:
        times = [at for at in self.arrivals if at >= start]
        return max(
            (sum(end - WINDOW_SECONDS < at <= end for at in times) for end in times), default=0
        )


def check(fleet: Fleet, limit: float, named_at: float) -> None:
    assert fleet.count_most(named_at + 0.5) <= 1.5 * limit * WINDOW_SECONDS + 5


@pytest.mark.parametrize(
    ("size", "limit", "per_second"),
    [(1, 2.0, 33), (3, 0.4, 33), (8, 1.1, 33), (8, 40.0, 60), (70, 3.0, 200), (195, 1.1, 500)],
)
def test_limit_is_kept_and_used(size: int, limit: float, per_second: float) -> None:
    fleet = Fleet(size)
    named_at = fleet.now
    fleet.answer(fleet.names[0], limit)
    fleet.play(3.0, per_second)
    _, sent = fleet.play(12.0, per_second)
    check(fleet, limit, named_at)
    assert sent >= 0.8 * limit * 12.0


def test_only_the_host_with_the_work_uses_the_limit() -> None:
    fleet = Fleet(8)
    fleet.answer(fleet.names[0], 2.0)
    fleet.play(3.0, 33, [fleet.names[5]])
    _, sent = fleet.play(10.0, 33, [fleet.names[5]])
    assert sent >= 0.8 * 2.0 * 10.0


# An upstream under its limit takes all requests, except those that hosts hold no permit for yet.
def test_little_work_is_sent_on() -> None:
    fleet = Fleet(3)
    fleet.answer(fleet.names[0], 10.0)
    fleet.play(3.0, 3)
    asked, sent = fleet.play(10.0, 3)
    assert sent >= 0.8 * asked


@pytest.mark.parametrize("parts", [(4, 4), (7, 1), (3, 3, 2)])
def test_parts_of_a_cut_fleet_keep_the_limit_together(parts: tuple[int, ...]) -> None:
    fleet = Fleet(8)
    named_at = fleet.now
    fleet.answer(fleet.names[0], 2.0)
    fleet.play(4.0, 60)
    names = iter(fleet.names)
    fleet.cut(*([next(names) for _ in range(count)] for count in parts))
    fleet.play(3.0, 60)
    _, sent = fleet.play(12.0, 60)
    fleet.cut(fleet.names)
    fleet.play(8.0, 60)
    check(fleet, 2.0, named_at)
    assert sent >= 0.5 * 2.0 * 12.0


# Both of two hosts that don't see each other may grant permits.
def test_hosts_that_see_different_parts_of_the_fleet_keep_the_limit() -> None:
    fleet = Fleet(8)
    named_at = fleet.now
    fleet.answer(fleet.names[0], 2.0)
    fleet.play(4.0, 60)
    granter = choose_by_hash(UPSTREAM, fleet.names)
    for other in [name for name in fleet.names if name != granter][:3]:
        fleet.sever(granter, other)
    _, sent = fleet.play(15.0, 60)
    check(fleet, 2.0, named_at)
    assert sent >= 0.5 * 2.0 * 15.0


# Each host may be the one that grants permits.
def test_limit_is_kept_while_hosts_restart_in_turn() -> None:
    fleet = Fleet(8)
    named_at = fleet.now
    fleet.answer(fleet.names[0], 1.1)
    fleet.play(3.0, 33)
    start, total = fleet.now, 0
    for name in fleet.names:
        fleet.restart(name)
        total += fleet.play(1.5, 33)[1]
    check(fleet, 1.1, named_at)
    assert total >= 0.5 * 1.1 * (fleet.now - start)


def test_falling_and_rising_values_are_followed_by_all_hosts() -> None:
    fleet = Fleet(8)
    fleet.answer(fleet.names[0], 10.0)
    fleet.play(4.0, 60)
    fleet.answer(fleet.names[3], 1.0)
    lowered_at = fleet.now
    fleet.play(8.0, 60)
    check(fleet, 1.0, lowered_at)
    fleet.answer(fleet.names[6], 10.0)
    fleet.play(5.0, 60)
    _, sent = fleet.play(4.0, 60)
    assert sent >= 0.8 * 10.0 * 4.0


def test_end_of_a_limit_causes_no_burst() -> None:
    fleet = Fleet(8)
    fleet.answer(fleet.names[0], 2.0)
    fleet.play(5.0, 100)
    fleet.answer(fleet.names[2], None)
    _, sent = fleet.play(1.0, 100)
    assert sent <= 12
    fleet.play(7.0, 100)
    assert all(host.find_limit(UPSTREAM, START) is None for host in fleet.hosts.values())
    asked, sent = fleet.play(1.0, 100)
    assert sent == asked


# Another writer's calls may keep a host from the store in part; it must not wait for ever.
def test_host_that_learns_nothing_serves_after_some_seconds() -> None:
    fleet = Fleet(1)
    host = fleet.hosts[fleet.names[0]]
    host.start_learning()
    assert not host.is_loaded
    fleet.play(MAX_LEARNING_SECONDS + 0.1, 0)
    assert host.is_loaded


def test_limit_of_an_upstream_that_is_gone_is_forgotten() -> None:
    fleet = Fleet(2)
    fleet.answer(fleet.names[0], 2.0)
    fleet.play(1.0, 1)
    for host in fleet.hosts.values():
        host.is_registered = lambda _instance: False
    fleet.play(GONE_SECONDS - 1.0, 1)
    assert fleet.hosts[fleet.names[1]].find_limit(UPSTREAM, START)
    fleet.play(2.0, 1)
    assert all(host.find_limit(UPSTREAM, START) is None for host in fleet.hosts.values())


def test_nothing_is_told_while_nobody_names_a_limit() -> None:
    fleet = Fleet(8)
    fleet.answer(fleet.names[0], None)
    assert all(host.take_state() is None for host in fleet.hosts.values())
