"""Queue requests fairly across client accounts by deficit round robin."""

import threading
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from turmericproxy.core import AccountName, Refusal, ResultCode, read_boottime, refuse

QUANTUM_TOKENS = 4_000
INITIAL_SECONDS_PER_REQUEST = 0.05
SECONDS_PER_REQUEST_SMOOTHING = 0.2


@dataclass(eq=False)
class Ticket:
    """Represent one request in the queue, from ``enter`` to ``leave``."""

    account: AccountName
    tokens: int
    deadline: float
    admitted: threading.Event = field(default_factory=threading.Event)
    is_running: bool = False


@dataclass
class _AccountQueue:
    """Store the waiting tickets of one client account and its deficit counter in tokens."""

    tickets: deque[Ticket] = field(default_factory=deque)
    deficit: int = 0


class FairQueue:
    """Admit a bounded number of concurrent requests by deficit round robin across accounts.

    Each round adds a quantum of tokens to an account's deficit counter, and a request runs once
    the counter covers its tokens. Further requests of an account wait in its own queue.
    """

    def __init__(
        self,
        running: int = 64,
        waiting: int = 256,
        quantum: int = QUANTUM_TOKENS,
        read_clock: Callable[[], float] = read_boottime,
    ) -> None:
        self._running_limit = running
        self._waiting_limit = waiting
        self._quantum = quantum
        self._read_clock = read_clock
        self._lock = threading.Lock()
        self._queues: OrderedDict[AccountName, _AccountQueue] = OrderedDict()
        self._running = 0
        self._waiting = 0
        self._seconds_per_request = INITIAL_SECONDS_PER_REQUEST
        self._last_leave: float | None = None

    def enter(self, account: AccountName, tokens: int, deadline: float) -> Ticket | Refusal:
        """Wait until the request is admitted; refuse at once if the deadline can't be met."""
        ticket = Ticket(account, tokens, deadline)
        with self._lock:
            refusal = self._check_limits(ticket)
            if refusal:
                return refusal
            self._add(ticket)
            self._admit_waiting()
        if ticket.admitted.wait(max(0.0, deadline - self._read_clock())):
            return ticket
        return self._cancel(ticket)

    def leave(self, ticket: Ticket) -> None:
        """Release the ticket and admit the next request; a second call has no effect."""
        with self._lock:
            if not ticket.is_running:
                return
            ticket.is_running = False
            self._running -= 1
            self._update_seconds_per_request()
            self._admit_waiting()

    def count_waiting(self) -> int:
        """Return the number of requests that wait for admission."""
        with self._lock:
            return self._waiting

    def _check_limits(self, ticket: Ticket) -> Refusal | None:
        if self._running < self._running_limit and not self._waiting:
            return None
        queue = self._queues.get(ticket.account)
        ahead = len(queue.tickets) * len(self._queues) if queue else len(self._queues)
        seconds = min(ahead, self._waiting) * self._seconds_per_request
        if self._read_clock() + seconds > ticket.deadline:
            reason = "the expected wait in the queue of this host exceeds the deadline"
            return refuse(ResultCode.DEADLINE_UNREACHABLE, reason, retry_after=seconds)
        account_limit = self._waiting_limit // max(1, len(self._queues) + (queue is None))
        if queue and len(queue.tickets) >= account_limit or self._waiting >= self._waiting_limit:
            reason = "too many requests of the client account wait on this host"
            return refuse(ResultCode.OVERLOADED, reason, retry_after=max(seconds, 0.1))
        return None

    def _add(self, ticket: Ticket) -> None:
        self._queues.setdefault(ticket.account, _AccountQueue()).tickets.append(ticket)
        self._waiting += 1

    def _admit_waiting(self) -> None:
        while self._running < self._running_limit and self._queues:
            account, queue = next(iter(self._queues.items()))
            if queue.deficit < queue.tickets[0].tokens:
                queue.deficit += self._quantum
                self._queues.move_to_end(account)
                continue
            ticket = queue.tickets.popleft()
            queue.deficit -= ticket.tokens
            self._waiting -= 1
            if not queue.tickets:
                del self._queues[account]
            self._running += 1
            ticket.is_running = True
            ticket.admitted.set()

    def _cancel(self, ticket: Ticket) -> Ticket | Refusal:
        """Remove a ticket whose deadline passed, or return it if it was admitted meanwhile."""
        with self._lock:
            if ticket.is_running:
                return ticket
            queue = self._queues[ticket.account]
            queue.tickets.remove(ticket)
            self._waiting -= 1
            if not queue.tickets:
                del self._queues[ticket.account]
        reason = "the deadline passed while the request waited on this host"
        return refuse(
            ResultCode.DEADLINE_UNREACHABLE, reason, retry_after=self._seconds_per_request
        )

    def _update_seconds_per_request(self) -> None:
        now = self._read_clock()
        if self._waiting and self._last_leave is not None:
            interval = min(1.0, now - self._last_leave)
            self._seconds_per_request += SECONDS_PER_REQUEST_SMOOTHING * (
                interval - self._seconds_per_request
            )
        self._last_leave = now
