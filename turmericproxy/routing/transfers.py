"""Move blocks between engines and the store of kept KV cache."""

import queue
import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from turmericproxy.cache.index import create_key
from turmericproxy.cache.kept import KeptBlocks
from turmericproxy.core import EngineName, read_boottime
from turmericproxy.logs import Part, log_event
from turmericproxy.routing.requests import EngineChoice
from turmericproxy.routing.scoring import NOTHING_KEPT, KeptChain
from turmericproxy.web import CallFailure, HttpClient

KEPT_LIMIT = 20_000
EXPORTS_PER_SECOND = 20.0
EXPORT_RESERVE = 40.0
WAITING_EXPORTS = 128
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


class Transfers:
    """Export computed blocks in the background, and import kept ones before a dispatch.

    ``tell`` is called with the blocks that were exported. After an import took too long nothing
    is imported for ``PAUSE_AFTER_FAILURE`` seconds, and engines compute instead.
    """

    def __init__(
        self, tell: Callable[[Sequence[int]], None], connect_timeout: float, is_used: bool
    ) -> None:
        self.kept = KeptBlocks(KEPT_LIMIT)
        self._tell = tell
        self._connect_timeout = connect_timeout
        self._is_used = is_used
        self._exports: queue.Queue[_Export | None] = queue.Queue(WAITING_EXPORTS)
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
        threading.Thread(target=self._run, name="exports", daemon=True).start()

    def close(self) -> None:
        """End the exports."""
        with self._lock:
            self._is_used = False
        try:
            self._exports.put_nowait(None)
        except queue.Full:
            self._exports.get_nowait()
            self._exports.put_nowait(None)

    def describe_chain(self, keys: Sequence[int]) -> KeptChain:
        """Return which blocks are kept and the cost of importing them."""
        with self._lock:
            if not self._is_used or read_boottime() < self._paused_until:
                return NOTHING_KEPT
            per_block = self._seconds_per_block
        return KeptChain(self.kept.find(keys), FIRST_SECONDS_PER_CALL, per_block)

    def import_blocks(self, choice: EngineChoice) -> float:
        """Let the engine import the blocks of a choice; return the seconds that it took."""
        blocks = [choice.request.blocks[place] for place in choice.imports]
        expected = FIRST_SECONDS_PER_CALL + self._seconds_per_block * len(blocks)
        body = {
            "blocks": blocks,
            "model": choice.request.model,
            "version": choice.version,
        }
        started = time.monotonic()
        answer = self._get_client(choice.address).call_json(
            "POST",
            "/v1/kv/import",
            body,
            read_timeout=max(SHORTEST_IMPORT_TIMEOUT, IMPORT_SLACK * expected),
        )
        elapsed = time.monotonic() - started
        if isinstance(answer, CallFailure) or answer[0] != 200:
            if not isinstance(answer, CallFailure) or not answer.is_unsent:
                self._pause(choice.engine)
            return elapsed
        count = int(answer[1]["blocks"])
        if count:
            self._learn(max(0.0, elapsed - FIRST_SECONDS_PER_CALL) / count)
        if count < len(blocks):
            self.kept.discard(create_key(block) for block in blocks[count:])
        return elapsed

    def expect(self, choice: EngineChoice) -> None:
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
            found = [self._expected[key] for key in keys if key in self._expected]
            at_engine = [export for export in found if export.engine == engine]
            blocks = [block for export in at_engine for block in export.blocks]
            for block in blocks:
                del self._expected[create_key(block)]
        if at_engine:
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
            self._exports.put_nowait(_Export(engine, address, tuple(wanted)))
        except queue.Full:
            self._forget(wanted)

    def count_waiting(self) -> int:
        """Return the number of blocks whose export is under way."""
        with self._lock:
            return len(self._waiting)

    def _run(self) -> None:
        while True:
            export = self._exports.get()
            if export is None:
                return
            self._export(export)
            self._forget(export.blocks)

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
            self._tell(keys)

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
