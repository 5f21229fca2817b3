"""Let client accounts take turns on a host by deficit round robin."""

import threading
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from turmericproxy.core import AccountName, Refusal, ResultCode, read_boottime, refuse

QUANTUM_TOKENS = 4_000
SECONDS_PER_TURN = 0.05
TURN_SMOOTHING = 0.2


@dataclass(eq=False)
class Ticket:
    """Stand for one request's place, from ``enter`` to ``leave``."""

    account: AccountName
    tokens: int
    deadline: float
    turn: threading.Event = field(default_factory=threading.Event)
    is_running: bool = False


@dataclass
class _Line:
    """Hold the waiting tickets of one client account and its deficit in tokens."""

    tickets: deque[Ticket] = field(default_factory=deque)
    deficit: int = 0


class FairQueue:
    """Admit a bounded number of requests at a time, the accounts in turn.

    Each turn adds a quantum of tokens to an account's deficit, and a request runs once the
    deficit covers its tokens. An account that sends more waits in its own line.
    """

    def __init__(
        self,
        running: int = 64,
        waiting: int = 256,
        quantum: int = QUANTUM_TOKENS,
        read_clock: Callable[[], float] = read_boottime,
    ) -> None:
        self._slots = running
        self._waiting_limit = waiting
        self._quantum = quantum
        self._read_clock = read_clock
        self._lock = threading.Lock()
        self._lines: OrderedDict[AccountName, _Line] = OrderedDict()
        self._running = 0
        self._waiting = 0
        self._seconds_per_turn = SECONDS_PER_TURN
        self._last_leave: float | None = None

    def enter(self, account: AccountName, tokens: int, deadline: float) -> Ticket | Refusal:
        """Wait for the account's turn; refuse at once if it can't come before the deadline."""
        ticket = Ticket(account, tokens, deadline)
        with self._lock:
            refusal = self._check_room(ticket)
            if refusal:
                return refusal
            self._add(ticket)
            self._start_next()
        if ticket.turn.wait(max(0.0, deadline - self._read_clock())):
            return ticket
        return self._withdraw(ticket)

    def leave(self, ticket: Ticket) -> None:
        """Give the place back and start the next request; a second call does nothing."""
        with self._lock:
            if not ticket.is_running:
                return
            ticket.is_running = False
            self._running -= 1
            self._learn_pace()
            self._start_next()

    def count_waiting(self) -> int:
        """Return the number of requests that wait for their turn."""
        with self._lock:
            return self._waiting

    def _check_room(self, ticket: Ticket) -> Refusal | None:
        if self._running < self._slots and not self._waiting:
            return None
        line = self._lines.get(ticket.account)
        ahead = len(line.tickets) * len(self._lines) if line else len(self._lines)
        seconds = min(ahead, self._waiting) * self._seconds_per_turn
        if self._read_clock() + seconds > ticket.deadline:
            reason = "the queue on this host is longer than the deadline"
            return refuse(ResultCode.DEADLINE_UNREACHABLE, reason, retry_after=seconds)
        share = self._waiting_limit // max(1, len(self._lines) + (line is None))
        if line and len(line.tickets) >= share or self._waiting >= self._waiting_limit:
            reason = "too many requests of the client account wait on this host"
            return refuse(ResultCode.OVERLOADED, reason, retry_after=max(seconds, 0.1))
        return None

    def _add(self, ticket: Ticket) -> None:
        self._lines.setdefault(ticket.account, _Line()).tickets.append(ticket)
        self._waiting += 1

    def _start_next(self) -> None:
        while self._running < self._slots and self._lines:
            account, line = next(iter(self._lines.items()))
            if line.deficit < line.tickets[0].tokens:
                line.deficit += self._quantum
                self._lines.move_to_end(account)
                continue
            ticket = line.tickets.popleft()
            line.deficit -= ticket.tokens
            self._waiting -= 1
            if not line.tickets:
                del self._lines[account]
            self._running += 1
            ticket.is_running = True
            ticket.turn.set()

    def _withdraw(self, ticket: Ticket) -> Ticket | Refusal:
        with self._lock:
            if ticket.is_running:
                return ticket
            line = self._lines[ticket.account]
            line.tickets.remove(ticket)
            self._waiting -= 1
            if not line.tickets:
                del self._lines[ticket.account]
        reason = "the deadline passed while the request waited on this host"
        return refuse(ResultCode.DEADLINE_UNREACHABLE, reason, retry_after=self._seconds_per_turn)

    def _learn_pace(self) -> None:
        now = self._read_clock()
        if self._waiting and self._last_leave is not None:
            gap = min(1.0, now - self._last_leave)
            self._seconds_per_turn += TURN_SMOOTHING * (gap - self._seconds_per_turn)
        self._last_leave = now
