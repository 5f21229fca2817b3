"""Transfer blocks between engines and the store of kept KV cache."""

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

MAX_KEPT_BLOCKS = 20_000
EXPORTED_BLOCKS_PER_SECOND = 20.0
EXPORT_BURST_BLOCKS = 40.0
MAX_QUEUED_EXPORTS = 128
EXPORT_TIMEOUT_SECONDS = 2.0
MAX_EXPECTED_BLOCKS = 4_096
IMPORT_TIMEOUT_FACTOR = 3.0
MIN_IMPORT_TIMEOUT_SECONDS = 0.1
IMPORT_SECONDS_PER_CALL = 0.005
INITIAL_IMPORT_SECONDS_PER_BLOCK = 0.015
IMPORT_SECONDS_SMOOTHING = 0.2
IMPORT_PAUSE_SECONDS = 2.0


@dataclass(frozen=True)
class _Export:
    """Name blocks that an engine is asked to export to the kept store."""

    engine: EngineName
    address: str
    blocks: tuple[str, ...]


class Transfers:
    """Export computed blocks in the background, and import kept blocks before a dispatch.

    ``on_exported`` is called with the keys of exported blocks. After an import
    failed or timed out, imports are paused for ``IMPORT_PAUSE_SECONDS`` and engines recompute the
    blocks. A failed connection to the engine does not pause imports.
    """

    def __init__(
        self, on_exported: Callable[[Sequence[int]], None], connect_timeout: float, is_enabled: bool
    ) -> None:
        self.kept = KeptBlocks(MAX_KEPT_BLOCKS)
        self._on_exported = on_exported
        self._connect_timeout = connect_timeout
        self._is_enabled = is_enabled
        self._exports: queue.Queue[_Export | None] = queue.Queue(MAX_QUEUED_EXPORTS)
        self._clients: dict[str, HttpClient] = {}
        self._lock = threading.Lock()
        self._seconds_per_block = INITIAL_IMPORT_SECONDS_PER_BLOCK
        self._imports_paused_until = 0.0
        self._block_allowance = EXPORT_BURST_BLOCKS
        self._allowance_updated_at = read_boottime()
        self._pending_keys: set[int] = set()
        self._expected_exports: OrderedDict[int, _Export] = OrderedDict()

    def start(self) -> None:
        """Start exporting in the background, if transfers are enabled."""
        if not self._is_enabled:
            return
        threading.Thread(target=self._run, name="exports", daemon=True).start()

    def close(self) -> None:
        """Stop exporting."""
        with self._lock:
            self._is_enabled = False
        try:
            self._exports.put_nowait(None)
        except queue.Full:
            self._exports.get_nowait()
            self._exports.put_nowait(None)

    def describe_chain(self, keys: Sequence[int]) -> KeptChain:
        """Return which blocks are kept and the import cost; none are while imports are paused."""
        with self._lock:
            if not self._is_enabled or read_boottime() < self._imports_paused_until:
                return NOTHING_KEPT
            per_block = self._seconds_per_block
        return KeptChain(self.kept.find(keys), IMPORT_SECONDS_PER_CALL, per_block)

    def import_blocks(self, choice: EngineChoice) -> float:
        """Make the engine import the blocks of a choice; return the elapsed seconds."""
        blocks = [choice.request.blocks[index] for index in choice.imports]
        expected = IMPORT_SECONDS_PER_CALL + self._seconds_per_block * len(blocks)
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
            read_timeout=max(MIN_IMPORT_TIMEOUT_SECONDS, IMPORT_TIMEOUT_FACTOR * expected),
        )
        elapsed = time.monotonic() - started
        if isinstance(answer, CallFailure) or answer[0] != 200:
            if not isinstance(answer, CallFailure) or not answer.is_unsent:
                self._pause_imports(choice.engine)
            return elapsed
        count = int(answer[1]["blocks"])
        if count:
            self._update_import_seconds(max(0.0, elapsed - IMPORT_SECONDS_PER_CALL) / count)
        if count < len(blocks):
            self.kept.discard(create_key(block) for block in blocks[count:])
        return elapsed

    def export_when_stored(self, choice: EngineChoice) -> None:
        """Export the uncached blocks of a choice as soon as the engine reports them stored."""
        for index in range(choice.cached_blocks, len(choice.request.blocks)):
            block = choice.request.blocks[index]
            expected = _Export(choice.engine, choice.address, (block,))
            with self._lock:
                self._expected_exports[create_key(block)] = expected
                if len(self._expected_exports) > MAX_EXPECTED_BLOCKS:
                    self._expected_exports.popitem(last=False)

    def record_stored(self, engine: EngineName, keys: Sequence[int]) -> None:
        """Request the export of expected blocks that an engine stored."""
        with self._lock:
            found = [self._expected_exports[key] for key in keys if key in self._expected_exports]
            at_engine = [export for export in found if export.engine == engine]
            blocks = [block for export in at_engine for block in export.blocks]
            for block in blocks:
                del self._expected_exports[create_key(block)]
        if at_engine:
            self.request_export(engine, at_engine[0].address, blocks)

    def request_export(self, engine: EngineName, address: str, blocks: Sequence[str]) -> None:
        """Queue an export of the blocks that are not yet kept, if the rate limit allows it."""
        keys = [create_key(block) for block in blocks]
        is_kept = self.kept.find(keys)
        with self._lock:
            wanted = [
                block
                for block, key, kept in zip(blocks, keys, is_kept, strict=True)
                if not kept and key not in self._pending_keys
            ]
            if not wanted or not self._is_enabled or not self._consume_allowance(len(wanted)):
                return
            self._pending_keys.update(create_key(block) for block in wanted)
        try:
            self._exports.put_nowait(_Export(engine, address, tuple(wanted)))
        except queue.Full:
            self._remove_pending(wanted)

    def count_pending(self) -> int:
        """Return the number of blocks whose export is queued or running."""
        with self._lock:
            return len(self._pending_keys)

    def _run(self) -> None:
        while True:
            export = self._exports.get()
            if export is None:
                return
            self._export(export)
            self._remove_pending(export.blocks)

    def _export(self, export: _Export) -> None:
        answer = self._get_client(export.address).call_json(
            "POST", "/v1/kv/export", {"blocks": export.blocks}, read_timeout=EXPORT_TIMEOUT_SECONDS
        )
        if isinstance(answer, CallFailure) or answer[0] != 200:
            log_event(Part.CACHE, "export failed", engine=export.engine, answer=str(answer))
            return
        if int(answer[1]["blocks"]) == len(export.blocks):
            keys = [create_key(block) for block in export.blocks]
            self.kept.add(keys)
            self._on_exported(keys)

    def _remove_pending(self, blocks: Sequence[str]) -> None:
        with self._lock:
            self._pending_keys.difference_update(create_key(block) for block in blocks)

    def _consume_allowance(self, count: int) -> bool:
        """Take ``count`` blocks from the token bucket of exports if it holds that many."""
        now = read_boottime()
        refill = (now - self._allowance_updated_at) * EXPORTED_BLOCKS_PER_SECOND
        self._block_allowance = min(EXPORT_BURST_BLOCKS, self._block_allowance + refill)
        self._allowance_updated_at = now
        if self._block_allowance < count:
            return False
        self._block_allowance -= count
        return True

    def _update_import_seconds(self, seconds: float) -> None:
        with self._lock:
            self._seconds_per_block += IMPORT_SECONDS_SMOOTHING * (
                seconds - self._seconds_per_block
            )

    def _pause_imports(self, engine: EngineName) -> None:
        with self._lock:
            self._imports_paused_until = read_boottime() + IMPORT_PAUSE_SECONDS
        log_event(Part.CACHE, "import failed, imports paused", engine=engine)

    def _get_client(self, address: str) -> HttpClient:
        with self._lock:
            client = self._clients.get(address)
            if client is None:
                client = HttpClient(address, connect_timeout=self._connect_timeout, connections=8)
                self._clients[address] = client
            return client
