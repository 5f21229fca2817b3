"""Record the requests that an engine served, as a reference for tests."""

import threading
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from turmericproxy.standins.engine.batch import Job, JobState

MAX_RECORDS = 20_000


@dataclass(frozen=True)
class ServedRecord:
    """Request in the engine, with the headers and body that were received."""

    job: Job
    incarnation: str
    headers: dict[str, str]
    body: str | None
    received_at: float = field(default_factory=time.time)

    def describe(self) -> dict[str, Any]:
        """Return the record as a JSON value."""
        job = self.job
        return {
            "request_id": job.request_id,
            "model": job.model,
            "version": job.version,
            "salt": job.salt,
            "prompt_tokens": job.prompt_tokens,
            "cached_tokens": job.cached_tokens,
            "start": job.start,
            "produced": job.produced,
            "priority": job.priority,
            "cancelled": job.state is JobState.CANCELLED,
            "done": job.state is JobState.DONE,
            "incarnation": self.incarnation,
            "taken_at": self.received_at,
            "headers": self.headers,
            "body": self.body,
        }


class ServedLog:
    """Keep the latest records of all incarnations."""

    def __init__(self) -> None:
        self._records: deque[ServedRecord] = deque(maxlen=MAX_RECORDS)
        self._lock = threading.Lock()

    def add(self, record: ServedRecord) -> None:
        """Add the record of a request."""
        with self._lock:
            self._records.append(record)

    def describe(self) -> list[dict[str, Any]]:
        """Return all records in order of arrival."""
        with self._lock:
            records = list(self._records)
        return [record.describe() for record in records]
