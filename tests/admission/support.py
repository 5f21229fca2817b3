"""Offer a plain loop of arrivals to the admission of hosts in front of engines of a fixed rate.

Each host knows its own work at once and that of the others some milliseconds later.
"""

import heapq
import zlib
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, NamedTuple

from turmericproxy.admission import AdmissionController
from turmericproxy.core import AccountName, ModelName, RequestId, Revision, RouteName
from turmericproxy.core.ids import InstanceId, ServiceName
from turmericproxy.edge import EdgeLimits
from turmericproxy.metrics import Metrics
from turmericproxy.placement.entries import EntryState, UpstreamEntry
from turmericproxy.placement.registry import UpstreamRegistry, Work
from turmericproxy.traffic.attempts import AttemptCounts
from turmericproxy.traffic.placements import Placement
from turmericproxy.traffic.requests import Dispatch, Prompt, PromptPart
from turmericproxy.traffic.routed_request import RoutedRequest
from turmericproxy.traffic.site import (
    Account,
    EngineTraits,
    Repeatability,
    Route,
    Service,
    ServiceShare,
    Site,
)

MODEL, SERVICE = ModelName("m"), ServiceName("llm")
TOKENS_PER_SECOND = 80_000.0
ENGINES = 10
SLOTS = 12
HOSTS = 6
CAPACITY_TOKENS = 115_156
DEADLINE_SECONDS = 4.0
STEP_SECONDS = 0.005
# Hosts tell each other of their work in batches.
BATCH_SECONDS = 0.04


class Kind(NamedTuple):
    """Kind of requests; ``share`` is its part of the prompt tokens at the usual load."""

    name: str
    tokens: int
    target: float
    priority: int
    share: float


LONG = Kind("long", 4_000, 0.835, 1, 0.89)
SHORT = Kind("short", 826, 0.265, 0, 0.11)
KINDS = {kind.name: kind for kind in (LONG, SHORT)}
SERVED_AT_ONCE = tuple(Account(AccountName(n), (), None, True, 1, False, 3e5, 3e5) for n in "abc")


def create_route(kind: Kind) -> Route:
    return Route(
        name=RouteName(kind.name),
        host="h",
        prefix=f"/{kind.name}/",
        shares=(ServiceShare(SERVICE, 1.0),),
        repeatability=Repeatability.IDEMPOTENT,
        is_stream=True,
        is_resumable=False,
        timeout=DEADLINE_SECONDS,
        target_latency=kind.target,
        priority=kind.priority,
        max_attempts=1,
        is_public=False,
        target_event_gap=0.25,
    )


def create_site(
    kinds: tuple[Kind, ...] = (LONG, SHORT),
    accounts: tuple[Account, ...] = SERVED_AT_ONCE,
    memory: int = CAPACITY_TOKENS,
) -> Site:
    traits = EngineTraits(SLOTS, memory, 163_840, 2.75e11, (MODEL,))
    services = {SERVICE: Service(SERVICE, 100, traits)}
    routes = tuple(create_route(kind) for kind in kinds)
    return Site(Revision(1), routes, services, accounts, EdgeLimits(), None)


def create_registry(engines: int = ENGINES) -> UpstreamRegistry:
    registry = UpstreamRegistry()
    for n in range(engines):
        name = f"e{n}"
        entry = UpstreamEntry(
            InstanceId(name), SERVICE, "10.0.0.1:1", "a", SLOTS, EntryState.READY, 1, {MODEL: 1}
        )
        registry.update(entry)
        state = registry.find(InstanceId(name))
        assert state is not None
        state.tokens_per_second = TOKENS_PER_SECOND
    return registry


def create_request(
    site: Site, kind: Kind, request_id: str, received_at: float, account: Account | None
) -> RoutedRequest:
    prompt = Prompt(MODEL, kind.tokens, 56, (PromptPart("own", kind.tokens),))
    parsed: Any = SimpleNamespace(
        request_id=RequestId(request_id),
        raw=SimpleNamespace(received_at=received_at),
        prompt=prompt,
    )
    writer: Any = SimpleNamespace(is_started=False)
    route = next(r for r in site.routes if r.name == kind.name)
    request = RoutedRequest(parsed, writer, site, route, site.services[SERVICE], account)
    request.cost = kind.tokens + 56
    request.deadline = received_at + DEADLINE_SECONDS
    request.attempt_counts = AttemptCounts()
    return request


