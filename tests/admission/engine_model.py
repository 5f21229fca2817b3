"""Serve the loop of arrivals by engines that decode in steps and prefill in chunks between them."""

import heapq
import random
import zlib
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from tests.admission.support import (
    CAPACITY_TOKENS,
    DEADLINE_SECONDS,
    ENGINES,
    KINDS,
    LONG,
    SERVICE,
    SHORT,
    SLOTS,
    Fleet,
    Kind,
    Load,
    Sent,
    create_site,
)
from tests.admission.support import STEP_SECONDS as ARRIVAL_STEP_SECONDS
from turmericproxy.admission.memory import find_full_engines
from turmericproxy.placement.engines import DECODE_STEP_SECONDS, DECODE_STEP_SECONDS_PER_REQUEST
from turmericproxy.placement.pauses import NOISE_FACTOR, NOISE_INTERVAL_SECONDS
from turmericproxy.placement.registry import Work
from turmericproxy.traffic.placements import Placement
from turmericproxy.traffic.requests import Dispatch
from turmericproxy.traffic.routed_request import RoutedRequest
from turmericproxy.traffic.site import Account

STEP_SECONDS, STEP_SECONDS_PER_REQUEST = 0.00374, 0.000081
CHUNK_TOKENS, PREFILL_TOKENS_PER_SECOND = 1_024, 81_900.0
EVENT_TOKENS = 8
MAX_GAP_SECONDS = 0.25
# Neighbours on the machine slow an engine by ``NOISE_FACTOR`` for about 0.15 of the time.
NOISE_SECONDS = 0.35


class Traffic(NamedTuple):
    """Answer, memory, rate and value of a kind; values are those of answers in target and late.

    ``rate`` is per second and engine at the capacity: with both kinds so, all slots are taken.
    """

    events: int
    prompt_tokens: int
    rate: float
    value: float
    late_value: float

    @property
    def reserved_tokens(self) -> int:
        return self.prompt_tokens + self.events * EVENT_TOKENS


TRAFFIC = {LONG: Traffic(9, 9_190, 7.3, 1.3, 0.59), SHORT: Traffic(36, 826, 3.4, 3.9, 0.48)}


@dataclass
class Run:
    """One request at an engine, with the tokens that are prefilled, decoded and sent."""

    sent: Sent
    number: int
    done: int = 0
    decoded: int = 0
    sent_tokens: int = 0
    begun_at: float = 0.0
    event_at: float = 0.0
    longest_gap: float = 0.0
    first_event_at: float | None = None

    def get_deadline(self) -> float:
        return self.sent.received_at + DEADLINE_SECONDS

    def count_tokens(self) -> int:
        """Return the memory that the request takes now; what is cached counts in full."""
        return TRAFFIC[self.sent.kind].prompt_tokens + self.decoded


@dataclass
class StepEngine:
    """An engine; a slot is taken from the start of the prefill to the end of the answer."""

    waiting: list[tuple[int, int, Run]] = field(default_factory=list)
    running: list[Run] = field(default_factory=list)
    free_at: float = 0.0
    slowed_until: float = 0.0


