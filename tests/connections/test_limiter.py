"""Check which requests of a host get a connection, and which wait."""

import asyncio

from turmericproxy.connections.limiter import ConnectionLimiter
from turmericproxy.core import HostName, RequestId
from turmericproxy.core.ids import InstanceId, ServiceName
from turmericproxy.limits.controller import FleetView
from turmericproxy.metrics import Metrics
from turmericproxy.placement.entries import EntryState, UpstreamEntry
from turmericproxy.placement.prefixes import PrefixTracker
from turmericproxy.placement.registry import UpstreamState, Work

SERVER = InstanceId("s1")
# Alone, a host may open half of the connections: the other half is for a host that joins.
LIMIT = 4


def create_state() -> UpstreamState:
    service = ServiceName("s")
    entry = UpstreamEntry(SERVER, service, "127.0.0.1:1", "a", 8, EntryState.READY)
    return UpstreamState(entry, PrefixTracker(0))


class Host:
    """A limiter with one server and a clock that the test sets."""

    def __init__(self) -> None:
        self.now = 0.0
        self.fleet = FleetView((HostName("h1"),), 1)
        self.state = create_state()
        self.limiter = ConnectionLimiter(
            HostName("h1"), lambda: self.fleet, lambda: self.now, Metrics()
        )

    def open(self, request_id: str, limit: int = LIMIT) -> bool:
        if not self.limiter.may_open(self.state, limit, RequestId(request_id)):
            return False
        self.limiter.record_start(SERVER, RequestId(request_id))
        return True

    async def wait(self, request_id: str, seconds: float = 0.5) -> bool:
        return await self.limiter.wait([self.state], LIMIT, RequestId(request_id), seconds)


def test_host_opens_its_part_and_no_more() -> None:
    host = Host()
    assert [host.open(f"r{n}") for n in range(3)] == [True, True, False]
    assert host.limiter.list_full([host.state], LIMIT) == [host.state]
    host.limiter.record_end(SERVER)
    assert host.open("r4")


def test_server_that_names_no_limit_gets_all_requests() -> None:
    """Guard against refusals on deployments whose services have no ``max_connections``."""
    host = Host()
    assert all(host.open(f"r{n}", limit=0) for n in range(200))
    assert host.limiter.list_full([host.state], 0) == []


def test_host_that_joins_lowers_the_part_of_the_others() -> None:
    host = Host()
    host.fleet = FleetView((HostName("h1"), HostName("h2"), HostName("h3")), 3)
    host.now = 1.0
    opened = [host.open(f"r{n}") for n in range(LIMIT)]
    assert sum(opened) == 1


def test_connections_of_other_hosts_count_against_what_can_be_borrowed() -> None:
    """Guard against a host that borrows connections which others have already borrowed."""
    opened = []
    for used in (0, 40):
        host = Host()
        host.fleet = FleetView((HostName("h1"), HostName("h2")), 2)
        host.state.set_peer_work(HostName("h2"), Work(used))
        opened.append(sum(host.open(f"r{n}", limit=60) for n in range(60)))
    assert opened == [20, 10]


def test_connection_that_ends_goes_to_the_request_that_waits() -> None:
    """Guard against new requests that overtake waiting ones, whose time then runs out."""

    async def run() -> None:
        host = Host()
        assert host.open("r1")
        assert host.open("r2")
        waiting = asyncio.create_task(host.wait("r3"))
        await asyncio.sleep(0)
        host.limiter.record_end(SERVER)
        assert not host.open("r4")
        assert await waiting
        assert host.open("r3")
        assert not host.open("r4")
        host.limiter.record_end(SERVER)
        assert host.open("r4")

    asyncio.run(run())


def test_connection_kept_for_a_request_that_is_gone_can_be_used() -> None:
    """Guard against connections that stay reserved once the client has left."""

    async def run() -> None:
        host = Host()
        assert host.open("r1")
        assert host.open("r2")
        waiting = asyncio.create_task(host.wait("r3"))
        await asyncio.sleep(0)
        host.limiter.record_end(SERVER)
        assert await waiting
        host.limiter.release(RequestId("r3"))
        assert host.open("r4")
        assert not host.open("r5")

    asyncio.run(run())


def test_request_does_not_wait_beyond_its_time() -> None:
    async def run() -> None:
        host = Host()
        assert host.open("r1")
        assert host.open("r2")
        assert not await host.wait("r3", seconds=0.0)
        host.limiter.record_end(SERVER)
        assert host.open("r4")

    asyncio.run(run())


def test_connections_that_other_hosts_close_are_found_while_a_request_waits() -> None:
    """Guard against requests that wait for this host's own connections only."""

    async def run() -> None:
        host = Host()
        host.fleet = FleetView((HostName("h1"), HostName("h2"), HostName("h3")), 3)
        assert host.open("r1")
        waiting = asyncio.create_task(host.wait("r2"))
        await asyncio.sleep(0)
        host.fleet, host.now = FleetView((HostName("h1"),), 1), 0.2
        assert await waiting

    asyncio.run(run())
