"""Limit the share of a service's slots that an account or a priority may hold."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from turmericproxy.core import AccountName, RequestId
from turmericproxy.core.ids import InstanceId, ServiceName
from turmericproxy.placement.registry import UpstreamState

ACCOUNT, PRIORITY = "account", "priority"


@dataclass(frozen=True, slots=True)
class Ceiling:
    """Share of a service's slots for an account or a priority, as set by an operator."""

    service: ServiceName
    account: AccountName | None
    priority: int | None
    share: float

    def holds_for(self, service: ServiceName, account: AccountName | None, priority: int) -> bool:
        """Return whether a request counts against the ceiling."""
        if service != self.service:
            return False
        return account == self.account if self.account is not None else priority == self.priority


def parse_ceilings(text: str) -> tuple[Ceiling, ...]:
    """Return the ceilings of a list; raise ``ValueError`` with the reason for bad input.

    >>> parse_ceilings("llm account acme 0.3, llm priority 1 0.5")[1].share
    0.5
    """
    ceilings: dict[tuple[str, str, str], Ceiling] = {}
    for entry in filter(None, (part.strip() for part in text.split(","))):
        words = entry.split()
        if len(words) != 4 or words[1] not in (ACCOUNT, PRIORITY):
            raise ValueError(f"{entry!r} is not SERVICE account|priority NAME SHARE")
        service, scope, name, share_text = words
        share = _parse_share(entry, share_text)
        if scope == PRIORITY and not (name.isascii() and name.isdigit()):
            raise ValueError(f"{entry!r}: the priority is not a whole number from 0")
        if (service, scope, name) in ceilings:
            raise ValueError(f"{entry!r}: there is another ceiling for the same")
        ceilings[service, scope, name] = Ceiling(
            ServiceName(service),
            AccountName(name) if scope == ACCOUNT else None,
            int(name) if scope == PRIORITY else None,
            share,
        )
    return tuple(ceilings.values())


def _parse_share(entry: str, text: str) -> float:
    try:
        share = float(text)
    except ValueError:
        raise ValueError(f"{entry!r}: the share is not a number") from None
    if not 0.0 < share <= 1.0:
        raise ValueError(f"{entry!r}: the share is not above 0 and at most 1")
    return share


def compute_allowed(ceiling: Ceiling, states: Iterable[UpstreamState]) -> int:
    """Return how many requests under a ceiling this host may have at a service's engines.

    The share of the running requests that are this host's is its part of the ceiling. One request
    is always allowed, so that a host with few requests refuses no account as a whole.
    """
    slots = own = total = 0
    for state in states:
        slots += state.entry.slots
        own += state.own_work.requests
        total += state.requests
    part = (own + 1) / (total + 1)
    return max(1, int(ceiling.share * slots * min(1.0, part)))


class CeilingMonitor:
    """Count this host's running requests under each ceiling."""

    def __init__(self, ceilings: Sequence[Ceiling]) -> None:
        self._ceilings = tuple(ceilings)
        self._running: Counter[Ceiling] = Counter()
        self._by_attempt: dict[tuple[RequestId, InstanceId], tuple[Ceiling, ...]] = {}

    def find_exceeded(
        self,
        service: ServiceName,
        account: AccountName | None,
        priority: int,
        states: Sequence[UpstreamState],
    ) -> Ceiling | None:
        """Return the ceiling that one more request would exceed, ``None`` if there is none."""
        held = (c for c in self._ceilings if c.holds_for(service, account, priority))
        return next((c for c in held if self._running[c] >= compute_allowed(c, states)), None)

    def record_start(
        self,
        attempt: tuple[RequestId, InstanceId],
        service: ServiceName,
        account: AccountName | None,
        priority: int,
    ) -> None:
        """Count an admitted request until its end."""
        held = tuple(c for c in self._ceilings if c.holds_for(service, account, priority))
        if held and attempt not in self._by_attempt:
            self._by_attempt[attempt] = held
            self._running.update(held)

    def record_end(self, attempt: tuple[RequestId, InstanceId]) -> None:
        """Stop counting a request."""
        self._running.subtract(self._by_attempt.pop(attempt, ()))
