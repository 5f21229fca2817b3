"""Keep the inputs of admission decisions and refuse what can't be answered in time."""

import copy
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from turmericproxy.admission.ceilings import Ceiling, CeilingMonitor
from turmericproxy.admission.decision import (
    AdmissionInputs,
    Reason,
    compute_position,
    compute_retry_after,
    decide,
)
from turmericproxy.admission.delays import (
    BOUND_DEVIATIONS,
    NO_DELAY,
    TARGET_DEVIATIONS,
    DelayEstimate,
    update_delay,
    weigh_bound_margin,
)
from turmericproxy.admission.memory import LostWorkMonitor, find_full_engines
from turmericproxy.admission.pressure import (
    LEAVE_RATIO,
    NO_PRESSURE,
    Pressure,
    estimate_slot_wait,
    find_best_wait,
    update_pressure,
)
from turmericproxy.admission.priorities import (
    PriorityClass,
    ServiceBounds,
    compute_bounds,
    list_classes,
)
from turmericproxy.admission.shares import (
    DecayedSum,
    Demand,
    DemandMeter,
    compute_account_share,
    compute_level,
)
from turmericproxy.core import AccountName, HostName, Refusal, RequestId, ResultCode, refuse
from turmericproxy.core.ids import InstanceId, ServiceName
from turmericproxy.logs import Part, log_decision, log_event
from turmericproxy.metrics import Metrics
from turmericproxy.placement.registry import UpstreamRegistry, UpstreamState
from turmericproxy.traffic.placements import Placement
from turmericproxy.traffic.routed_request import RoutedRequest
from turmericproxy.traffic.site import Site

# Minimum interval between two measurements of a service's waits, which look at all its engines.
# Hosts hear of each other's work every 40 ms.
MEASURE_INTERVAL_SECONDS = 0.02
# Interval between two updates of the fair shares.
SHARES_INTERVAL_SECONDS = 0.1
# Time after which a pressure that no request has updated is not exported any more.
GAUGE_SECONDS = 2.0
# Time after which an attempt that has not begun is taken for one that was not sent.
EXPECTATION_SECONDS = 30.0
# Weight of the newest sample in the smoothed durations of prompts and streams.
SMOOTHING = 0.1


@dataclass
class _ServiceState:
    """State of one service.

    ``admitted`` holds the admitted prefill tokens by priority and ``admitted_requests`` the number
    of requests. ``delays`` tells by how much first events come later than expected.
    ``hold_seconds`` is the smoothed time from the first event of a stream to its end, for which it
    holds a slot.
    """

    site: Site
    classes: tuple[PriorityClass, ...]
    bounds: ServiceBounds
    pressure: Pressure = NO_PRESSURE
    best_wait: float = 0.0
    hold_seconds: float = 0.0
    own_seconds: dict[int, float] = field(default_factory=dict)
    delays: dict[int, DelayEstimate] = field(default_factory=dict)
    admitted: dict[int, DecayedSum] = field(default_factory=dict)
    admitted_requests: dict[int, DecayedSum] = field(default_factory=dict)

    def copy(self) -> "_ServiceState":
        """Return a copy that shares nothing that a decision changes."""
        return replace(
            self,
            own_seconds=dict(self.own_seconds),
            delays=dict(self.delays),
            admitted=copy.deepcopy(self.admitted),
            admitted_requests=copy.deepcopy(self.admitted_requests),
        )


class _Expectation(NamedTuple):
    """Time to the first event that was expected of a request when it was judged."""

    priority: int
    seconds: float
    judged_at: float


