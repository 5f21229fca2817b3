"""Follow the limits that upstreams name, and decide which requests may be sent to them."""

import copy
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from turmericproxy.core import HostName, read_boottime
from turmericproxy.core.hashing import choose_by_hash
from turmericproxy.core.ids import InstanceId
from turmericproxy.limits.allocation import Allocation
from turmericproxy.limits.messages import LimitNotice, LimitState, PermitGrant, PermitReport
from turmericproxy.limits.observation import NamedLimit, Observation, apply_observation
from turmericproxy.limits.permits import Applicant, PermitPool
from turmericproxy.logs import Part, log_event
from turmericproxy.metrics import Metrics
from turmericproxy.placement.notices import UpstreamNotice

# Limits that are remembered; those named first are dropped.
MAX_LIMITS = 4096
# Time after which the limit of an upstream that isn't registered is forgotten. Registrations may be
# missing for some seconds around an outage of the store.
GONE_SECONDS = 60.0
# Interval of reports to the other hosts: the shortest one, and what each host adds to it, since all
# hosts receive the reports of all.
REPORT_SECONDS = 0.12
REPORT_SECONDS_PER_HOST = 0.004
# Interval in which one limited upstream gets polls and queries of all hosts of its domain.
CONTROL_CALL_SECONDS = 4.0
# Time for which a host that has read the host table waits for what another one knows, and the time
# after its start from which it doesn't wait for the table either.
LEARNING_SECONDS = 0.6
MAX_LEARNING_SECONDS = 3.0
# Bounds of Retry-After, and its random spread.
MIN_RETRY_AFTER_SECONDS = 0.3
MAX_RETRY_AFTER_SECONDS = 10.0
RETRY_AFTER_SPREAD = 0.4


class FleetView(NamedTuple):
    """Hold the reachable hosts, with this one, and the number of all running hosts."""

    hosts: tuple[HostName, ...]
    running: int


@dataclass
class _LimitedUpstream:
    """Hold the state of one start of an upstream that has named a limit."""

    limit: NamedLimit
    allocation: Allocation
    pool: PermitPool = field(default_factory=PermitPool)
    share: float = 1.0
    call_at: float = 0.0
    registered_at: float = 0.0
    sent_report: PermitReport | None = None

    @property
    def reported_waiting(self) -> int:
        """Return the waiting requests of this host that the others know of."""
        return self.sent_report.waiting if self.sent_report else 0

    def compute_rate(self, now: float) -> float:
        """Return the requests a second that the reachable hosts may send together."""
        return self.limit.compute_rate(now) * self.share

    def refill(self, now: float) -> float:
        """Add to the allocation what the upstream takes since the last call; return the rate."""
        rate = self.compute_rate(now)
        self.allocation.refill(rate, now)
        return rate


