"""Start edge servers and exchange raw bytes with them."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from turmericproxy.edge import AnswerWriter, ClientRequest, EdgeLimits, EdgeServer

GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


@dataclass
class RecordingHandler:
    """Record requests and answer each with its method and target."""

    requests: list[ClientRequest] = field(default_factory=list)

    async def handle(self, request: ClientRequest, writer: AnswerWriter) -> None:
        self.requests.append(request)
        writer.send(200, (), request.method.encode() + b" " + request.target.encode("latin-1"))


async def start_server(
    handler: Callable[[ClientRequest, AnswerWriter], Awaitable[None]],
    limits: EdgeLimits | None = None,
    singleton_fields: tuple[str, ...] = (),
) -> EdgeServer:
    server = EdgeServer("127.0.0.1:0", handler, lambda: limits or EdgeLimits(), singleton_fields)
    await server.start()
    return server


async def exchange(port: int, data: bytes, timeout: float = 3.0) -> bytes:
    """Send bytes; return all that is received before a close or ``timeout`` seconds."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    received = bytearray()
    try:
        async with asyncio.timeout(timeout):
            while part := await reader.read(65536):
                received += part
    except (TimeoutError, ConnectionResetError):
        pass
    finally:
        writer.close()
    return bytes(received)
