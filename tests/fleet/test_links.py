"""Check that hosts receive each other's batches, and detect lost and leaving hosts."""

import asyncio

from turmericproxy.bench.processes import pick_addresses
from turmericproxy.core import HostName, Incarnation
from turmericproxy.fleet import Batch, FleetLinks, Hello


class Node:
    def __init__(self, name: str) -> None:
        self.hello = Hello(HostName(name), pick_addresses(1)[0], "a", Incarnation(name))
        self.received: list[Batch] = []
        self.lost: list[HostName] = []
        self.updates: list[Batch] = []
        self.links = FleetLinks(self.hello, self, self.receive, self.lost.append)

    def create_introduction(self) -> Batch:
        return Batch(kept_parts=(("first", self.hello.host),))

    def create_state(self) -> Batch:
        return Batch(is_full_state=True)

    def create_update(self) -> Batch | None:
        return self.updates.pop() if self.updates else None

    def receive(self, hello: Hello, batch: Batch) -> None:
        self.received.append(batch)


def test_connection_in_one_direction_connects_both_hosts() -> None:
    async def run() -> None:
        one, two = Node("one"), Node("two")
        await one.links.start()
        await two.links.start()
        two.links.add_peer(one.hello)
        await asyncio.sleep(0.5)
        assert one.links.peers.list_reachable() == [HostName("two")]
        assert two.links.peers.list_reachable() == [HostName("one")]
        assert one.received[0].kept_parts == (("first", "two"),)
        two.updates.append(Batch(kept_parts=(("s", "p"),)))
        await asyncio.sleep(0.2)
        assert (
            one.received[-1].kept_parts == (("s", "p"),)
            or Batch(kept_parts=(("s", "p"),)) in one.received
        )
        assert one.links.peers.measure_reachable_share() == 1.0
        await two.links.close()
        await asyncio.sleep(0.2)
        assert one.links.peers.count_hosts() == 1
        await one.links.close()

    asyncio.run(run())


def test_host_that_stops_sending_is_lost_and_lowers_the_reachable_share() -> None:
    async def run() -> None:
        one, two = Node("one"), Node("two")
        await one.links.start()
        await two.links.start()
        one.links.add_peer(two.hello)
        await asyncio.sleep(0.5)
        assert two.links._task is not None
        two.links._task.cancel()
        await asyncio.sleep(1.8)
        assert one.lost == [HostName("two")]
        assert one.links.peers.measure_reachable_share() == 0.5
        assert (one.links.peers.measure_contact_age("a") or 0.0) > 1.0
        await one.links.close()
        await two.links.close()

    asyncio.run(run())


def test_malformed_message_closes_only_its_own_stream() -> None:
    async def run() -> None:
        one, two = Node("one"), Node("two")
        await one.links.start()
        ip, _, port = one.hello.address.rpartition(":")
        _, writer = await asyncio.open_connection(ip, int(port))
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        await two.links.start()
        two.links.add_peer(one.hello)
        await asyncio.sleep(0.4)
        assert one.links.peers.list_reachable() == [HostName("two")]
        await one.links.close()
        await two.links.close()

    asyncio.run(run())
