"""Batch requests continuously: each step prefills and decodes all running requests."""

import threading
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from turmericproxy.cache.blocks import TOKENS_PER_BLOCK
from turmericproxy.standins.engine.cache import PrefixCache


class JobState(Enum):
    """State of a request in the engine."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"
    LOST = "lost"


ENDED_STATES = frozenset({JobState.DONE, JobState.CANCELLED, JobState.LOST})


@dataclass(eq=False)
class Job:
    """Request in the engine; ``produced`` is the index of the next piece."""

    request_id: str
    model: str
    version: str
    salt: str
    prompt_digest: str
    prompt_tokens: int
    blocks: tuple[str, ...]
    max_tokens: int
    start: int
    priority: int
    state: JobState = JobState.QUEUED
    cached_tokens: int = 0
    computed_tokens: int | None = None
    produced: int = 0
    next_piece_at: float = 0.0
    connections: int = 1
    detached_at: float | None = None
    arrival_number: int = 0
    changed: threading.Condition = field(default_factory=threading.Condition)

    @property
    def prefill_tokens(self) -> int:
        """Return the tokens to prefill before the first piece if none of them is cached."""
        return self.prompt_tokens + self.start

    @property
    def remaining_tokens(self) -> int:
        """Return the prefill tokens that are not computed yet."""
        return self.prefill_tokens - (self.computed_tokens or 0)

    @property
    def is_ended(self) -> bool:
        """Return whether the request has ended, for whatever reason."""
        return self.state in ENDED_STATES

    def notify(self) -> None:
        """Wake the threads that wait for pieces."""
        with self.changed:
            self.changed.notify_all()


def _rank(job: Job) -> tuple[int, int]:
    return job.priority, job.arrival_number


class Batcher:
    """Run up to ``slots`` requests at a time; callers must serialize access."""

    def __init__(self, slots: int, decode_time: float, cache: PrefixCache) -> None:
        self.slots = slots
        self.decode_time = decode_time
        self.cache = cache
        self.queued: list[Job] = []
        self.running: list[Job] = []
        self._submitted = 0

    def submit(self, job: Job) -> None:
        """Queue a request by its priority, then by its order of arrival."""
        self._submitted += 1
        job.arrival_number = self._submitted
        job.produced = job.start
        self.queued.append(job)
        self.queued.sort(key=_rank)

    def end(self, job: Job, state: JobState) -> bool:
        """Remove a request from the batch; return ``False`` if it had ended before."""
        if job.is_ended:
            return False
        job.state = state
        for group in (self.queued, self.running):
            if job in group:
                group.remove(job)
        return True

    def is_idle(self) -> bool:
        """Return whether no request is queued or running."""
        return not self.queued and not self.running

    def count_pending_prefill_tokens(self) -> int:
        """Return the prefill tokens not computed yet, those of running requests included."""
        return sum(job.remaining_tokens for job in self._list_jobs())

    def step(self, now: float, budget: float) -> list[Job]:
        """Prefill up to ``budget`` tokens, decode once, and return the jobs that advanced."""
        while self.queued and len(self.running) < self.slots:
            job = self.queued.pop(0)
            job.state = JobState.RUNNING
            self.running.append(job)
        self._prefill(now, budget)
        return self._decode(now)

    def _list_jobs(self) -> Iterable[Job]:
        yield from self.queued
        yield from self.running

    def _prefill(self, now: float, budget: float) -> None:
        remaining = int(budget)
        for job in sorted(self.running, key=_rank):
            if remaining <= 0:
                return
            if job.computed_tokens is None:
                self._match_cache(job)
            if job.remaining_tokens <= 0:
                continue
            remaining -= self._compute(job, remaining)
            job.next_piece_at = now

    def _match_cache(self, job: Job) -> None:
        cached = self.cache.match(job.blocks) * TOKENS_PER_BLOCK
        job.cached_tokens = min(cached, job.prompt_tokens)
        # At least one token is computed, since its output gives the first piece.
        job.computed_tokens = min(job.cached_tokens, job.prefill_tokens - 1)

    def _compute(self, job: Job, budget: int) -> int:
        before = job.computed_tokens or 0
        computed = min(budget, job.remaining_tokens)
        job.computed_tokens = before + computed
        first, last = before // TOKENS_PER_BLOCK, job.computed_tokens // TOKENS_PER_BLOCK
        for block in job.blocks[first:last]:
            self.cache.store(block, f"{job.model}@{job.version}")
        return computed

    def _decode(self, now: float) -> list[Job]:
        advanced = []
        for job in list(self.running):
            if job.computed_tokens is None or job.remaining_tokens > 0 or now < job.next_piece_at:
                continue
            if job.produced < job.max_tokens:
                job.produced += 1
                job.next_piece_at = max(job.next_piece_at + self.decode_time, now)
            if job.produced >= job.max_tokens:
                self.end(job, JobState.DONE)
            advanced.append(job)
        return advanced
