"""Servers that answer with bytes of a test's choice."""

import asyncio
from collections.abc import Callable

from tests.host.support import HostEnvironment


class RawServer:
    """Answer each request with the bytes that ``answer`` returns for its id and count."""

    def __init__(self, answer: Callable[[str, int], bytes]) -> None:
        self._answer = answer
        self._server: asyncio.Server | None = None
        self.received: list[str] = []

    async def start(self, environment: HostEnvironment, like: str, *names: str) -> None:
        """Listen, unless that has begun, and register under names like another server."""
        if self._server is None:
            self._server = await asyncio.start_server(self._handle, "127.0.0.1", 0)
        address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        for name in names:
            registration = environment.servers[like].describe_at(address)
            environment.store.put("servers", name, registration)
        await asyncio.sleep(0.2)

    async def prepare(self, fields: dict[str, str]) -> None:
        """Do nothing; a subclass may wait before the answer to a request with these fields."""

    def close(self) -> None:
        if self._server:
            self._server.close()

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        except asyncio.IncompleteReadError:
            writer.close()
            return
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        request_id = fields.get("X-Attempt-Id", "")
        if request_id:
            self.received.append(request_id)
            await self.prepare(fields)
            writer.write(self._answer(request_id, self.received.count(request_id)))
            await writer.drain()
        writer.close()


def build(status: str, body: bytes, **fields: str) -> bytes:
    lines = [f"HTTP/1.1 {status}", *(f"{n.replace('_', '-')}: {v}" for n, v in fields.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body
