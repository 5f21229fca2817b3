"""Hold the permits of one host for one upstream, and the requests that wait for them."""

import asyncio
from collections import Counter, deque
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from turmericproxy.core import AccountName, HostName, RequestId
from turmericproxy.limits.allocation import PERMIT_SECONDS
from turmericproxy.limits.messages import PermitReport

# Time for which a permit is kept for requests that come before others, if some were turned away
# lately; only three of four permits are, so that no kind of request gets none.
KEPT_SECONDS = 0.2
UNKEPT_EVERY = 4
# Time for which requests that were turned away are remembered, and how many.
TURNED_AWAY_SECONDS = 1.0
MAX_TURNED_AWAY = 256
# Used permits by account are halved when they reach this number.
MAX_USES = 64


class Applicant(NamedTuple):
    """Describe a request that needs a permit; rank 0 comes first."""

    request_id: RequestId
    rank: int
    account: AccountName | None


@dataclass(frozen=True, slots=True)
class _Permit:
    number: int
    granted_at: float


@dataclass(frozen=True, eq=False, slots=True)
class _Waiter:
    applicant: Applicant
    since: float
    granted: asyncio.Future[None]


@dataclass
class PermitPool:
    """Hold unused permits; times are of CLOCK_BOOTTIME."""

    wanted: int = 0
    used: int = 0
    returned: int = 0
    unpermitted: int = 0
    _permits: deque[_Permit] = field(default_factory=deque)
    _granted: int = 0
    _reserved: dict[RequestId, float] = field(default_factory=dict)
    _waiters: list[_Waiter] = field(default_factory=list)
    _turned_away: deque[tuple[float, Applicant]] = field(default_factory=deque)
    _uses: Counter[AccountName | None] = field(default_factory=Counter)

    @property
    def held(self) -> int:
        """Return the number of unused permits."""
        return len(self._permits) + len(self._reserved)

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a permit."""
        return len(self._waiters)

    def create_trial(self) -> "PermitPool":
        """Return a copy for which no request waits."""
        return replace(
            self,
            _permits=self._permits.copy(),
            _reserved=dict(self._reserved),
            _waiters=[],
            _turned_away=self._turned_away.copy(),
            _uses=self._uses.copy(),
        )

    def create_report(self, granted_by: HostName) -> PermitReport:
        """Return the totals for the other hosts, and whose grants this host uses."""
        return PermitReport(
            self.wanted, self.used, self.returned, self.unpermitted, self.waiting, granted_by
        )

    def add(self, permits: int, now: float) -> None:
        """Add permits, of which waiting requests get the first ones."""
        for _ in range(permits):
            self._granted += 1
            self._permits.append(_Permit(self._granted, now))
        self._waiters = [w for w in self._waiters if not w.granted.done()]
        while self._permits and self._waiters:
            waiter = min(self._waiters, key=lambda w: (*self._order(w.applicant), w.since))
            self._waiters.remove(waiter)
            self._permits.popleft()
            self._reserved[waiter.applicant.request_id] = now
            waiter.granted.set_result(None)

    def expire(self, now: float) -> None:
        """Return the permits that were not used in time."""
        while self._permits and now >= self._permits[0].granted_at + PERMIT_SECONDS:
            self._permits.popleft()
            self.returned += 1
        for request_id, granted_at in list(self._reserved.items()):
            if now >= granted_at + PERMIT_SECONDS:
                del self._reserved[request_id]
                self.returned += 1

    def may_send(self, applicant: Applicant, now: float) -> bool:
        """Return whether there is a permit for a request."""
        self.expire(now)
        if applicant.request_id in self._reserved:
            return True
        return self._find_permit(applicant, now) is not None

    def use(self, applicant: Applicant, now: float) -> None:
        """Use a permit for a request that is sent; without one, the request counts as a debt."""
        self.expire(now)
        if self._reserved.pop(applicant.request_id, None) is not None:
            # Counted as wanted when it was turned away first.
            self.used += 1
        elif permit := self._find_permit(applicant, now):
            self._permits.remove(permit)
            self.used += 1
            self.wanted += 1
        else:
            self.unpermitted += 1
            self.wanted += 1
        self._uses[applicant.account] += 1
        if self._uses[applicant.account] >= MAX_USES:
            self._uses = Counter({a: count // 2 for a, count in self._uses.items() if count > 1})

    def turn_away(self, applicant: Applicant, now: float) -> None:
        """Record a request that would have been sent if there had been a permit."""
        self.wanted += 1
        self._turned_away.append((now, applicant))
        if len(self._turned_away) > MAX_TURNED_AWAY:
            self._turned_away.popleft()

    async def wait(self, applicant: Applicant, seconds: float, now: float) -> bool:
        """Wait for a permit and keep it for the request; return whether there is one."""
        waiter = _Waiter(applicant, now, asyncio.get_running_loop().create_future())
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(seconds):
                await waiter.granted
        except TimeoutError:
            # It may have been granted in the same moment.
            return applicant.request_id in self._reserved
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        return True

    def release(self, applicant: Applicant, now: float) -> None:
        """Make a kept permit available to other requests."""
        if self._reserved.pop(applicant.request_id, None) is not None:
            self._granted -= 1
            self.add(1, now)

    def _find_permit(self, applicant: Applicant, now: float) -> _Permit | None:
        order = self._order(applicant)
        while self._turned_away and now >= self._turned_away[0][0] + TURNED_AWAY_SECONDS:
            self._turned_away.popleft()
        has_precedence = all(order <= self._order(other) for _, other in self._turned_away)
        for permit in self._permits:
            is_kept = permit.number % UNKEPT_EVERY and now < permit.granted_at + KEPT_SECONDS
            if has_precedence or not is_kept:
                return permit
        return None

    def _order(self, applicant: Applicant) -> tuple[int, int]:
        return applicant.rank, self._uses[applicant.account]
