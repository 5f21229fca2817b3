"""Move blocks between engines and the store of kept KV cache."""

import contextlib
import queue
import threading
import time
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from turmericproxy.cache.index import create_key
from turmericproxy.cache.kept import KeptBlocks
from turmericproxy.core import EngineName, read_boottime
from turmericproxy.logs import Part, log_event
from turmericproxy.routing.requests import Choice
from turmericproxy.routing.scoring import NOTHING_KEPT, KeptChain
from turmericproxy.web import CallFailure, HttpClient

KEPT_LIMIT = 20_000
EXPORTS_PER_SECOND = 20.0
EXPORT_RESERVE = 40.0
WAITING_JOBS = 128
EXPORT_TIMEOUT = 2.0
EXPECTED_LIMIT = 4_096
IMPORT_SLACK = 3.0
SHORTEST_IMPORT_TIMEOUT = 0.1
FIRST_SECONDS_PER_CALL = 0.005
FIRST_SECONDS_PER_BLOCK = 0.015
SMOOTHING = 0.2
PAUSE_AFTER_FAILURE = 2.0


@dataclass(frozen=True)
class _Export:
    """Name blocks that an engine is asked to keep."""

    engine: EngineName
    address: str
    blocks: tuple[str, ...]


@dataclass(frozen=True)
class Replica:
    """Name the blocks of a chain that an engine is asked to import in the background."""

    engine: EngineName
    address: str
    model: str
    version: str
    blocks: tuple[str, ...]


class TransferListener(Protocol):
    """Take in what the background transfers have done."""

    def record_kept(self, keys: Sequence[int]) -> None:
        """Take in that blocks were exported."""

    def record_replica(self, replica: Replica) -> None:
        """Take in that an engine has imported a chain."""


