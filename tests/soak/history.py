"""Record what callers and servers observe, and find violations of the guarantees."""

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum

from tests.soak.hosts import GRACE_SECONDS

ENGINE_SERVICE, PLAIN_SERVICE = "huvo11a", "kafi81c"
# Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Statuses with which a host itself reports that no upstream answered, or not in time.
FAILURE_STATUSES = frozenset({502, 504})
# A connection may be closed without an answer up to this time after a request that crosses it.
LOSS_SLACK_SECONDS = 0.2
# From the first time after SIGTERM, the last sixth of the grace, a host may break off what its
# servers still work on, unless it was sent later than the second time after SIGTERM.
LAST_GRACE_SECONDS, MAX_SENT_AFTER_STOP_SECONDS = GRACE_SECONDS * 5 / 6, 3.0
# Allowance for scheduling delays on a busy machine, beyond the time limit of a request.
ANSWER_TOLERANCE_SECONDS = 1.0
# Time after the registration of a drain from which a server must get no new request.
DRAIN_PROPAGATION_SECONDS = 2.0
# Prompts on which engines end may reach engines as often as this, later than so many seconds after
# so many ends, if their host was undisturbed all the while.
MAX_LATE_PROMPTS, UNDISTURBED_SECONDS, MIN_ENDS = 3, 3.0, 5
PROMPT_BLOCKED = "305"
# A drain is checked only if the store had no fault for this time before its registration.
STORE_STABLE_SECONDS = 3.0


class Kind(Enum):
    """Distinguish the kinds of request that callers send."""

    BOOKING = "booking"
    LOOKUP = "lookup"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable_stream"

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self in (Kind.LOOKUP, Kind.RESUMABLE_STREAM)

    @property
    def service(self) -> str:
        """Return the service that runs the requests."""
        is_plain = self in (Kind.BOOKING, Kind.LOOKUP)
        return PLAIN_SERVICE if is_plain else ENGINE_SERVICE


@dataclass
class Call:
    """Record one request and what its caller received; times are of the event loop.

    ``status`` is ``None`` until the head of the answer arrives. ``was_host_disrupted`` is true if
    the host was killed or paused between the request and its end; ``host_disturbed_at`` is when
    it was last killed, paused, continued or started before the request.
    """

    request_id: str
    kind: Kind
    host: str
    sent_at: float
    limit_seconds: float
    status: int | None = None
    answer_id: str | None = None
    body: bytes = b""
    expected_body: bytes = b""
    is_complete: bool = False
    ended_at: float | None = None
    was_host_disrupted: bool = False
    ends_engines: bool = False
    host_disturbed_at: float = -1.0
    result_code: str | None = None


@dataclass(frozen=True)
class ReceivedRequest:
    """Record a request as a server received it; ``is_rejected`` is true if it was not run.

    ``was_faulty`` is true if the server broke off or changed its answer.
    """

    request_id: str
    server: str
    started_at: float
    account: str | None
    key: str | None
    is_rejected: bool
    was_faulty: bool = False


@dataclass(frozen=True)
class LoadOrder:
    """Record an order to load weights as an engine received it."""

    server: str
    holder: str
    fence: int


@dataclass(frozen=True)
class Stop:
    """Record the SIGTERM of a host and the exit of its process."""

    host: str
    signalled_at: float
    exited_at: float


@dataclass
class History:
    """Collect all observations of one run.

    ``drain_times`` maps a server to the time of its drain; ``store_faults`` lists the start and
    end time of each fault of the store, and ``break_offs`` the service of each server whose
    connections were reset, with the time; ``engine_ends`` when engines ended on prompts.
    """

    account: str
    calls: list[Call] = field(default_factory=list)
    received: list[ReceivedRequest] = field(default_factory=list)
    orders: list[LoadOrder] = field(default_factory=list)
    drain_times: dict[str, float] = field(default_factory=dict)
    store_faults: list[tuple[float, float]] = field(default_factory=list)
    break_offs: list[tuple[str, float]] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    engine_ends: list[float] = field(default_factory=list)