class LimitController:
    """Keep the limits of upstreams for one host; ``describe_fleet`` returns the reachable hosts.

    ``is_registered`` tells whether there is such an upstream.
    """

    def __init__(
        self,
        host: HostName,
        describe_fleet: Callable[[], FleetView],
        metrics: Metrics,
        read_clock: Callable[[], float] = read_boottime,
    ) -> None:
        self._host = host
        self._describe_fleet = describe_fleet
        self._metrics = metrics
        self._read_clock = read_clock
        self._random = random.Random()
        self._upstreams: dict[InstanceId, _LimitedUpstream] = {}
        self._unsent_notices: list[InstanceId] = []
        # Starts whose unreadable limit has been logged.
        self._unreadable: dict[InstanceId, int] = {}
        self._reported_at = 0.0
        self._learning_until = 0.0
        self.is_loaded = True
        self.is_registered: Callable[[InstanceId], bool] = lambda _instance: True

    def create_trial(self) -> "LimitController":
        """Return a copy that can try a decision: what it records has no effect on this one."""
        trial = copy.copy(self)
        trial._metrics, trial._random = Metrics(), random.Random()
        trial._upstreams = {
            i: replace(u, allocation=replace(u.allocation), pool=u.pool.create_trial())
            for i, u in self._upstreams.items()
        }
        return trial

    # Learning

    def start_learning(self) -> None:
        """Wait for what other hosts know before requests are sent."""
        self.is_loaded = False
        self._learning_until = self._read_clock() + MAX_LEARNING_SECONDS

    def record_host_table(self, other_hosts: int) -> None:
        """Record that the host table has been read; alone, there is nothing to learn."""
        if not self.is_loaded:
            until = self._read_clock() + (LEARNING_SECONDS if other_hosts else 0.0)
            self._learning_until = min(self._learning_until, until)
            self._check_learning()

    def _check_learning(self) -> None:
        if not self.is_loaded and self._read_clock() >= self._learning_until:
            self.is_loaded = True

    def record_notice(
        self, instance: InstanceId, started_at: int, notice: UpstreamNotice, age: float
    ) -> None:
        """Record an answer of an upstream to a request that was sent ``age`` seconds ago."""
        if notice.is_limit_unreadable:
            self._log_unreadable(instance, started_at)
        if notice.request_limit is None and instance not in self._upstreams:
            return
        observation = Observation(
            started_at,
            notice.request_limit,
            self._read_clock() - age,
            is_unreadable=notice.is_limit_unreadable,
        )
        if self._observe(instance, observation, "answer"):
            self._unsent_notices.append(instance)

    def _log_unreadable(self, instance: InstanceId, started_at: int) -> None:
        """Log once for each start of an upstream that its limit can't be read."""
        if self._unreadable.get(instance) != started_at:
            self._unreadable = {i: s for i, s in self._unreadable.items() if self.is_registered(i)}
            self._unreadable[instance] = started_at
            log_event(Part.ROUTING, "unreadable limit of an upstream", upstream=instance)

    def _observe(self, instance: InstanceId, observation: Observation, source: str) -> bool:
        """Apply an observation; return whether the limit has changed."""
        now = self._read_clock()
        upstream = self._upstreams.get(instance)
        known = upstream.limit if upstream else None
        limit = apply_observation(known, observation, now)
        if limit is None:
            self._upstreams.pop(instance, None)
            return False
        if upstream is None or upstream.limit.started_at != limit.started_at:
            self._add(instance, limit, now)
        else:
            upstream.limit = limit
        has_changed = known is None or known.changed_at != limit.changed_at
        if has_changed:
            log_event(
                Part.ROUTING,
                "upstream names a limit" if limit.per_second is not None else "limit has ended",
                upstream=instance,
                per_second=limit.per_second,
                started_at=limit.started_at,
                source=source,
                rate=round(limit.compute_rate(now), 3),
            )
            self._metrics.count("limit_changes", upstream=instance)
        return has_changed

    def _add(self, instance: InstanceId, limit: NamedLimit, now: float) -> None:
        allocation = Allocation(refilled_at=now)
        call_at = now + self._random.uniform(0.0, CONTROL_CALL_SECONDS)
        self._upstreams[instance] = _LimitedUpstream(
            limit, allocation, call_at=call_at, registered_at=now
        )
        if len(self._upstreams) > MAX_LIMITS:
            del self._upstreams[next(iter(self._upstreams))]

    @property
    def has_limits(self) -> bool:
        """Return whether any upstream has named a limit."""
        return bool(self._upstreams)

    def find_limit(self, instance: InstanceId, started_at: int) -> NamedLimit | None:
        """Return the limit of a start of an upstream, if there is one."""
        upstream = self._find(instance, started_at)
        return upstream.limit if upstream else None

    # Requests

    def may_send(self, instance: InstanceId, started_at: int, applicant: Applicant) -> bool:
        """Return whether a request may be sent to an upstream now."""
        upstream = self._find(instance, started_at)
        return upstream is None or upstream.pool.may_send(applicant, self._read_clock())

    def record_sent(self, instance: InstanceId, started_at: int, applicant: Applicant) -> None:
        """Record a request that is sent to an upstream."""
        upstream = self._find(instance, started_at)
        if upstream:
            upstream.pool.use(applicant, self._read_clock())

    def record_work(self, instance: InstanceId, started_at: int) -> None:
        """Record that an upstream without a permit could have taken a request of this host."""
        upstream = self._find(instance, started_at)
        if upstream:
            upstream.pool.wanted += 1

    def turn_away(self, instance: InstanceId, started_at: int, applicant: Applicant) -> None:
        """Record that a request for which an upstream was the best choice had no permit."""
        upstream = self._find(instance, started_at)
        if upstream:
            upstream.pool.turn_away(applicant, self._read_clock())
            self._metrics.count("limited_requests", upstream=instance)

    async def wait_for_permit(
        self, upstreams: Iterable[tuple[InstanceId, int]], applicant: Applicant, seconds: float
    ) -> bool:
        """Wait for a permit for the upstream that is expected to have one first.

        Return at once if none is expected in time.
        """
        now = self._read_clock()
        found = [u for key in upstreams if (u := self._find(*key))]
        if not found or seconds <= 0:
            return False
        first = min(found, key=lambda upstream: self._estimate_wait(upstream, now))
        if self._estimate_wait(first, now) > seconds:
            return False
        return await first.pool.wait(applicant, seconds, now)

    def release(self, upstreams: Iterable[tuple[InstanceId, int]], applicant: Applicant) -> None:
        """Make the permits kept for a request available to others."""
        now = self._read_clock()
        for key in upstreams:
            if upstream := self._find(*key):
                upstream.pool.release(applicant, now)

    def estimate_retry_after(self, upstreams: Iterable[tuple[InstanceId, int]]) -> float:
        """Return after how many seconds a refused request should come back.

        The recent requests of all hosts are spread over the time that the limits need for them.
        """
        now = self._read_clock()
        found = [u for key in upstreams if (u := self._find(*key))]
        demand = max((u.allocation.measure_demand(now) for u in found), default=0.0)
        rate = sum(u.compute_rate(now) for u in found)
        seconds = demand / rate if rate > 0 else MAX_RETRY_AFTER_SECONDS
        seconds *= self._random.uniform(1 - RETRY_AFTER_SPREAD, 1 + RETRY_AFTER_SPREAD)
        return round(min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds)), 2)

    def describe(self, instance: InstanceId, started_at: int) -> dict[str, object]:
        """Return the terms of a decision on an upstream, for the log."""
        upstream = self._find(instance, started_at)
        if upstream is None:
            return {}
        now, pool = self._read_clock(), upstream.pool
        rate = upstream.refill(now)
        return {
            "per_second": upstream.limit.per_second,
            "rate": round(rate, 3),
            "share": round(upstream.share, 3),
            "age": round(now - upstream.limit.sent_at, 3),
            "level": round(upstream.allocation.level, 2),
            "held": pool.held,
            "used": pool.used,
            "waiting": upstream.allocation.count_waiting(),
            "granted_by": self._choose_granter(instance),
        }

    def list_limits(self) -> list[tuple[InstanceId, float | None, float]]:
        """Return the limited upstreams with their limits and the hosts' rates, for metrics."""
        now = self._read_clock()
        return [(i, u.limit.per_second, u.compute_rate(now)) for i, u in self._upstreams.items()]

    # Control calls

    def measure_call_pause(self, instance: InstanceId, started_at: int) -> float:
        """Return for how many seconds an upstream should get no poll or query of this host."""
        upstream = self._find(instance, started_at)
        return max(0.0, upstream.call_at - self._read_clock()) if upstream else 0.0

    def record_call(self, instance: InstanceId, started_at: int, callers: int) -> None:
        """Record a poll or query; ``callers`` hosts call this upstream."""
        upstream = self._find(instance, started_at)
        if upstream:
            upstream.call_at = self._read_clock() + CONTROL_CALL_SECONDS * callers

    # Other hosts

    def create_state(self) -> LimitState:
        """Return the limits and totals for a host that may know none of them."""
        reports = self._create_reports(self._describe_fleet())
        return LimitState(self._create_notices(self._upstreams), reports)

    def take_state(self) -> LimitState | None:
        """Return what has changed since the last call, with the permits that this host grants."""
        self._check_learning()
        if not self._upstreams:
            return None
        now = self._read_clock()
        self._drop_ended(now)
        notices = self._create_notices(dict.fromkeys(self._unsent_notices))
        self._unsent_notices.clear()
        fleet = self._describe_fleet()
        interval = REPORT_SECONDS_PER_HOST * len(fleet.hosts)
        due_at = self._reported_at + max(REPORT_SECONDS, interval)
        is_due = now >= due_at or self._has_new_waiters()
        reports = self._take_changed_reports(fleet, now) if is_due else {}
        grants = self._grant(fleet, now)
        if not (notices or reports or grants):
            return None
        return LimitState(notices or None, reports, grants)

    def receive(self, host: HostName, state: LimitState) -> None:
        """Apply what another host knows."""
        now = self._read_clock()
        if state.notices is not None:
            self.is_loaded = True
        for notice in state.notices or ():
            observation = Observation(notice.started_at, notice.per_second, now - notice.age)
            known = self._upstreams.get(notice.instance)
            if known or notice.per_second is not None:
                self._observe(notice.instance, observation, host)
        for instance, report in state.reports.items():
            if upstream := self._upstreams.get(instance):
                upstream.refill(now)
                upstream.allocation.record_report(host, report, now)
        for grant in state.grants:
            upstream = self._find(grant.instance, grant.started_at)
            if upstream:
                upstream.refill(now)
                upstream.allocation.record_grant(grant.host, grant.permits, now)
                if grant.host == self._host and host == self._choose_granter(grant.instance):
                    upstream.pool.add(grant.permits, now)

    def forget_peer(self, host: HostName) -> None:
        """Forget a lost host; its permits expire, and its share of the limits is left to it."""
        for upstream in self._upstreams.values():
            upstream.allocation.forget(host)

    def _find(self, instance: InstanceId, started_at: int) -> _LimitedUpstream | None:
        upstream = self._upstreams.get(instance)
        return upstream if upstream and upstream.limit.started_at == started_at else None

    def _choose_granter(self, instance: InstanceId) -> HostName:
        return choose_by_hash(instance, self._describe_fleet().hosts)

    def _drop_ended(self, now: float) -> None:
        for instance, upstream in list(self._upstreams.items()):
            if self.is_registered(instance):
                upstream.registered_at = now
            is_gone = now >= upstream.registered_at + GONE_SECONDS
            if is_gone or upstream.limit.is_over(now):
                del self._upstreams[instance]

    def _create_notices(self, instances: Iterable[InstanceId]) -> tuple[LimitNotice, ...]:
        now = self._read_clock()
        known = ((i, self._upstreams[i].limit) for i in instances if i in self._upstreams)
        return tuple(
            LimitNotice(i, limit.started_at, limit.per_second, round(now - limit.sent_at, 3))
            for i, limit in known
        )

    def _create_reports(self, fleet: FleetView) -> dict[InstanceId, PermitReport]:
        return {
            instance: upstream.pool.create_report(choose_by_hash(instance, fleet.hosts))
            for instance, upstream in self._upstreams.items()
        }

    def _has_new_waiters(self) -> bool:
        return any(u.pool.waiting > u.reported_waiting for u in self._upstreams.values())

    def _take_changed_reports(self, fleet: FleetView, now: float) -> dict[InstanceId, PermitReport]:
        self._reported_at = now
        changed = {}
        for upstream in self._upstreams.values():
            upstream.pool.expire(now)
        for instance, report in self._create_reports(fleet).items():
            upstream = self._upstreams[instance]
            if report != upstream.sent_report:
                changed[instance] = upstream.sent_report = report
                upstream.refill(now)
                upstream.allocation.record_report(self._host, report, now)
        return changed

    def _grant(self, fleet: FleetView, now: float) -> tuple[PermitGrant, ...]:
        """Grant permits for the upstreams for which this host is chosen."""
        grants = []
        for instance, upstream in self._upstreams.items():
            granter = choose_by_hash(instance, fleet.hosts)
            # Hosts may see different parts of the fleet; each counts for one granter at a time.
            followers = 1 + upstream.allocation.count_followers(granter)
            self._set_share(instance, upstream, min(1.0, followers / fleet.running), now)
            rate = upstream.refill(now)
            if granter != self._host:
                continue
            for host, permits in upstream.allocation.choose_grants(rate, now).items():
                grants.append(PermitGrant(instance, upstream.limit.started_at, host, permits))
                if host == self._host:
                    upstream.pool.add(permits, now)
        return tuple(grants)

    def _set_share(
        self, instance: InstanceId, upstream: _LimitedUpstream, share: float, now: float
    ) -> None:
        if share == upstream.share:
            return
        log_event(
            Part.ROUTING, "share of a limit changed", upstream=instance, share=round(share, 3)
        )
        upstream.refill(now)
        level, ratio = upstream.allocation.level, min(1.0, share / upstream.share)
        upstream.allocation.level = level * ratio if level > 0 else level
        upstream.share = share

    def _estimate_wait(self, upstream: _LimitedUpstream, now: float) -> float:
        """Return the seconds until one more waiting request would get a permit."""
        rate, allocation = upstream.refill(now), upstream.allocation
        waiting = max(allocation.count_waiting(), upstream.pool.waiting)
        missing = waiting + 1 - allocation.level
        return max(0.0, missing) / rate if rate > 0 else float("inf")
