"""Send dispatches to peers, which would otherwise rely on delayed engine reports and events."""

import threading
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

import msgpack

from turmericproxy.cache.index import BlockKey, PrefixIndex
from turmericproxy.cache.kept import KeptBlocks
from turmericproxy.core import EngineName, HostName, read_boottime
from turmericproxy.routing.engines import PeerWork

DISPATCHES_MESSAGE = "routing.dispatches"
KEPT_MESSAGE = "routing.kept"
MIN_BATCH_INTERVAL_SECONDS = 0.02
PEER_REFRESH_SECONDS = 1.0
MAX_BYTES_PER_SECOND = 64_000
MAX_CHAINS = 4_096
MAX_DISPATCHES_PER_BATCH = 256
MAX_KEPT_KEYS_PER_REPLY = 8_192
KEY_BYTES = 8


@dataclass(frozen=True)
class DispatchRecord:
    """Describe a chain of blocks sent to an engine; its first ``cached_blocks`` were cached."""

    engine: EngineName
    keys: tuple[BlockKey, ...]
    cached_blocks: int


class _ChainCache:
    """Cache the most recently added chains by their last block."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._chains: OrderedDict[BlockKey, tuple[BlockKey, ...]] = OrderedDict()

    def add(self, keys: Sequence[BlockKey]) -> None:
        """Add a chain, and evict the oldest one beyond the limit."""
        self._chains[keys[-1]] = tuple(keys)
        self._chains.move_to_end(keys[-1])
        if len(self._chains) > self._limit:
            self._chains.popitem(last=False)

    def find(self, last: BlockKey) -> tuple[BlockKey, ...]:
        """Return the cached chain that ends with a block, or that block alone."""
        return self._chains.get(last, (last,))


class SharedEngines(Protocol):
    """Provide the engine state that is sent to peers and updated from their messages."""

    index: PrefixIndex

    def count_own_tokens(self, engine: EngineName) -> float:
        """Return the uncached prompt tokens of this host's requests that wait at an engine."""

    def record_peer_work(self, engine: EngineName, host: HostName, work: PeerWork) -> None:
        """Record the prompt tokens of a peer's requests that wait at an engine."""