class AdmissionController:
    """Admit or refuse requests to engines.

    ``read_totals`` returns what each account has spent at all hosts so far, in its unit, and
    ``is_unreachable`` whether a failure domain can't be reached.
    """

    def __init__(
        self,
        registry: UpstreamRegistry,
        read_totals: Callable[[], Mapping[AccountName, int]],
        is_unreachable: Callable[[str], bool],
        read_clock: Callable[[], float],
        metrics: Metrics,
        ceilings: Sequence[Ceiling] = (),
    ) -> None:
        self._ceilings = CeilingMonitor(ceilings)
        self._registry = registry
        self._read_totals = read_totals
        self._is_unreachable = is_unreachable
        self._read_clock = read_clock
        self._metrics = metrics
        self._lost_work = LostWorkMonitor()
        self._meter = DemandMeter()
        self._services: dict[ServiceName, _ServiceState] = {}
        self._demands: dict[AccountName, Demand] = {}
        self._levels: dict[bool, float] = {}
        self._shares_at = 0.0
        self._begun_at: dict[tuple[RequestId, InstanceId], float] = {}
        self._expected: dict[tuple[RequestId, InstanceId], _Expectation] = {}

    def create_trial(self, account: AccountName | None) -> "AdmissionController":
        """Return a copy that can try a request of an account without an effect on this one."""
        trial = copy.copy(self)
        trial._metrics = Metrics()
        trial._lost_work = copy.deepcopy(self._lost_work)
        trial._meter = self._meter.create_trial(account)
        trial._demands, trial._levels = dict(self._demands), dict(self._levels)
        trial._expected, trial._ceilings = dict(self._expected), copy.deepcopy(self._ceilings)
        trial._services = {name: service.copy() for name, service in self._services.items()}
        return trial

    def find_full(
        self, request: RoutedRequest, placed: Placement | None, states: Sequence[UpstreamState]
    ) -> frozenset[InstanceId]:
        """Return the engines whose memory the request would exceed, if the chosen one is such."""
        traits, prompt = request.service.engine, request.parsed.prompt
        state = self._registry.find(placed.instance) if placed else None
        if traits is None or prompt is None or state is None:
            return frozenset()
        now = self._read_clock()
        needed = prompt.prompt_tokens + prompt.output_tokens
        limit = traits.capacity_tokens - needed
        if state.reserved_tokens + self._lost_work.count_tokens(state, now) <= limit:
            return frozenset()
        lost = {s.entry.instance: self._lost_work.count_tokens(s, now) for s in states}
        return find_full_engines(states, needed, traits.capacity_tokens, lost)

    def refuse_full(self, request: RoutedRequest, full: int) -> Refusal:
        """Refuse a request that no engine has memory for."""
        reason = f"{full} engines of {request.service.name} have no memory left for the prompt"
        return self._refuse(request, Reason.MEMORY, reason, 0.0, {"full": full})

    def judge(
        self, request: RoutedRequest, placed: Placement, states: Sequence[UpstreamState]
    ) -> Refusal | None:
        """Return a refusal unless the request is admitted to the engine that was chosen for it."""
        if placed.prompt is None:
            return None
        now = self._read_clock()
        service = self._find_service(request)
        own_seconds, queue_seconds = self._split_expected(service, placed)
        self._measure(request, service, queue_seconds, states, now)
        self._record_own_seconds(service, request.priority, own_seconds)
        is_first = request.attempt_counts.total == 0
        if is_first and request.account:
            self._meter.record_offered(request.account.name, request.priority, request.cost, now)
        if request.attempt_counts.possible_runs or request.writer.is_started:
            # Its client can't be told any more that it has not run.
            return None
        if refusal := self._check_ceilings(request, service, states):
            return refusal
        ahead_share = _compute_ahead_share(service.admitted, request.priority, now)
        expectation = _Expectation(request.priority, own_seconds + ahead_share * queue_seconds, now)
        if not service.pressure.is_high:
            self._record_admitted(request, service, expectation, placed)
            return None
        delay = service.delays.get(request.priority, NO_DELAY)
        inputs = AdmissionInputs(
            account_position=compute_position(request.parsed.request_id, "account"),
            queue_position=compute_position(request.parsed.request_id, "queue"),
            is_under_pressure=service.pressure.is_high,
            age=now - request.parsed.raw.received_at,
            expected_seconds=own_seconds + queue_seconds,
            queue_seconds=queue_seconds,
            margin_seconds=delay.compute_margin(TARGET_DEVIATIONS),
            requests_share=_compute_ahead_share(service.admitted_requests, request.priority, now),
            ahead_share=ahead_share,
            target=request.route.target_latency,
            best_wait=service.best_wait,
            bound=service.bounds.find(request.priority),
            account_share=self._find_account_share(request, service, now),
        )
        reason = decide(inputs)
        if reason is Reason.ADMITTED:
            self._record_admitted(request, service, expectation, placed)
            return None
        if is_first and request.account:
            self._meter.record_refused(request.account.name, request.cost, now)
        backlog = service.best_wait - (inputs.bound or service.bounds.base)
        terms = {
            "pressure": round(service.pressure.ratio, 3),
            "age": round(inputs.age, 3),
            "expected": round(inputs.expected_seconds, 3),
            "queue": round(queue_seconds, 3),
            "ahead_share": round(inputs.ahead_share, 2),
            "target": inputs.target,
            "best_wait": round(inputs.best_wait, 3),
            "bound": None if inputs.bound is None else round(inputs.bound, 3),
            "account_share": round(inputs.account_share, 3),
        }
        text = f"{request.service.name} is under pressure: {reason.value}"
        return self._refuse(request, reason, text, backlog, terms)

    def record_first_event(self, placed: Placement) -> None:
        """Record that a stream began, and how much later than expected."""
        now, key = self._read_clock(), (placed.request_id, placed.instance)
        self._begun_at[key] = now
        expectation = self._expected.pop(key, None)
        state = self._registry.find(placed.instance)
        service = self._services.get(state.entry.service) if state else None
        if expectation is not None and service is not None:
            delay = service.delays.get(expectation.priority, NO_DELAY)
            seconds = now - expectation.judged_at - expectation.seconds
            service.delays[expectation.priority] = update_delay(delay, seconds)

    def record_end(self, placed: Placement) -> None:
        """Record that an attempt ended, and for how long its stream held a slot."""
        key = (placed.request_id, placed.instance)
        self._expected.pop(key, None)
        self._ceilings.record_end(key)
        begun_at = self._begun_at.pop(key, None)
        state = self._registry.find(placed.instance)
        service = self._services.get(state.entry.service) if state else None
        if begun_at is not None and service is not None:
            seconds = self._read_clock() - begun_at
            service.hold_seconds += SMOOTHING * (seconds - service.hold_seconds)

    def record_lost_peer(self, host: HostName) -> None:
        """Remember what a lost peer has at engines; call this before its work is forgotten."""
        self._lost_work.record_lost(host, self._registry.list_states(), self._read_clock())

    def record_peer_state(self, host: HostName) -> None:
        """Forget what a peer had at engines when it was lost: it has reported its current work."""
        self._lost_work.record_returned(host)

    def update(self, site: Site | None) -> None:
        """Sample the demand of accounts; call this several times a second."""
        now = self._read_clock()
        self._meter.record_totals(self._read_totals(), now)
        # Attempts that were judged but not sent have no end.
        oldest = now - EXPECTATION_SECONDS
        while self._expected:
            attempt, expectation = next(iter(self._expected.items()))
            if expectation.judged_at >= oldest:
                break
            del self._expected[attempt]
            self._ceilings.record_end(attempt)
        for name, service in self._services.items():
            if site is not None and service.site is not site:
                service.site, service.classes = site, list_classes(site, name)
        if site is not None:
            self._meter.retain({a.name: a.rate for a in site.accounts})

    def is_under_pressure(self, service: ServiceName) -> bool:
        """Return whether a service is under pressure, as last measured."""
        state = self._services.get(service)
        return state is not None and state.pressure.is_high

    def export_gauges(self) -> None:
        """Set the gauge of the pressure by service, 0 for services without recent requests."""
        oldest = self._read_clock() - GAUGE_SECONDS
        ratios = {
            str(name): state.pressure.ratio if state.pressure.measured_at >= oldest else 0.0
            for name, state in self._services.items()
        }
        self._metrics.set_gauges("admission_pressure", "service", ratios)

    def _find_service(self, request: RoutedRequest) -> _ServiceState:
        name, site = request.service.name, request.site
        service = self._services.get(name)
        if service is None:
            classes = list_classes(site, name)
            service = _ServiceState(site, classes, compute_bounds(classes, {}))
            self._services[name] = service
        return service

    def _measure(
        self,
        request: RoutedRequest,
        service: _ServiceState,
        queue_seconds: float,
        states: Sequence[UpstreamState],
        now: float,
    ) -> None:
        """Update the pressure; look at all engines only if the chosen one isn't nearly idle."""
        if 0.0 <= now - service.pressure.measured_at < MEASURE_INTERVAL_SECONDS:
            return
        service.best_wait = queue_seconds
        if service.pressure.is_high or queue_seconds >= LEAVE_RATIO * service.bounds.base:
            available = self._list_available(states, now)
            service.best_wait = find_best_wait(
                [_estimate_wait(state, service.hold_seconds) for state in available]
            )
        seconds = {}
        for priority, own in service.own_seconds.items():
            share = _compute_ahead_share(service.admitted_requests, priority, now)
            margin = service.delays.get(priority, NO_DELAY).compute_margin(BOUND_DEVIATIONS)
            seconds[priority] = own + weigh_bound_margin(share) * margin
        service.bounds = compute_bounds(service.classes, seconds)
        previous = service.pressure
        sample = service.best_wait / service.bounds.base
        service.pressure = update_pressure(previous, sample, now)
        if service.pressure.is_high is not previous.is_high:
            log_event(
                Part.ROUTING,
                "pressure began" if service.pressure.is_high else "pressure ended",
                service=request.service.name,
                ratio=round(service.pressure.ratio, 3),
                best_wait=round(service.best_wait, 3),
                bound=round(service.bounds.base, 3),
                engines=len(states),
            )

    def _list_available(
        self, states: Sequence[UpstreamState], now: float
    ) -> Sequence[UpstreamState]:
        """Return the engines that are likely to answer now, or all if there is none.

        The time to load weights isn't pressure, so loading engines are left out.
        """
        domains = {state.entry.domain for state in states}
        reachable = {domain for domain in domains if not self._is_unreachable(domain)}
        return [
            s
            for s in states
            if s.entry.domain in reachable and s.loading_until <= now and not s.is_suspended(now)
        ] or states

    def _split_expected(self, service: _ServiceState, placed: Placement) -> tuple[float, float]:
        """Return a prompt's own time to the first token at its engine, and the time before it."""
        state = self._registry.find(placed.instance)
        if state is None:
            return placed.expected_seconds, 0.0
        seconds = min(placed.expected_seconds, placed.queued_tokens / state.tokens_per_second)
        slots = estimate_slot_wait(state.requests, state.entry.slots, service.hold_seconds)
        # Prompts ahead are prefilled while others wait for slots, so the longer wait covers both.
        return placed.expected_seconds - seconds, max(seconds, slots)

    def _record_own_seconds(self, service: _ServiceState, priority: int, seconds: float) -> None:
        known = service.own_seconds.get(priority, seconds)
        service.own_seconds[priority] = known + SMOOTHING * (seconds - known)

    def _record_admitted(
        self,
        request: RoutedRequest,
        service: _ServiceState,
        expectation: _Expectation,
        placed: Placement,
    ) -> None:
        priority, now = expectation.priority, expectation.judged_at
        attempt = (placed.request_id, placed.instance)
        # Moved to the end if it was judged before: the oldest are dropped from the beginning.
        self._expected.pop(attempt, None)
        self._expected[attempt] = expectation
        # The dispatcher doesn't send what is expected after the deadline; such a one has no end.
        if placed.expected_seconds <= request.deadline - now:
            account = request.account.name if request.account else None
            self._ceilings.record_start(attempt, request.service.name, account, priority)
        admitted = service.admitted.get(priority)
        if admitted is None:
            admitted = service.admitted[priority] = DecayedSum()
        admitted.add(placed.work.pending_prefill_tokens, now)
        service.admitted_requests.setdefault(priority, DecayedSum()).add(1.0, now)
        self._metrics.count("admissions", priority=str(priority))

    def _check_ceilings(
        self, request: RoutedRequest, service: _ServiceState, states: Sequence[UpstreamState]
    ) -> Refusal | None:
        """Return a refusal if the request would exceed a ceiling that an operator has set."""
        name = request.account.name if request.account else None
        ceiling = self._ceilings.find_exceeded(request.service.name, name, request.priority, states)
        if ceiling is None:
            return None
        text = f"a ceiling of {ceiling.share} of {request.service.name} is reached"
        return self._refuse(
            request, Reason.CEILING, text, service.hold_seconds, {"ceiling": ceiling.share}
        )

    def _find_account_share(
        self, request: RoutedRequest, service: _ServiceState, now: float
    ) -> float:
        account = request.account
        if account is None or not service.pressure.is_high:
            return 1.0
        self._update_shares(request.site, now)
        demand = self._demands.get(account.name)
        if demand is None:
            return 1.0
        more_urgent, same = self._meter.split_offered(account.name, request.priority, now)
        fair = self._levels[account.is_counted_in_tokens] * demand.weight
        return compute_account_share(fair, more_urgent * demand.offered, same * demand.offered)

    def _update_shares(self, site: Site, now: float) -> None:
        """Update the fair levels; accounts that count tokens don't compete with the others."""
        if now - self._shares_at < SHARES_INTERVAL_SECONDS:
            return
        self._shares_at = now
        self._demands = {}
        for is_counted_in_tokens in (False, True):
            weights = {
                a.name: a.rate
                for a in site.accounts
                if a.is_counted_in_tokens is is_counted_in_tokens
            }
            demands = self._meter.estimate_demands(weights, now)
            self._levels[is_counted_in_tokens] = compute_level(demands)
            self._demands.update(demands)

    def _refuse(
        self,
        request: RoutedRequest,
        reason: Reason,
        text: str,
        backlog_seconds: float,
        terms: Mapping[str, object],
    ) -> Refusal:
        self._metrics.count(
            "admission_refusals", priority=str(request.priority), reason=reason.value
        )
        retry_after = compute_retry_after(
            backlog_seconds,
            request.route.target_latency,
            request.deadline - self._read_clock(),
            compute_position(request.parsed.request_id, "retry"),
        )
        log_decision(
            Part.ROUTING,
            "admission refused",
            request_id=request.parsed.request_id,
            service=request.service.name,
            priority=request.priority,
            account=request.account.name if request.account else None,
            cause=reason.value,
            retry_after=retry_after,
            **terms,
        )
        return refuse(ResultCode.OVERLOADED, text, retry_after=retry_after)


def _estimate_wait(state: UpstreamState, hold_seconds: float) -> float:
    """Return the time until an engine begins one more prompt."""
    queue = state.pending_prefill_tokens / state.tokens_per_second
    slots = estimate_slot_wait(state.requests, state.entry.slots, hold_seconds)
    return max(queue, slots)


def _compute_ahead_share(admitted: Mapping[int, DecayedSum], priority: int, now: float) -> float:
    """Return the share of what was admitted that engines serve before a request of a priority."""
    ahead = total = 0.0
    for other, amounts in admitted.items():
        amount = amounts.read(now)
        total += amount
        ahead += amount if other <= priority else 0.0
    return ahead / total if total > 0.0 else 1.0
