"""Allocate the requests that a limited upstream takes to the hosts that have work for it.

Every host follows reports and grants of all others, so that any of them can take over. Permits are
whole requests: with a low limit, equal shares of many hosts would each be a fraction of one.
"""

import math
from dataclasses import dataclass, field

from turmericproxy.core import HostName
from turmericproxy.limits.messages import PermitReport

# Share of a limit that is used. The rest covers cache polls, reports and orders.
USED_SHARE = 0.95
# Unused requests that may add up, as a number and as seconds of the limit.
DEPTH_REQUESTS, DEPTH_SECONDS = 1.0, 0.25
# Permits that hosts may hold at the same time, as a number and as seconds of the limit.
HELD_REQUESTS, HELD_SECONDS = 2.0, 0.75
# Time for which a permit is valid; then it can be granted to another host.
PERMIT_SECONDS = 2.0
# Time in which a host reports what became of a permit that has expired.
REPORT_GRACE_SECONDS = 0.5
# Time in which the recent demand of a host falls to 37%.
DEMAND_SECONDS = 1.0
# Recent requests below which a host gets no permits in advance.
MIN_DEMAND = 0.05
# Requests above the limit that are made up for later.
MAX_DEBT = 5.0


@dataclass
class HostUse:
    """Hold what one host did at an upstream; times are of CLOCK_BOOTTIME.

    ``demand`` counts its recent requests, and ``turn`` rises with each permit, the less the higher
    the demand is.
    """

    report: PermitReport | None = None
    demand: float = 0.0
    demand_at: float = 0.0
    held: int = 0
    granted_at: float = 0.0
    turn: float = 0.0

    @property
    def waiting(self) -> int:
        """Return the requests of the host that wait for a permit."""
        return self.report.waiting if self.report else 0

    def measure_demand(self, now: float) -> float:
        """Return the recent requests of the host."""
        return self.demand * math.exp(-max(0.0, now - self.demand_at) / DEMAND_SECONDS)


@dataclass
class Allocation:
    """Divide the rate of one start of an upstream among hosts.

    ``level`` is the number of requests that the upstream takes now and that nobody was allowed to
    send yet; it is negative while more were sent than it takes.
    """

    level: float = 0.0
    refilled_at: float = 0.0
    uses: dict[HostName, HostUse] = field(default_factory=dict)

    def refill(self, rate: float, now: float) -> None:
        """Add what the upstream takes at ``rate`` requests a second since the last call."""
        seconds = max(0.0, now - self.refilled_at)
        self.refilled_at = now
        depth = DEPTH_REQUESTS + DEPTH_SECONDS * rate
        self.level = min(depth, max(-MAX_DEBT, self.level) + USED_SHARE * rate * seconds)

    def record_report(self, host: HostName, report: PermitReport, now: float) -> None:
        """Record the totals of a host; lower ones are those of a host that has restarted."""
        use = self._get_use(host)
        before = use.report
        if before is None:
            # Its totals may be those of hours.
            before, use.held = report._replace(wanted=max(0, report.wanted - 1)), 0
        elif report.wanted < before.wanted or report.used < before.used:
            before, use.held = PermitReport(), 0
        use.demand = use.measure_demand(now) + report.wanted - before.wanted
        use.demand_at = now
        returned = report.returned - before.returned
        use.held = max(0, use.held - (report.used - before.used) - returned)
        self.level += returned - (report.unpermitted - before.unpermitted)
        use.report = report

    def record_grant(self, host: HostName, permits: int, now: float) -> None:
        """Record permits that a host has been granted, by whichever host."""
        use = self._get_use(host)
        use.held += permits
        use.granted_at = now
        use.turn += permits / max(MIN_DEMAND, use.measure_demand(now))
        self.level -= permits

    def forget(self, host: HostName) -> None:
        """Forget a host that is lost; its permits expire."""
        self.uses.pop(host, None)

    def count_followers(self, granter: HostName) -> int:
        """Return the number of other hosts that use the grants of a host."""
        return sum(
            use.report is not None and use.report.granted_by == granter
            for host, use in self.uses.items()
            if host != granter
        )

    def count_waiting(self) -> int:
        """Return the requests of all hosts that wait for a permit."""
        return sum(max(0, use.waiting - use.held) for use in self.uses.values())

    def measure_demand(self, now: float) -> float:
        """Return the recent requests of all hosts."""
        return sum(use.measure_demand(now) for use in self.uses.values())

    def choose_grants(self, rate: float, now: float) -> dict[HostName, int]:
        """Return the permits to grant now, waiting requests first; they are recorded already."""
        self._expire(now)
        limit = HELD_REQUESTS + HELD_SECONDS * rate
        held = sum(use.held for use in self.uses.values())
        grants: dict[HostName, int] = {}
        while self.level >= 1.0 and held + 1 <= limit:
            host = self._choose_host(now, may_advance=held + 2 <= limit)
            if host is None:
                break
            self.record_grant(host, 1, now)
            grants[host] = grants.get(host, 0) + 1
            held += 1
        return grants

    def _choose_host(self, now: float, *, may_advance: bool) -> HostName | None:
        waiting = [h for h, use in self.uses.items() if use.waiting > use.held]
        if not waiting and may_advance:
            waiting = [h for h, use in self.uses.items() if use.held < self._want(use, now)]
        return min(waiting, key=lambda host: (self.uses[host].turn, host), default=None)

    def _want(self, use: HostUse, now: float) -> int:
        demand = use.measure_demand(now)
        return math.ceil(demand) if demand >= MIN_DEMAND else 0

    def _get_use(self, host: HostName) -> HostUse:
        use = self.uses.get(host)
        if use is None:
            first_turn = min((use.turn for use in self.uses.values()), default=0.0)
            use = self.uses[host] = HostUse(turn=first_turn)
        return use

    def _expire(self, now: float) -> None:
        for use in self.uses.values():
            if use.held and now >= use.granted_at + PERMIT_SECONDS + REPORT_GRACE_SECONDS:
                # The host is lost, or has not received the grant; the requests may have been sent.
                use.held = 0
