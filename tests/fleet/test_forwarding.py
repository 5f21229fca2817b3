"""Check on TCP streams that hubs forward updates, and that a lost hub is replaced."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from turmericproxy.bench.processes import pick_addresses
from turmericproxy.core import HostName, Incarnation
from turmericproxy.core.ids import InstanceId
from turmericproxy.fleet import Batch, FleetLinks, Hello
from turmericproxy.fleet.links import ALIVE_INTERVAL_SECONDS, STATE_INTERVAL_SECONDS
from turmericproxy.fleet.messages import ForwardScope, HostUpdate, UpdateBundle
from turmericproxy.fleet.outbox import HUB_HEARTBEAT_INTERVAL_SECONDS
from turmericproxy.fleet.peers import PEER_TIMEOUT_SECONDS, Peer
from turmericproxy.logs import Part
from turmericproxy.placement.registry import Work
from turmericproxy.store import Changes, ReaderUpdate
from turmericproxy.tasks import repeat

DOMAIN_HOSTS = 9
ENGINE = InstanceId("e")


@dataclass
class Node:
    """Run the links of one host, and record what it receives."""

    hello: Hello
    work: int = 0
    updates_received: int = 0
    updates: list[Batch] = field(default_factory=list)
    received_work: dict[HostName, int] = field(default_factory=dict)
    reader_updates: list[ReaderUpdate] = field(default_factory=list)
    lost: list[HostName] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.links = FleetLinks(
            self.hello,
            self,
            self.receive,
            self.lost.append,
            lambda _, update: self.reader_updates.append(update),
        )
        record_update = self.links.peers.record_update

        def count_update(update: HostUpdate) -> Peer | None:
            self.updates_received += 1
            return record_update(update)

        self.links.peers.record_update = count_update  # type: ignore[method-assign]

    def create_introduction(self) -> Batch:
        return self.create_state()

    def create_state(self) -> Batch:
        return Batch(work={ENGINE: Work(self.work)}, is_full_state=True)

    def create_update(self) -> Batch | None:
        return self.updates.pop() if self.updates else None

    def set_work(self, work: int) -> None:
        self.work = work
        self.updates.append(Batch(work={ENGINE: Work(work)}))

    def receive(self, hello: Hello, batch: Batch) -> None:
        if ENGINE in batch.work:
            self.received_work[hello.host] = batch.work[ENGINE].requests


def run_scenario(scenario: Callable[[list[Node]], Awaitable[None]]) -> None:
    """Run a scenario with two large domains; the first host of each has the fastest link."""

    async def run() -> None:
        nodes = [
            Node(
                Hello(
                    HostName(f"{domain}{n}"),
                    pick_addresses(1)[0],
                    domain,
                    Incarnation("i"),
                    100 if n == 0 else 10,
                )
            )
            for domain in "ab"
            for n in range(DOMAIN_HOSTS)
        ]
        for node in nodes:
            await node.links.start()
            for other in nodes:
                node.links.add_peer(other.hello)
        await asyncio.sleep(1.2)
        try:
            await scenario(nodes)
        finally:
            for node in nodes:
                await node.links.close()

    asyncio.run(run())


def test_updates_reach_all_hosts_over_a_linear_number_of_streams() -> None:
    async def scenario(nodes: list[Node]) -> None:
        assert {node.links.peers.measure_reachable_share() for node in nodes} == {1.0}
        streams = sum(peer.writer is not None for node in nodes for peer in node.links.peers)
        assert streams <= 4 * len(nodes)
        nodes[1].set_work(7)
        await asyncio.sleep(0.5)
        received = [node.received_work[HostName("a1")] for node in nodes if node is not nodes[1]]
        assert received == [7] * (len(nodes) - 1)

    run_scenario(scenario)


def test_reader_updates_stay_in_the_domain() -> None:
    async def scenario(nodes: list[Node]) -> None:
        update = ReaderUpdate("t", 1, Changes((), 2))
        nodes[1].links.send_to_domain(update)
        await asyncio.sleep(0.3)
        assert [node.reader_updates for node in nodes] == [
            [update] if node.hello.domain == "a" and node is not nodes[1] else [] for node in nodes
        ]

    run_scenario(scenario)


def test_updates_are_delivered_after_the_hub_has_stopped() -> None:
    async def scenario(nodes: list[Node]) -> None:
        await nodes[0].links.close()
        nodes[1].set_work(3)
        await asyncio.sleep(1.0)
        others = [node for node in nodes[1:] if node is not nodes[1]]
        assert [node.received_work[HostName("a1")] for node in others] == [3] * len(others)
        assert all(not set(node.lost) - {HostName("a0")} for node in others)

    run_scenario(scenario)


def test_updates_are_delivered_after_the_hub_stops_forwarding() -> None:
    async def scenario(nodes: list[Node]) -> None:
        hub = nodes[0].links
        hub._send = lambda *_: None  # type: ignore[method-assign]
        nodes[1].set_work(3)
        await asyncio.sleep(2.5)
        others = [node for node in nodes[2:]]
        assert [node.received_work[HostName("a1")] for node in others] == [3] * len(others)
        assert all(not set(node.lost) - {HostName("a0")} for node in others)

    run_scenario(scenario)


def test_new_hub_opens_its_streams_at_once() -> None:
    """Guard against hosts that count as lost elsewhere, since their next hub had no streams yet."""

    async def scenario(nodes: list[Node]) -> None:
        links = nodes[2].links
        links._update_routes(links._read_clock())
        links._receive_bundle(nodes[1].hello, UpdateBundle(ForwardScope.FLEET, ()))
        await asyncio.sleep(0.3)
        open_streams = {peer.hello.host for peer in links.peers if peer.writer}
        assert open_streams >= {node.hello.host for node in nodes[:DOMAIN_HOSTS]} - {"a2"}
        assert any(host.startswith("b") for host in open_streams)

    run_scenario(scenario)


def test_heartbeats_of_an_idle_domain_arrive_in_few_updates() -> None:
    """Idle hosts once received each heartbeat of each other host, hundreds a second in a fleet."""

    async def scenario(nodes: list[Node]) -> None:
        await asyncio.sleep(1.0)  # the introductions and first states
        before = [node.updates_received for node in nodes]
        seconds = 3.0
        await asyncio.sleep(seconds)
        # Full states, and what the hubs of both domains have collected; some arrive twice.
        expected = seconds * (len(nodes) / STATE_INTERVAL_SECONDS + 2 * 2 / ALIVE_INTERVAL_SECONDS)
        # Only a hub receives the heartbeats themselves, those of its own domain.
        heartbeats = seconds * DOMAIN_HOSTS / HUB_HEARTBEAT_INTERVAL_SECONDS
        for node, count in zip(nodes, before, strict=True):
            is_hub = node.hello.link_mbps == max(n.hello.link_mbps for n in nodes)
            assert node.updates_received - count <= expected + is_hub * heartbeats
        assert not any(node.lost for node in nodes)

    run_scenario(scenario)


def test_idle_hub_is_not_avoided() -> None:
    async def scenario(nodes: list[Node]) -> None:
        await asyncio.sleep(3.0)
        for node in nodes:
            assert all(peer.avoided_until == 0.0 for peer in node.links.peers)

    run_scenario(scenario)


def test_host_that_stops_is_lost_though_its_hub_collects_heartbeats() -> None:
    async def scenario(nodes: list[Node]) -> None:
        stopped = nodes[-1].links
        assert stopped._task is not None
        stopped._task.cancel()
        await asyncio.sleep(PEER_TIMEOUT_SECONDS + 1.0)
        name = nodes[-1].hello.host
        assert all(node.lost == [name] for node in nodes[:-1])
        stopped._task = asyncio.create_task(repeat(Part.PEERS, "test", stopped._send_updates))
        await asyncio.sleep(1.5)
        assert all(name in node.links.peers.list_reachable() for node in nodes[:-1])

    run_scenario(scenario)
