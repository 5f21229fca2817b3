from tests.routing.support import create_chain
from turmericproxy.cache.index import create_key
from turmericproxy.cache.kept import KeptBlocks
from turmericproxy.core import EngineName, HostName
from turmericproxy.routing.engine_registry import EngineRegistry
from turmericproxy.routing.sharing import DispatchRecord, WorkSharing

ENGINE = EngineName("engine-1")
PEER = HostName("host-1")
KEYS = tuple(create_key(block) for block in create_chain("rules", "notes", "more"))


class FakeEngineRegistry(EngineRegistry):
    """Report a fixed number of tokens for the requests of this host."""

    tokens = 4000.0

    def count_own_tokens(self, engine: EngineName) -> float:
        return self.tokens


def test_batch_carries_blocks_and_work_to_a_peer():
    sender, receiver = FakeEngineRegistry(1000), EngineRegistry(1000)
    sharing, other = WorkSharing(None, sender), WorkSharing(None, receiver)
    sharing.announce_dispatch(DispatchRecord(ENGINE, KEYS, 0))
    other.receive(PEER, sharing.create_batch())
    assert sharing.create_batch() is None
    assert receiver.index.count_blocks() == 3
    state = receiver._states[ENGINE]
    assert state.peer_work[PEER].tokens == 4000.0
    assert state.count_other_tokens(state.peer_work[PEER].received_at) == 4000.0
    assert state.count_other_tokens(state.peer_work[PEER].received_at + 2.1) == 0.0


def test_known_chain_is_sent_as_its_last_block():
    receiver = EngineRegistry(1000)
    sharing, other = WorkSharing(None, FakeEngineRegistry(1000)), WorkSharing(None, receiver)
    sharing.announce_dispatch(DispatchRecord(ENGINE, KEYS, 0))
    other.receive(PEER, sharing.create_batch())
    sharing.announce_dispatch(DispatchRecord(EngineName("engine-2"), KEYS, 3))
    batch = sharing.create_batch()
    assert batch["dispatches"] == [("engine-2", KEYS[2].to_bytes(8, "big"), b"")]
    other.receive(PEER, batch)
    assert receiver.index.count_blocks() == 6


class FakeLinks:
    """Answer calls with the handler of one other host."""

    def __init__(self, other: WorkSharing) -> None:
        self._other = other

    def call(self, host: HostName, kind: str, body: object) -> object:
        return self._other.pack_kept_keys(host, body)


def test_started_host_fetches_the_most_recently_kept_keys():
    known, started = KeptBlocks(100_000), KeptBlocks(100_000)
    known.add(range(10_000))
    peer = WorkSharing(None, EngineRegistry(1000))
    peer.set_kept_blocks(known)
    sharing = WorkSharing(FakeLinks(peer), EngineRegistry(1000))
    sharing.set_kept_blocks(started)
    assert sharing.fetch_kept(PEER)
    assert started.list_keys() == tuple(range(10_000 - 8_192, 10_000))