class WorkSharing:
    """Send this host's dispatches to peers in small batches, and apply received batches.

    The interval between batches grows with their size and the number of peers, which limits the
    average rate to ``MAX_BYTES_PER_SECOND``.
    """

    def __init__(self, links: Any, engines: SharedEngines) -> None:
        self._links = links
        self._engines = engines
        self._lock = threading.Lock()
        self._dispatches: list[DispatchRecord] = []
        self._changed_engines: set[EngineName] = set()
        self._chains = _ChainCache(MAX_CHAINS)
        self._wakeup = threading.Event()
        self._closed = threading.Event()
        self._hosts = 1
        self._exported_keys: list[BlockKey] = []
        self._kept = KeptBlocks(0)

    def set_kept_blocks(self, kept: KeptBlocks) -> None:
        """Set where blocks exported by peers are recorded."""
        self._kept = kept

    def announce_exported(self, keys: Sequence[BlockKey]) -> None:
        """Send keys of exported blocks to peers with the next batch."""
        with self._lock:
            self._exported_keys += keys
        self._wakeup.set()

    def start(self) -> None:
        """Start sending and receiving batches, if there are links to peers."""
        if self._links is None:
            return
        self._links.register(DISPATCHES_MESSAGE, self.receive)
        self._links.register(KEPT_MESSAGE, self.pack_kept_keys)
        threading.Thread(target=self._run, name="work-sharing", daemon=True).start()

    def close(self) -> None:
        """Stop sending."""
        self._closed.set()
        self._wakeup.set()

    def count_hosts(self) -> int:
        """Return the number of hosts that share the traffic, this one included."""
        return self._hosts

    def announce_dispatch(self, dispatch: DispatchRecord) -> None:
        """Send a dispatch to peers with the next batch."""
        with self._lock:
            if dispatch.keys:
                self._chains.add(dispatch.keys)
            if len(self._dispatches) < MAX_DISPATCHES_PER_BATCH:
                self._dispatches.append(dispatch)
            self._changed_engines.add(dispatch.engine)
        self._wakeup.set()

    def announce_work(self, engine: EngineName) -> None:
        """Send the uncomputed tokens of an engine to peers with the next batch."""
        with self._lock:
            self._changed_engines.add(engine)
        self._wakeup.set()

    def receive(self, host: HostName, body: Any) -> None:
        """Apply a batch from a peer."""
        now = read_boottime()
        for engine, tokens in body["work"].items():
            self._engines.record_peer_work(EngineName(engine), host, PeerWork(float(tokens), now))
        for engine, last_known_key, new in body["dispatches"]:
            keys = self._unpack_chain(last_known_key, new)
            self._engines.index.predict(EngineName(engine), keys, now)
        self._kept.add(_unpack_keys(body["kept"]))

    def pack_kept_keys(self, host: HostName, body: Any) -> bytes:
        """Return the packed keys of the most recently used kept blocks, for a peer that started."""
        return _pack_keys(self._kept.list_keys()[-MAX_KEPT_KEYS_PER_REPLY:])

    def create_batch(self) -> dict[str, Any] | None:
        """Return the next batch, or ``None`` if nothing has changed."""
        with self._lock:
            dispatches, self._dispatches = self._dispatches, []
            changed, self._changed_engines = self._changed_engines, set()
            exported, self._exported_keys = self._exported_keys, []
        if not dispatches and not changed and not exported:
            return None
        return {
            "work": {engine: round(self._engines.count_own_tokens(engine)) for engine in changed},
            "dispatches": [_pack_dispatch(dispatch) for dispatch in dispatches if dispatch.keys],
            "kept": _pack_keys(exported),
        }

    def _unpack_chain(self, last_known_key: bytes, new: bytes) -> tuple[BlockKey, ...]:
        known: tuple[BlockKey, ...] = ()
        with self._lock:
            if last_known_key:
                known = self._chains.find(int.from_bytes(last_known_key, "big"))
            keys = known + _unpack_keys(new)
            if keys:
                self._chains.add(keys)
        return keys

    def fetch_kept(self, host: HostName) -> bool:
        """Fetch the keys of kept blocks from a peer; return whether that succeeded."""
        packed = self._links.call(host, KEPT_MESSAGE, None)
        if not isinstance(packed, bytes):
            return False
        self._kept.add(_unpack_keys(packed))
        return True

    def _run(self) -> None:
        has_kept_keys = False
        while not self._closed.is_set():
            self._wakeup.wait(PEER_REFRESH_SECONDS)
            self._wakeup.clear()
            reachable = self._links.list_reachable()
            self._hosts = 1 + len(reachable)
            if reachable and not has_kept_keys:
                has_kept_keys = self.fetch_kept(reachable[0].host)
            batch = self.create_batch()
            sent = self._links.broadcast(DISPATCHES_MESSAGE, batch) if batch else 0
            size = len(msgpack.packb(batch)) if sent else 0
            self._closed.wait(max(MIN_BATCH_INTERVAL_SECONDS, size * sent / MAX_BYTES_PER_SECOND))


def _pack_dispatch(dispatch: DispatchRecord) -> tuple[str, bytes, bytes]:
    cached_blocks = min(dispatch.cached_blocks, len(dispatch.keys))
    last_known_key = (
        dispatch.keys[cached_blocks - 1].to_bytes(KEY_BYTES, "big") if cached_blocks else b""
    )
    return dispatch.engine, last_known_key, _pack_keys(dispatch.keys[cached_blocks:])


def _pack_keys(keys: Iterable[BlockKey]) -> bytes:
    return b"".join(key.to_bytes(KEY_BYTES, "big") for key in keys)


def _unpack_keys(packed: bytes) -> tuple[BlockKey, ...]:
    offsets = range(0, len(packed), KEY_BYTES)
    return tuple(int.from_bytes(packed[offset : offset + KEY_BYTES], "big") for offset in offsets)
