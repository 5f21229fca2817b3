"""Check on real streams that hubs pass notes on, and that a lost hub is replaced."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from turmericproxy.bench.processes import pick_addresses
from turmericproxy.core import HostName, Incarnation
from turmericproxy.core.ids import InstanceId
from turmericproxy.fleet import Batch, FleetLinks, Hello
from turmericproxy.placement.registry import Work
from turmericproxy.store import Changes, ReaderUpdate

DOMAIN_HOSTS = 9
ENGINE = InstanceId("e")


@dataclass
class Node:
    """Run the links of one host, and keep what they bring."""

    hello: Hello
    work: int = 0
    news: list[Batch] = field(default_factory=list)
    told: dict[HostName, int] = field(default_factory=dict)
    reader_news: list[ReaderUpdate] = field(default_factory=list)
    lost: list[HostName] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.links = FleetLinks(
            self.hello,
            self,
            self.receive,
            self.lost.append,
            lambda _, n: self.reader_news.append(n),
        )

    def create_introduction(self) -> Batch:
        return self.create_state()

    def create_state(self) -> Batch:
        return Batch(work={ENGINE: Work(self.work)}, is_full_state=True)

    def create_update(self) -> Batch | None:
        return self.news.pop() if self.news else None

    def change(self, work: int) -> None:
        self.work = work
        self.news.append(Batch(work={ENGINE: Work(work)}))

    def receive(self, hello: Hello, batch: Batch) -> None:
        if ENGINE in batch.work:
            self.told[hello.host] = batch.work[ENGINE].requests


def play(scene: Callable[[list[Node]], Awaitable[None]]) -> None:
    """Run a scene with two large domains; the first host of each has the widest link."""

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
            await scene(nodes)
        finally:
            for node in nodes:
                await node.links.close()

    asyncio.run(run())


def test_every_host_hears_every_other_over_few_streams() -> None:
    async def scene(nodes: list[Node]) -> None:
        assert {node.links.peers.measure_reachable_share() for node in nodes} == {1.0}
        streams = sum(peer.writer is not None for node in nodes for peer in node.links.peers)
        assert streams <= 4 * len(nodes)
        nodes[1].change(7)
        await asyncio.sleep(0.5)
        told = [node.told[HostName("a1")] for node in nodes if node is not nodes[1]]
        assert told == [7] * (len(nodes) - 1)

    play(scene)


def test_news_of_the_store_stay_in_the_domain() -> None:
    async def scene(nodes: list[Node]) -> None:
        news = ReaderUpdate("t", 1, Changes((), 2))
        nodes[1].links.send_to_domain(news)
        await asyncio.sleep(0.3)
        assert [node.reader_news for node in nodes] == [
            [news] if node.hello.domain == "a" and node is not nodes[1] else [] for node in nodes
        ]

    play(scene)


def test_hosts_hear_on_after_their_hub_has_ended() -> None:
    async def scene(nodes: list[Node]) -> None:
        await nodes[0].links.close()
        nodes[1].change(3)
        await asyncio.sleep(1.0)
        others = [node for node in nodes[1:] if node is not nodes[1]]
        assert [node.told[HostName("a1")] for node in others] == [3] * len(others)
        assert all(not set(node.lost) - {HostName("a0")} for node in others)

    play(scene)


def test_hosts_hear_on_after_their_hub_has_frozen() -> None:
    async def scene(nodes: list[Node]) -> None:
        hub = nodes[0].links
        hub._send = lambda *_: None  # type: ignore[method-assign]
        nodes[1].change(3)
        await asyncio.sleep(2.5)
        others = [node for node in nodes[2:]]
        assert [node.told[HostName("a1")] for node in others] == [3] * len(others)
        assert all(not set(node.lost) - {HostName("a0")} for node in others)

    play(scene)