class Transfers:
    """Export computed blocks in the background, and import kept ones before a dispatch.

    The listener is told of exports and replicas that are done. After an import took too long
    nothing is imported for ``PAUSE_AFTER_FAILURE`` seconds, and engines compute instead.
    """

    def __init__(self, listener: TransferListener, connect_timeout: float, is_used: bool) -> None:
        self.kept = KeptBlocks(KEPT_LIMIT)
        self._listener = listener
        self._connect_timeout = connect_timeout
        self._is_used = is_used
        self._jobs: queue.Queue[_Export | Replica | None] = queue.Queue(WAITING_JOBS)
        self._clients: dict[str, HttpClient] = {}
        self._lock = threading.Lock()
        self._seconds_per_block = FIRST_SECONDS_PER_BLOCK
        self._paused_until = 0.0
        self._allowance = EXPORT_RESERVE
        self._allowed_at = read_boottime()
        self._waiting: set[int] = set()
        self._expected: OrderedDict[int, _Export] = OrderedDict()

    def start(self) -> None:
        """Start to export in the background."""
        if not self._is_used:
            return
        threading.Thread(target=self._run, name="transfers", daemon=True).start()

    def close(self) -> None:
        """End the exports."""
        with self._lock:
            self._is_used = False
        try:
            self._jobs.put_nowait(None)
        except queue.Full:
            self._jobs.get_nowait()
            self._jobs.put_nowait(None)

    def describe_chain(self, keys: Sequence[int]) -> KeptChain:
        """Return which blocks are kept and the cost of importing them."""
        with self._lock:
            if not self._is_used or read_boottime() < self._paused_until:
                return NOTHING_KEPT
            per_block = self._seconds_per_block
        return KeptChain(self.kept.find(keys), FIRST_SECONDS_PER_CALL, per_block)

    def import_blocks(self, choice: Choice) -> float:
        """Let the engine import the blocks of a choice; return the seconds that it took."""
        blocks = tuple(choice.request.blocks[place] for place in choice.imports)
        replica = Replica(
            choice.engine, choice.address, choice.request.model, choice.version, blocks
        )
        started = time.monotonic()
        self._import(replica)
        return time.monotonic() - started

    def replicate(self, replica: Replica) -> None:
        """Import a chain in the background; it is told to peers when the engine has it."""
        with contextlib.suppress(queue.Full):
            self._jobs.put_nowait(replica)

    def _import(self, replica: Replica) -> bool:
        blocks = replica.blocks
        expected = FIRST_SECONDS_PER_CALL + self._seconds_per_block * len(blocks)
        body = {"blocks": blocks, "model": replica.model, "version": replica.version}
        started = time.monotonic()
        answer = self._get_client(replica.address).call_json(
            "POST",
            "/v1/kv/import",
            body,
            read_timeout=max(SHORTEST_IMPORT_TIMEOUT, IMPORT_SLACK * expected),
        )
        elapsed = time.monotonic() - started
        if isinstance(answer, CallFailure) or answer[0] != 200:
            if not isinstance(answer, CallFailure) or not answer.is_unsent:
                self._pause(replica.engine)
            return False
        count = int(answer[1]["blocks"])
        if count:
            self._learn(max(0.0, elapsed - FIRST_SECONDS_PER_CALL) / count)
        if count < len(blocks):
            self.kept.discard(create_key(block) for block in blocks[count:])
        return count == len(blocks)

    def expect(self, choice: Choice) -> None:
        """Export the blocks that the engine computes for a choice as soon as it stores them."""
        for place in range(choice.cached_blocks, len(choice.request.blocks)):
            block = choice.request.blocks[place]
            expected = _Export(choice.engine, choice.address, (block,))
            with self._lock:
                self._expected[create_key(block)] = expected
                if len(self._expected) > EXPECTED_LIMIT:
                    self._expected.popitem(last=False)

    def take_stored(self, engine: EngineName, keys: Sequence[int]) -> None:
        """Take in that an engine stored blocks."""
        with self._lock:
            found = [self._expected.pop(key) for key in keys if key in self._expected]
        at_engine = [export for export in found if export.engine == engine]
        if at_engine:
            blocks = [block for export in at_engine for block in export.blocks]
            self.offer(engine, at_engine[0].address, blocks)

    def offer(self, engine: EngineName, address: str, blocks: Sequence[str]) -> None:
        """Ask for an export of the blocks that are not kept yet, within the allowance."""
        keys = [create_key(block) for block in blocks]
        is_kept = self.kept.find(keys)
        with self._lock:
            wanted = [
                block
                for block, key, kept in zip(blocks, keys, is_kept, strict=True)
                if not kept and key not in self._waiting
            ]
            if not wanted or not self._is_used or not self._spend(len(wanted)):
                return
            self._waiting.update(create_key(block) for block in wanted)
        try:
            self._jobs.put_nowait(_Export(engine, address, tuple(wanted)))
        except queue.Full:
            self._forget(wanted)

    def _run(self) -> None:
        while True:
            job = self._jobs.get()
            if job is None:
                return
            if isinstance(job, Replica):
                if self._import(job):
                    self._listener.record_replica(job)
                continue
            self._export(job)
            self._forget(job.blocks)

    def _export(self, export: _Export) -> None:
        answer = self._get_client(export.address).call_json(
            "POST", "/v1/kv/export", {"blocks": export.blocks}, read_timeout=EXPORT_TIMEOUT
        )
        if isinstance(answer, CallFailure) or answer[0] != 200:
            log_event(Part.CACHE, "export failed", engine=export.engine, answer=str(answer))
            return
        if int(answer[1]["blocks"]) == len(export.blocks):
            keys = [create_key(block) for block in export.blocks]
            self.kept.add(keys)
            self._listener.record_kept(keys)

    def _forget(self, blocks: Sequence[str]) -> None:
        with self._lock:
            self._waiting.difference_update(create_key(block) for block in blocks)

    def _spend(self, count: int) -> bool:
        now = read_boottime()
        earned = (now - self._allowed_at) * EXPORTS_PER_SECOND
        self._allowance = min(EXPORT_RESERVE, self._allowance + earned)
        self._allowed_at = now
        if self._allowance < count:
            return False
        self._allowance -= count
        return True

    def _learn(self, seconds: float) -> None:
        with self._lock:
            self._seconds_per_block += SMOOTHING * (seconds - self._seconds_per_block)

    def _pause(self, engine: EngineName) -> None:
        with self._lock:
            self._paused_until = read_boottime() + PAUSE_AFTER_FAILURE
        log_event(Part.CACHE, "import failed, engines compute instead", engine=engine)

    def _get_client(self, address: str) -> HttpClient:
        with self._lock:
            client = self._clients.get(address)
            if client is None:
                client = HttpClient(address, connect_timeout=self._connect_timeout, connections=8)
                self._clients[address] = client
            return client
