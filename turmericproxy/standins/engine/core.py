"""Run one incarnation of an engine: its batch, cache, events and load report."""

import threading
import time
from collections import deque
from dataclasses import asdict, dataclass, field

from turmericproxy.core import create_id
from turmericproxy.standins.engine.batch import Batcher, Job, JobState
from turmericproxy.standins.engine.cache import PrefixCache
from turmericproxy.standins.engine.events import EventLog
from turmericproxy.standins.engine.options import EngineFaults, EngineOptions

REPORT_INTERVAL_SECONDS = 0.02
MAX_CATCH_UP_STEPS = 5


@dataclass(frozen=True)
class LoadReport:
    """Load of an engine; ``as_of`` is in seconds since the epoch."""

    incarnation: str
    running: int
    queued: int
    queued_tokens: int
    cached_blocks: int
    capacity_blocks: int
    versions: dict[str, str]
    role: str
    loading: list[str]
    as_of: float


@dataclass
class Weights:
    """Model versions that an engine serves and loads, and its role."""

    versions: dict[str, str]
    role: str
    loading: dict[str, str] = field(default_factory=dict)


class EngineCore:
    """Run the batch of one incarnation in a thread of its own."""

    def __init__(self, options: EngineOptions, faults: EngineFaults) -> None:
        self.incarnation = create_id()
        self.options = options
        self.events = EventLog(faults, options.seed)
        self.cache = PrefixCache(options.capacity_blocks, self.events.publish)
        self.weights = Weights(dict(options.models), options.role)
        self.imported = 0
        self._faults = faults
        self._batcher = Batcher(options.slots, options.decode_time, self.cache)
        self._jobs: dict[str, Job] = {}
        self._ended: deque[tuple[float, Job]] = deque()
        self._reports: deque[LoadReport] = deque(maxlen=10_000)
        self._condition = threading.Condition()
        self._is_closed = False
        self._thread = threading.Thread(target=self._run, name="batch", daemon=True)

    def start(self) -> None:
        """Start the scheduler."""
        with self._condition:
            self._record_report()
        self._thread.start()

    def close(self) -> None:
        """End all requests as lost and stop the scheduler."""
        with self._condition:
            self._is_closed = True
            lost = [job for job in self._jobs.values() if self._batcher.end(job, JobState.LOST)]
            self._condition.notify_all()
        for job in lost:
            job.notify()
        self._thread.join(timeout=2.0)

    def submit(self, job: Job) -> None:
        """Queue a request, and cancel a running one that has the same id."""
        self.cancel(job.request_id)
        with self._condition:
            self._jobs[job.request_id] = job
            if self._is_closed:
                job.state = JobState.LOST
            else:
                self._batcher.submit(job)
            self._condition.notify_all()

    def reattach(self, request_id: str) -> Job | None:
        """Return a request and prevent its expiry, or ``None`` if it is not retained."""
        with self._condition:
            job = self._jobs.get(request_id)
            if job:
                job.connections += 1
                job.detached_at = None
            return job

    def detach(self, job: Job) -> None:
        """Record a lost connection; ``resume_hold`` seconds after the last the request ends."""
        with self._condition:
            job.connections -= 1
            if job.connections == 0:
                job.detached_at = time.monotonic()

    def cancel(self, request_id: str) -> bool:
        """Stop a request and return whether it was running."""
        with self._condition:
            job = self._jobs.get(request_id)
            is_cancelled = job is not None and self._end(job, JobState.CANCELLED)
        if job and is_cancelled:
            job.notify()
        return is_cancelled

    def install(self, model: str, version: str | None) -> None:
        """Replace or unload the version of a model, and remove the blocks of the old version."""
        with self._condition:
            if self.weights.loading.get(model) == version:
                del self.weights.loading[model]
            old = self.weights.versions.pop(model, None)
            if version is not None:
                self.weights.versions[model] = version
            if old is not None and old != version:
                self.cache.remove_weights(f"{model}@{old}")
            self._record_report()

    def mark_loading(self, model: str, version: str) -> bool:
        """Mark a version as loading; return ``False`` if it is already served or loading."""
        with self._condition:
            current = self.weights.loading.get(model, self.weights.versions.get(model))
            if current == version:
                return False
            self.weights.loading[model] = version
            self._record_report()
            return True

    def is_loading(self, model: str) -> bool:
        """Return whether the weights of a model are being replaced."""
        with self._condition:
            return model in self.weights.loading

    def set_role(self, role: str) -> None:
        """Change the role that the engine reports."""
        with self._condition:
            self.weights.role = role
            self._record_report()

    def store_block(self, block: str, weights: str) -> None:
        """Add an imported block to the cache."""
        with self._condition:
            self.imported += 1
            self.cache.store(block, weights)

    def find_weights(self, block: str) -> str | None:
        """Return the weights that computed a block, or ``None`` if it is not cached."""
        with self._condition:
            return self.cache.find_weights(block)

    def list_blocks(self) -> list[str]:
        """Return the cached blocks."""
        with self._condition:
            return self.cache.list_blocks()

    def clear_cache(self) -> None:
        """Remove every cached block."""
        with self._condition:
            self.cache.clear()

    def read_load(self) -> dict[str, object]:
        """Return the load report as it was ``load_lag`` seconds ago."""
        with self._condition:
            self._record_report()
            latest = time.time() - self._faults.load_lag
            while len(self._reports) > 1 and self._reports[1].as_of <= latest:
                self._reports.popleft()
            return asdict(self._reports[0])

    def _record_report(self) -> None:
        batch, weights = self._batcher, self.weights
        self._reports.append(
            LoadReport(
                incarnation=self.incarnation,
                running=len(batch.running),
                queued=len(batch.queued),
                queued_tokens=batch.count_pending_prefill_tokens(),
                cached_blocks=len(self.cache),
                capacity_blocks=self.cache.capacity,
                versions=dict(weights.versions),
                role=weights.role,
                loading=sorted(weights.loading),
                as_of=time.time(),
            )
        )

    def _end(self, job: Job, state: JobState) -> bool:
        is_ended = self._batcher.end(job, state)
        if is_ended:
            self._ended.append((time.monotonic(), job))
        return is_ended

    def _run(self) -> None:
        last_step_at = time.monotonic()
        while True:
            with self._condition:
                if self._batcher.is_idle() and not self._is_closed:
                    self._record_report()
                    self._condition.wait(timeout=self.options.resume_hold)
                    last_step_at = time.monotonic() - self.options.step_time
                if self._is_closed:
                    return
                now = time.monotonic()
                elapsed = min(now - last_step_at, MAX_CATCH_UP_STEPS * self.options.step_time)
                last_step_at = now
                advanced = self._batcher.step(now, elapsed * self.options.prefill_rate)
                self._ended.extend((now, job) for job in advanced if job.is_ended)
                advanced += self._expire_requests(now)
                if time.time() - self._reports[-1].as_of > REPORT_INTERVAL_SECONDS:
                    self._record_report()
            for job in advanced:
                job.notify()
            time.sleep(max(0.0, now + self.options.step_time - time.monotonic()))

    def _expire_requests(self, now: float) -> list[Job]:
        limit = now - self.options.resume_hold
        expired = [
            job
            for job in self._jobs.values()
            if job.detached_at and job.detached_at < limit and self._end(job, JobState.CANCELLED)
        ]
        while self._ended and self._ended[0][0] < limit:
            _, job = self._ended.popleft()
            if self._jobs.get(job.request_id) is job:
                del self._jobs[job.request_id]
        return expired
