"""Check that streams to peers bear what answers at a peer's address."""

import asyncio

from tests.fleet.test_links import Node
from turmericproxy.core import HostName, Incarnation
from turmericproxy.fleet import Hello


async def count_connections(answer: bytes, *, is_endless: bool) -> tuple[int, int]:
    """Return the connections and the bytes that a host took in a second from such a peer."""
    connections = sent = 0

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal connections, sent
        connections += 1
        try:
            while not writer.is_closing():
                writer.write(answer)
                sent += len(answer)
                await writer.drain()
                if not is_endless:
                    writer.close()
        except ConnectionError:
            pass

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    node = Node("one")
    await node.links.start()
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    node.links.add_peer(Hello(HostName("two"), address, "a", Incarnation("two")))
    await asyncio.sleep(1.0)
    await node.links.close()
    server.close()
    return connections, sent


def test_peer_that_closes_each_stream_is_dialed_with_pauses() -> None:
    """Guard against a host that does nothing but connect: an address may have been given away."""
    connections, _ = asyncio.run(count_connections(b"HTTP/1.1 400 \r\n\r\n", is_endless=False))
    assert connections < 6


def test_endless_bytes_of_a_peer_do_not_fill_the_memory() -> None:
    """Guard against a host that ends for lack of memory: peers send nothing on these streams."""
    _, sent = asyncio.run(count_connections(b"x" * 65536, is_endless=True))
    assert sent < 64 * 1024 * 1024
