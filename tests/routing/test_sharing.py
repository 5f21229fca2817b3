from tests.routing.support import create_chain
from turmericproxy.cache.index import create_key
from turmericproxy.cache.kept import KeptBlocks
from turmericproxy.core import EngineName, HostName
from turmericproxy.routing.engine_registry import EngineRegistry
from turmericproxy.routing.sharing import DispatchNote, WorkSharing

ENGINE = EngineName("engine-1")
PEER = HostName("host-1")
KEYS = tuple(create_key(block) for block in create_chain("rules", "notes", "more"))


class FakeFleet(EngineRegistry):
    """Say that own requests wait for a fixed number of tokens."""

    tokens = 4000.0

    def count_own_tokens(self, engine: EngineName) -> float:
        return self.tokens


def test_note_carries_blocks_and_work_to_a_peer():
    sender, receiver = FakeFleet(1000), EngineRegistry(1000)
    sharing, other = WorkSharing(None, sender), WorkSharing(None, receiver)
    sharing.add(DispatchNote(ENGINE, KEYS, 0))
    other.receive(PEER, sharing.create_batch())
    assert sharing.create_batch() is None
    assert receiver.index.count_blocks() == 3
    state = receiver._states[ENGINE]
    assert state.peer_work[PEER].tokens == 4000.0
    assert state.count_other_tokens(state.peer_work[PEER].received_at) == 4000.0
    assert state.count_other_tokens(state.peer_work[PEER].received_at + 2.1) == 0.0


def test_known_chain_is_named_by_its_last_block():
    receiver = EngineRegistry(1000)
    sharing, other = WorkSharing(None, FakeFleet(1000)), WorkSharing(None, receiver)
    sharing.add(DispatchNote(ENGINE, KEYS, 0))
    other.receive(PEER, sharing.create_batch())
    sharing.add(DispatchNote(EngineName("engine-2"), KEYS, 3))
    batch = sharing.create_batch()
    assert batch["dispatches"] == [("engine-2", KEYS[2].to_bytes(8, "big"), b"")]
    other.receive(PEER, batch)
    assert receiver.index.count_blocks() == 6


class AnsweringLinks:
    """Answer calls from the handlers of one other host."""

    def __init__(self, other: WorkSharing) -> None:
        self._other = other

    def call(self, host: HostName, kind: str, body: object) -> object:
        return self._other.describe_kept(host, body)


def test_started_host_takes_over_what_is_kept():
    known, started = KeptBlocks(100_000), KeptBlocks(100_000)
    known.add(range(10_000))
    peer = WorkSharing(None, EngineRegistry(1000))
    peer.follow_kept(known)
    sharing = WorkSharing(AnsweringLinks(peer), EngineRegistry(1000))
    sharing.follow_kept(started)
    assert sharing.fetch_kept(PEER)
    assert started.list_keys() == tuple(range(10_000 - 8_192, 10_000))