def find_violations(history: History) -> list[str]:
    """Return one line for each violation of a guarantee."""
    checks = (
        _find_repeated_executions,
        _find_executed_refusals,
        _find_wrong_answers,
        _find_wrong_requests,
        _find_missing_answers,
        _find_lost_answers,
        _find_requests_after_drain,
        _find_conflicting_orders,
        _find_late_crashing_prompts,
        _find_blocked_prompts,
    )
    return [line for check in checks for line in check(history)]


def _group_executions(received: Iterable[ReceivedRequest]) -> dict[str, list[ReceivedRequest]]:
    groups: defaultdict[str, list[ReceivedRequest]] = defaultdict(list)
    for request in received:
        if not request.is_rejected:
            groups[request.request_id].append(request)
    return groups


def _find_repeated_executions(history: History) -> Iterator[str]:
    executions = _group_executions(history.received)
    for call in history.calls:
        count = len(executions.get(call.request_id, ()))
        if count > 1 and not call.kind.is_repeatable:
            yield f"{call.kind.value} {call.request_id} ran {count} times"


def _find_executed_refusals(history: History) -> Iterator[str]:
    executions = _group_executions(history.received)
    for call in history.calls:
        must_not_run = call.status in NOT_RUN_STATUSES and not call.kind.is_repeatable
        if must_not_run and executions.get(call.request_id):
            yield f"{call.kind.value} {call.request_id} got {call.status} and ran"


def _find_wrong_answers(history: History) -> Iterator[str]:
    for call in history.calls:
        if call.status != 200:
            continue
        if call.answer_id != call.request_id:
            yield f"{call.request_id} got the answer of {call.answer_id}"
        if call.is_complete and call.body != call.expected_body:
            yield f"{call.request_id} got {call.body[:80]!r} as a complete body"
        if not call.expected_body.startswith(call.body):
            yield f"{call.request_id} got {call.body[-80:]!r}, not a prefix of the expected body"


def _find_wrong_requests(history: History) -> Iterator[str]:
    sent_ids = {call.request_id for call in history.calls}
    for request in history.received:
        if request.request_id not in sent_ids:
            yield f"{request.server} got {request.request_id}, which no caller sent"
        if request.account != history.account or request.key is not None:
            yield (
                f"{request.server} got {request.request_id} as {request.account!r} "
                f"with key {request.key!r}"
            )


def _find_missing_answers(history: History) -> Iterator[str]:
    executions = _group_executions(history.received)
    for call in history.calls:
        if call.was_host_disrupted or call.ended_at is None:
            continue
        if call.ended_at - call.sent_at > call.limit_seconds + ANSWER_TOLERANCE_SECONDS:
            yield f"{call.request_id} ended after {call.ended_at - call.sent_at:.1f} s"
        if call.status is None and executions.get(call.request_id):
            yield f"{call.request_id} was forwarded by {call.host} and got no answer"


def _find_lost_answers(history: History) -> Iterator[str]:
    """Find accepted requests that ended without an answer although their servers were sound.

    The silence of a server is no reason to end an answer sooner. Prompts on which engines end are
    given up as soon as their part is blocked.
    """
    executions = _group_executions(history.received)
    for call in history.calls:
        runs = executions.get(call.request_id, [])
        if call.was_host_disrupted or call.ended_at is None or _may_be_lost(history, call, runs):
            continue
        if call.ends_engines:
            continue
        seconds = call.ended_at - call.sent_at
        is_accepted = bool(runs) or seconds > LOSS_SLACK_SECONDS
        what = f"{call.kind.value} {call.request_id}, accepted by {call.host}, was lost: "
        if call.status in FAILURE_STATUSES:
            yield f"{what}{call.status} after {seconds:.2f} s"
        elif not call.is_complete and (is_accepted or call.status):
            yield f"{what}closed after {seconds:.2f} s and {len(call.body)} bytes"