@dataclass
class Totals:
    """Results by kind and by account; ``refused`` counts requests, also those that return."""

    offered: Counter[str] = field(default_factory=Counter)
    in_target: Counter[str] = field(default_factory=Counter)
    answered: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    expired: Counter[str] = field(default_factory=Counter)
    transitions: int = 0

    def get_share(self, name: str) -> float:
        """Return the share of a kind or account that was answered within target."""
        return self.in_target[name] / max(1, self.offered[name])


@dataclass
class _Engine:
    """Prefill prompts one after the other, the most urgent first; ``ends`` are those of streams."""

    ends: list[tuple[float, int, int, Placement]] = field(default_factory=list)
    waiting: list[tuple[int, float, "Sent"]] = field(default_factory=list)
    free_at: float = 0.0


class Sent(NamedTuple):
    kind: Kind
    account: str
    received_at: float
    host: int
    placed: Placement


Load = Callable[[float, Kind, str], float]


class Fleet:
    """Run arrivals through the admission of several hosts, whose news of others is ``lag`` old.

    ``load`` returns the offered load of a kind and account at a time, as a factor of the usual one,
    at which the prompts take all of the engines' time.
    """

    def __init__(
        self,
        load: Load,
        *,
        lag: float = BATCH_SECONDS,
        hosts: int = HOSTS,
        is_on: bool = True,
        site: Site | None = None,
        hold_seconds: float = 0.0,
    ) -> None:
        self.hold_seconds = hold_seconds
        self.site = site or create_site()
        self.kinds = {str(r.name): KINDS[r.name] for r in self.site.routes}
        self.now = 100.0
        self.load, self.lag, self.is_on = load, lag, is_on
        self.spent: Counter[AccountName] = Counter()
        self.metrics = Metrics()
        self.totals = Totals()
        self.registries = [create_registry() for _ in range(hosts)]
        self.controllers: list[AdmissionController] = []
        self.restart()
        self._engines = {s.entry.instance: _Engine() for s in self.registries[0].list_states()}
        self._number = 0
        self._unsent: list[tuple[float, int, InstanceId, Work]] = []
        self._credit: dict[tuple[str, str], float] = {}
        self._returning: list[tuple[float, int, Kind, Account, float]] = []

    def restart(self) -> None:
        """Replace the admission of all hosts by one without any history."""
        self.controllers = [
            AdmissionController(
                registry,
                lambda: dict(self.spent),
                lambda domain: False,
                lambda: self.now,
                self.metrics,
            )
            for registry in self.registries
        ]

    def run(self, seconds: float) -> Totals:
        """Offer the load for some seconds, and let engines finish what they have."""
        self.run_steps(seconds)
        return self.run_steps(DEADLINE_SECONDS, has_arrivals=False)

    def run_steps(self, seconds: float, *, has_arrivals: bool = True) -> Totals:
        """Offer the load for some seconds."""
        was_high = self.controllers[0].is_under_pressure(SERVICE)
        for step in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            if step % 20 == 0:
                for controller in self.controllers:
                    controller.update(self.site)
            arrivals = list(self._list_arrivals()) if has_arrivals else []
            while self._returning and self._returning[0][0] <= self.now:
                _, _, kind, account, first_at = heapq.heappop(self._returning)
                arrivals.append((kind, account, first_at))
            for kind, account, first_at in arrivals:
                self._offer(kind, account, first_at)
            self._serve()
            is_high = self.controllers[0].is_under_pressure(SERVICE)
            self.totals.transitions += is_high is not was_high
            was_high = is_high
        return self.totals

    def _list_arrivals(self) -> Iterator[tuple[Kind, Account, float]]:
        usual = TOKENS_PER_SECOND * ENGINES * STEP_SECONDS / len(self.site.accounts)
        for kind in self.kinds.values():
            for account in self.site.accounts:
                key = (kind.name, str(account.name))
                rate = usual * kind.share * self.load(self.now, kind, account.name) / kind.tokens
                self._credit[key] = self._credit.get(key, 0.0) + rate
                while self._credit[key] >= 1:
                    self._credit[key] -= 1
                    self.totals.offered.update((*key, "/".join(key)))
                    yield kind, account, self.now

    def _offer(self, kind: Kind, account: Account, first_at: float) -> None:
        self._number += 1
        host = self._number % len(self.registries)
        request = create_request(self.site, kind, f"r{self._number}", self.now, account)
        request.deadline = first_at + DEADLINE_SECONDS
        self._apply_batches()
        placed = self.place(host, request)
        states = self.registries[host].list_ready(SERVICE)
        refusal = self.controllers[host].judge(request, placed, states) if self.is_on else None
        names = (kind.name, str(account.name), f"{kind.name}/{account.name}")
        if refusal:
            self.totals.refused.update(names)
            wait, left = refusal.retry_after, request.deadline - self.now
            assert wait is not None
            # Clients return once, and only after up to a third of the time that they have left.
            if first_at == self.now and wait <= left / 3:
                entry = (self.now + wait, self._number, kind, account, first_at)
                heapq.heappush(self._returning, entry)
            return
        self.spent[account.name] += request.cost
        self._change_work(host, placed.instance, placed.work)
        sent = Sent(kind, str(account.name), first_at, host, placed)
        self._send(sent)

    def _send(self, sent: Sent) -> None:
        engine = self._engines[sent.placed.instance]
        heapq.heappush(engine.waiting, (sent.kind.priority, self._number, sent))

    def place(self, host: int, request: RoutedRequest) -> Placement:
        """Choose an engine; hosts prefer different ones among those that are nearly equal."""
        prompt = request.parsed.prompt
        assert prompt is not None
        state = min(
            self.registries[host].list_ready(SERVICE),
            key=lambda s: s.pending_prefill_tokens
            + zlib.crc32(f"{host}{s.entry.instance}".encode()) % 800,
        )
        queued, tokens = state.pending_prefill_tokens, prompt.prompt_tokens
        return Placement(
            instance=state.entry.instance,
            address=state.entry.address,
            dispatch=Dispatch("", 1.0, None, request.priority),
            expected_seconds=(queued + tokens) / state.tokens_per_second + 0.005,
            work=Work(1, tokens, tokens + 56),
            prompt=prompt,
            queued_tokens=queued,
            request_id=request.parsed.request_id,
            placed_at=self.now,
        )

    def _serve(self) -> None:
        for instance, engine in self._engines.items():
            while engine.ends and engine.ends[0][0] <= self.now:
                _, _, host, placed = heapq.heappop(engine.ends)
                self.controllers[host].record_end(placed)
                self._change_work(host, instance, Work(-1, 0, -placed.work.reserved_tokens))
            while engine.waiting and engine.free_at <= self.now and len(engine.ends) < SLOTS:
                _, number, sent = heapq.heappop(engine.waiting)
                kind = sent.kind
                tokens = sent.placed.work.pending_prefill_tokens
                self._change_work(sent.host, instance, Work(0, -tokens, 0))
                names = (kind.name, sent.account, f"{kind.name}/{sent.account}")
                begun_at = max(engine.free_at, self.now - STEP_SECONDS)
                if begun_at > sent.received_at + DEADLINE_SECONDS:
                    self.totals.expired.update(names)
                    heapq.heappush(engine.ends, (self.now, number, sent.host, sent.placed))
                    continue
                self.controllers[sent.host].record_first_event(sent.placed)
                engine.free_at = begun_at + kind.tokens / TOKENS_PER_SECOND
                ends_at = engine.free_at + self.hold_seconds
                heapq.heappush(engine.ends, (ends_at, number, sent.host, sent.placed))
                self.totals.answered.update(names)
                if engine.free_at - sent.received_at <= kind.target:
                    self.totals.in_target.update(names)

    def _change_work(self, host: int, instance: InstanceId, work: Work) -> None:
        self.registries[host].add_work(instance, work)
        self._unsent.append((self.now + self.lag, host, instance, work))

    def _apply_batches(self) -> None:
        """Tell hosts of each other's work; they add it to their own, as the sum is what counts."""
        due = [entry for entry in self._unsent if entry[0] <= self.now]
        if due:
            self._unsent = [entry for entry in self._unsent if entry[0] > self.now]
            for _, host, instance, work in due:
                for other, registry in enumerate(self.registries):
                    if other != host:
                        registry.add_work(instance, work)


def create_burst(
    factor: float, *, usual: float = 0.7, start: float = 103.0, seconds: float = 7.0
) -> Load:
    """Return a load of which the long kind rises to ``factor`` for some seconds."""

    def load(now: float, kind: Kind, account: str) -> float:
        return factor if kind is LONG and start <= now < start + seconds else usual

    return load