class EngineFleet(Fleet):
    """Run random arrivals of a seed through admission in front of engines with decode steps."""

    def __init__(
        self,
        load: Load,
        *,
        seed: int = 1,
        is_on: bool = True,
        has_noise: bool = False,
        memory: int = CAPACITY_TOKENS,
    ) -> None:
        super().__init__(load, is_on=is_on, site=create_site(memory=memory))
        self._memory = memory
        self._random = random.Random(seed)
        self._noise = random.Random(seed)
        self._has_noise = has_noise
        self._step_engines = {name: StepEngine() for name in self._engines}
        self.results: dict[str, Counter[str]] = {kind.name: Counter() for kind in TRAFFIC}

    def get_value_share(self, name: str) -> float:
        """Return the share of the value of a kind's requests that their callers got."""
        full = TRAFFIC[KINDS[name]].value * self.totals.offered[name]
        return self.results[name]["value"] / max(1.0, full)

    def get_served_share(self, name: str) -> float:
        """Return the share of a kind's requests that were answered, in target or late."""
        return self.totals.answered[name] / max(1, self.totals.offered[name])

    def place(self, host: int, request: RoutedRequest) -> Placement:
        """Choose an engine as hosts do where engines report no speed: the first token counts.

        With admission control, engines without memory for the request are left out.
        """
        prompt = request.parsed.prompt
        assert prompt is not None
        output = TRAFFIC[KINDS[str(request.route.name)]].events * EVENT_TOKENS
        reserved = TRAFFIC[KINDS[str(request.route.name)]].reserved_tokens
        states = self.registries[host].list_ready(SERVICE)
        full = find_full_engines(states, reserved, self._memory, {}) if self.is_on else frozenset()
        seconds, state = min(
            (
                (
                    (s.pending_prefill_tokens + prompt.prompt_tokens) / s.tokens_per_second
                    + DECODE_STEP_SECONDS
                    + s.requests * DECODE_STEP_SECONDS_PER_REQUEST * output,
                    s,
                )
                for s in states
                if s.entry.instance not in full or len(full) == len(states)
            ),
            key=lambda c: c[0] + zlib.crc32(f"{host}{c[1].entry.instance}".encode()) % 800 / 8e4,
        )
        kind = KINDS[str(request.route.name)]
        return Placement(
            instance=state.entry.instance,
            address=state.entry.address,
            dispatch=Dispatch("", 1.0, None, request.priority),
            expected_seconds=seconds,
            work=Work(1, kind.tokens, TRAFFIC[kind].reserved_tokens),
            prompt=prompt,
            queued_tokens=state.pending_prefill_tokens,
            request_id=request.parsed.request_id,
            placed_at=self.now,
        )

    def _list_arrivals(self) -> Iterator[tuple[Kind, Account, float]]:
        for kind, traffic in TRAFFIC.items():
            for account in self.site.accounts:
                rate = traffic.rate * ENGINES / len(self.site.accounts)
                rate *= self.load(self.now, kind, account.name)
                key = (kind.name, str(account.name))
                credit = self._credit.get(key, 0.0) + rate * ARRIVAL_STEP_SECONDS
                while credit >= 0.0:
                    credit -= self._random.expovariate(1.0)
                    self.totals.offered.update((kind.name, account.name))
                    yield kind, account, self.now
                self._credit[key] = credit

    def _send(self, sent: Sent) -> None:
        engine = self._step_engines[sent.placed.instance]
        run = Run(sent, self._number)
        heapq.heappush(engine.waiting, (sent.kind.priority, self._number, run))

    def _serve(self) -> None:
        for engine in self._step_engines.values():
            engine.free_at = max(engine.free_at, self.now - ARRIVAL_STEP_SECONDS)
            while engine.free_at <= self.now:
                self._step(engine)

    def _step(self, engine: StepEngine) -> None:
        """Run one decode step and at most one chunk of prefill."""
        self._fill_slots(engine)
        if not engine.running:
            engine.free_at = self.now + 1e-9
            return
        decoding = [r for r in engine.running if r.done >= r.sent.kind.tokens]
        engine.free_at += self._prefill(engine)
        for run in decoding:
            run.decoded += 1
            if run.decoded % EVENT_TOKENS == 0 and run.decoded > run.sent_tokens:
                self._record_event(run, engine.free_at)
        for run in list(engine.running):
            is_whole = run.decoded >= TRAFFIC[run.sent.kind].events * EVENT_TOKENS
            if is_whole or run.get_deadline() <= engine.free_at:
                self._finish(engine, run, engine.free_at, is_waiting=False)
        self._preempt(engine)

    def _fill_slots(self, engine: StepEngine) -> None:
        while engine.waiting and len(engine.running) < SLOTS:
            run = engine.waiting[0][2]
            if run.get_deadline() <= engine.free_at:
                self._finish(engine, run, engine.free_at, is_waiting=True)
                continue
            used = sum(r.count_tokens() for r in engine.running)
            if used + TRAFFIC[run.sent.kind].prompt_tokens + EVENT_TOKENS > self._memory:
                break
            heapq.heappop(engine.waiting)
            run.begun_at = engine.free_at
            engine.running.append(run)

    def _prefill(self, engine: StepEngine) -> float:
        """Prefill a chunk in the order of the slots; return the duration of the step."""
        seconds = STEP_SECONDS + STEP_SECONDS_PER_REQUEST * len(engine.running)
        budget = CHUNK_TOKENS
        for run in engine.running:
            tokens = min(budget, run.sent.kind.tokens - run.done)
            run.done += tokens
            budget -= tokens
        seconds += (CHUNK_TOKENS - budget) / PREFILL_TOKENS_PER_SECOND
        is_slowed = engine.free_at < engine.slowed_until
        begin_share = seconds / NOISE_INTERVAL_SECONDS if self._has_noise else 0.0
        if not is_slowed and self._noise.random() < begin_share:
            is_slowed = True
            engine.slowed_until = engine.free_at + NOISE_SECONDS
        return NOISE_FACTOR * seconds if is_slowed else seconds

    def _preempt(self, engine: StepEngine) -> None:
        """Restart the newest of the least urgent requests while memory does not suffice."""
        while sum(r.count_tokens() for r in engine.running) > self._memory:
            newest = max(engine.running, key=lambda r: (r.sent.kind.priority, r.number))
            engine.running.remove(newest)
            newest.done = newest.decoded = 0
            self.results[newest.sent.kind.name]["preempted"] += 1
            heapq.heappush(engine.waiting, (newest.sent.kind.priority, newest.number, newest))

    def _record_event(self, run: Run, now: float) -> None:
        run.sent_tokens = run.decoded
        placed, host = run.sent.placed, run.sent.host
        if run.first_event_at is None:
            run.first_event_at = now
            tokens = placed.work.pending_prefill_tokens
            self.controllers[host].record_first_event(placed)
            self._change_work(host, placed.instance, Work(0, -tokens, 0))
            self.registries[host].record_prefill_rate(
                placed.instance,
                int(placed.queued_tokens + tokens),
                now - run.begun_at,
                now,
                placed.placed_at,
            )
        else:
            run.longest_gap = max(run.longest_gap, now - run.event_at)
        run.event_at = now

    def _finish(self, engine: StepEngine, run: Run, now: float, *, is_waiting: bool) -> None:
        sent, results = run.sent, self.results[run.sent.kind.name]
        if is_waiting:
            heapq.heappop(engine.waiting)
        else:
            engine.running.remove(run)
        tokens = 0 if run.first_event_at is not None else -sent.placed.work.pending_prefill_tokens
        self.controllers[sent.host].record_end(sent.placed)
        work = Work(-1, tokens, -sent.placed.work.reserved_tokens)
        self._change_work(sent.host, sent.placed.instance, work)
        name, traffic = sent.kind.name, TRAFFIC[sent.kind]
        if run.decoded < traffic.events * EVENT_TOKENS:
            results["unfinished" if run.first_event_at is not None else "expired"] += 1
            self.totals.expired.update((name, sent.account))
            return
        assert run.first_event_at is not None
        self.totals.answered.update((name, sent.account))
        is_first_late = run.first_event_at - sent.received_at > sent.kind.target
        results["first_late"] += is_first_late
        results["gap_late"] += run.longest_gap > MAX_GAP_SECONDS
        if is_first_late or run.longest_gap > MAX_GAP_SECONDS:
            results["value"] += traffic.late_value
        else:
            results["value"] += traffic.value
            self.totals.in_target.update((name, sent.account))