def _may_be_lost(history: History, call: Call, runs: Sequence[ReceivedRequest]) -> bool:
    """Return whether a server broke off, the time limit was reached, or the grace had ended."""
    assert call.ended_at is not None
    return (
        call.ended_at - call.sent_at >= call.limit_seconds
        or any(run.was_faulty for run in runs)
        or any(
            service == call.kind.service and call.sent_at <= at <= call.ended_at
            for service, at in history.break_offs
        )
        or any(_was_in_last_grace(call, stop) for stop in history.stops)
    )


def _was_in_last_grace(call: Call, stop: Stop) -> bool:
    assert call.ended_at is not None
    return (
        call.host == stop.host
        and call.sent_at <= min(stop.signalled_at + MAX_SENT_AFTER_STOP_SECONDS, stop.exited_at)
        and call.ended_at >= stop.signalled_at + LAST_GRACE_SECONDS
    )


def _find_requests_after_drain(history: History) -> Iterator[str]:
    disrupted = {call.request_id for call in history.calls if call.was_host_disrupted}
    for server, drained_at in history.drain_times.items():
        if _was_store_faulty(history, drained_at):
            continue
        for request in history.received:
            delay = request.started_at - drained_at
            if (
                request.server == server
                and delay > DRAIN_PROPAGATION_SECONDS
                and request.request_id not in disrupted
            ):
                yield f"{server} got {request.request_id} {delay:.1f} s after its drain"


def _was_store_faulty(history: History, drained_at: float) -> bool:
    """Return whether a store fault may have delayed the hosts' notice of a drain."""
    start, end = drained_at - STORE_STABLE_SECONDS, drained_at + DRAIN_PROPAGATION_SECONDS
    return any(began_at < end and ended_at > start for began_at, ended_at in history.store_faults)


def _find_conflicting_orders(history: History) -> Iterator[str]:
    yield from _find_decreasing_fences(history.orders)
    holders: defaultdict[int, set[str]] = defaultdict(set)
    for order in history.orders:
        holders[order.fence].add(order.holder)
    for fence, names in holders.items():
        if len(names) > 1:
            yield f"fence {fence} was used by {json.dumps(sorted(names))}"


def _find_decreasing_fences(orders: Sequence[LoadOrder]) -> Iterator[str]:
    highest: dict[str, int] = {}
    for order in orders:
        if order.fence < highest.get(order.server, 0):
            yield f"{order.server} got fence {order.fence} after {highest[order.server]}"
        highest[order.server] = max(order.fence, highest.get(order.server, 0))


def _find_late_crashing_prompts(history: History) -> Iterator[str]:
    """Find prompts that reached engines although enough others of their kind had ended some."""
    if len(history.engine_ends) < MIN_ENDS:
        return
    calls = {call.request_id: call for call in history.calls if call.ends_engines}
    limit = sorted(history.engine_ends)[MIN_ENDS - 1] + UNDISTURBED_SECONDS
    late = [
        request
        for request in history.received
        if (call := calls.get(request.request_id))
        and request.started_at > limit
        and not _was_disturbed(history, call)
    ]
    if len(late) > MAX_LATE_PROMPTS:
        yield f"{len(late)} prompts on which engines end reached engines late"


def _was_disturbed(history: History, call: Call) -> bool:
    """Return whether the host or the store was disturbed shortly before a request."""
    since = call.sent_at - UNDISTURBED_SECONDS
    return call.host_disturbed_at > since or any(
        began_at < call.sent_at and ended_at > since for began_at, ended_at in history.store_faults
    )


def _find_blocked_prompts(history: History) -> Iterator[str]:
    """Find sound prompts that were refused since engines ended on others."""
    for call in history.calls:
        if call.result_code == PROMPT_BLOCKED and not call.ends_engines:
            yield f"{call.request_id} was refused for a part of its prompt"
