"""Tell peers of dispatches, so that they need not wait for late reports and events."""

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

NOTE_KIND = "routing.dispatches"
KEPT_KIND = "routing.kept"
SHORTEST_PAUSE = 0.02
REFRESH_PAUSE = 1.0
BYTES_PER_SECOND = 64_000
REMEMBERED_CHAINS = 4_096
LONGEST_NOTE = 256
LARGEST_ANSWER_BLOCKS = 8_192
KEY_BYTES = 8


@dataclass(frozen=True)
class DispatchNote:
    """Say that a chain of blocks was sent to an engine, of which the first ones were there."""

    engine: EngineName
    keys: tuple[BlockKey, ...]
    known: int


class _Chains:
    """Remember chains by their last block, the lately used ones."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._chains: OrderedDict[BlockKey, tuple[BlockKey, ...]] = OrderedDict()

    def add(self, keys: Sequence[BlockKey]) -> None:
        """Remember a chain."""
        self._chains[keys[-1]] = tuple(keys)
        self._chains.move_to_end(keys[-1])
        if len(self._chains) > self._limit:
            self._chains.popitem(last=False)

    def find(self, last: BlockKey) -> tuple[BlockKey, ...]:
        """Return the chain that ends with a block, or that block alone."""
        return self._chains.get(last, (last,))


class SharedState(Protocol):
    """Offer what the notes tell of and what they change."""

    index: PrefixIndex

    def count_own_tokens(self, engine: EngineName) -> float:
        """Return the tokens that own requests wait for at an engine."""

    def record_peer_work(self, engine: EngineName, host: HostName, work: PeerWork) -> None:
        """Take in the tokens that a peer's requests wait for at an engine."""


class WorkSharing:
    """Send notes of own dispatches in small batches and take in those of peers.

    The pause between two batches grows with their size and the number of peers, so that a host
    sends at most ``BYTES_PER_SECOND`` on average.
    """

    def __init__(self, links: Any, state: SharedState) -> None:
        self._links = links
        self._state = state
        self._lock = threading.Lock()
        self._notes: list[DispatchNote] = []
        self._changed: set[EngineName] = set()
        self._chains = _Chains(REMEMBERED_CHAINS)
        self._wake = threading.Event()
        self._closed = threading.Event()
        self._hosts = 1
        self._exported: list[BlockKey] = []
        self._kept = KeptBlocks(0)

    def follow_kept(self, kept: KeptBlocks) -> None:
        """Add the blocks that peers export to ``kept``."""
        self._kept = kept

    def add_kept(self, keys: Sequence[BlockKey]) -> None:
        """Tell peers of exported blocks with the next batch."""
        with self._lock:
            self._exported += keys
        self._wake.set()

    def start(self) -> None:
        """Start to send and receive notes."""
        if self._links is None:
            return
        self._links.register(NOTE_KIND, self.receive)
        self._links.register(KEPT_KIND, self.describe_kept)
        threading.Thread(target=self._run, name="work-sharing", daemon=True).start()

    def close(self) -> None:
        """Stop sending."""
        self._closed.set()
        self._wake.set()

    def count_hosts(self) -> int:
        """Return the number of hosts that share the traffic, this one included."""
        return self._hosts

    def add(self, note: DispatchNote) -> None:
        """Tell peers of a dispatch with the next batch."""
        with self._lock:
            if note.keys:
                self._chains.add(note.keys)
            if len(self._notes) < LONGEST_NOTE:
                self._notes.append(note)
            self._changed.add(note.engine)
        self._wake.set()

    def mark_changed(self, engine: EngineName) -> None:
        """Tell peers of an engine's outstanding work with the next batch."""
        with self._lock:
            self._changed.add(engine)
        self._wake.set()

    def receive(self, host: HostName, body: Any) -> None:
        """Take in a batch of a peer."""
        now = read_boottime()
        for engine, tokens in body["work"].items():
            self._state.record_peer_work(EngineName(engine), host, PeerWork(float(tokens), now))
        for engine, known_last, new in body["dispatches"]:
            keys = self._unpack_chain(known_last, new)
            self._state.index.predict(EngineName(engine), keys, now)
        self._kept.add(_unpack_keys(body["kept"]))

    def describe_kept(self, host: HostName, body: Any) -> bytes:
        """Return the kept blocks used last, for a peer that has just started."""
        return _pack_keys(self._kept.list_keys()[-LARGEST_ANSWER_BLOCKS:])

    def create_batch(self) -> dict[str, Any] | None:
        """Return the next batch, or ``None`` if there is nothing to tell."""
        with self._lock:
            notes, self._notes = self._notes, []
            changed, self._changed = self._changed, set()
            exported, self._exported = self._exported, []
        if not notes and not changed and not exported:
            return None
        return {
            "work": {engine: round(self._state.count_own_tokens(engine)) for engine in changed},
            "dispatches": [_pack_note(note) for note in notes if note.keys],
            "kept": _pack_keys(exported),
        }

    def _unpack_chain(self, known_last: bytes, new: bytes) -> tuple[BlockKey, ...]:
        known: tuple[BlockKey, ...] = ()
        with self._lock:
            if known_last:
                known = self._chains.find(int.from_bytes(known_last, "big"))
            keys = known + _unpack_keys(new)
            if keys:
                self._chains.add(keys)
        return keys

    def fetch_kept(self, host: HostName) -> bool:
        """Take over what a peer knows of the kept blocks, after a start."""
        packed = self._links.call(host, KEPT_KIND, None)
        if not isinstance(packed, bytes):
            return False
        self._kept.add(_unpack_keys(packed))
        return True

    def _run(self) -> None:
        is_filled = False
        while not self._closed.is_set():
            self._wake.wait(REFRESH_PAUSE)
            self._wake.clear()
            reachable = self._links.list_reachable()
            self._hosts = 1 + len(reachable)
            if reachable and not is_filled:
                is_filled = self.fetch_kept(reachable[0].host)
            batch = self.create_batch()
            sent = self._links.broadcast(NOTE_KIND, batch) if batch else 0
            size = len(msgpack.packb(batch)) if sent else 0
            self._closed.wait(max(SHORTEST_PAUSE, size * sent / BYTES_PER_SECOND))


def _pack_note(note: DispatchNote) -> tuple[str, bytes, bytes]:
    known = min(note.known, len(note.keys))
    known_last = note.keys[known - 1].to_bytes(KEY_BYTES, "big") if known else b""
    return note.engine, known_last, _pack_keys(note.keys[known:])


def _pack_keys(keys: Iterable[BlockKey]) -> bytes:
    return b"".join(key.to_bytes(KEY_BYTES, "big") for key in keys)


def _unpack_keys(packed: bytes) -> tuple[BlockKey, ...]:
    places = range(0, len(packed), KEY_BYTES)
    return tuple(int.from_bytes(packed[p : p + KEY_BYTES], "big") for p in places)
