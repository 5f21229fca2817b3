"""Speak HTTP/1.1 on asyncio streams: a small server, and a client for single requests."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

READ_SIZE = 65536


@dataclass
class Message:
    """A request or an answer; names of header fields are in lower case."""

    first_line: str
    fields: dict[str, str]
    body: bytes = b""
    is_complete: bool = True

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first_line.split()[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first_line.split()[1]

    @property
    def status(self) -> int:
        """Return the status of an answer, 0 if there is none."""
        parts = self.first_line.split()
        return int(parts[1]) if len(parts) > 1 else 0

    def get(self, name: str) -> str | None:
        """Return a header field."""
        return self.fields.get(name.lower())


@dataclass
class Connection:
    """The server's side of a connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    is_open: bool = True
    watcher: asyncio.Task[None] | None = field(default=None, repr=False)

    def send(
        self, status: int, fields: list[tuple[str, str]], body: bytes = b"", *, close: bool = False
    ) -> None:
        """Send a whole answer."""
        lines = [f"HTTP/1.1 {status} X", *(f"{n}: {v}" for n, v in fields)]
        lines.append(f"Content-Length: {len(body)}")
        if close:
            lines.append("Connection: close")
        self.write("\r\n".join([*lines, "", ""]).encode() + body)

    def start_chunked(self, status: int, fields: list[tuple[str, str]]) -> None:
        """Send the head of an answer whose body follows in chunks."""
        lines = [f"HTTP/1.1 {status} X", *(f"{n}: {v}" for n, v in fields)]
        self.write("\r\n".join([*lines, "Transfer-Encoding: chunked", "", ""]).encode())

    def send_chunk(self, data: bytes) -> None:
        """Send one chunk; an empty one ends the body."""
        self.write(b"%x\r\n%b\r\n" % (len(data), data))

    def write(self, data: bytes) -> None:
        """Send bytes unless the peer has closed the connection."""
        if self.is_open and not self.writer.is_closing():
            self.writer.write(data)


Handler = Callable[[Message, Connection], Awaitable[None]]


class HttpServer:
    """Serve one request at a time on each connection, on a loopback address."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Listen on an address; port 0 lets the system choose."""
        ip, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port))
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening, and reset all connections, as the end of a process does."""
        if self._server:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        self._writers.add(writer)
        try:
            while request := await read_message(reader):
                await self._handler(request, connection)
                if (request.get("connection") or "").lower() == "close":
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            connection.is_open = False
            self._writers.discard(writer)
            writer.close()


async def read_message(
    reader: asyncio.StreamReader, *, may_lack_length: bool = False
) -> Message | None:
    """Read a message with its body, ``None`` if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first_line, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    message = Message(first_line, fields)
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            message.body = await _read_chunks(reader)
        elif "content-length" in fields:
            message.body = await reader.readexactly(int(fields["content-length"]))
        elif may_lack_length:
            message.body = await reader.read(-1)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        message.is_complete = False
        message.body = getattr(error, "partial", b"")
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += chunk[:size]


async def send_request(
    address: str,
    method: str,
    target: str,
    fields: list[tuple[str, str]],
    body: bytes = b"",
    seconds: float = 15.0,
) -> Message:
    """Send a request on a new connection; an answer without a first line means that none came."""
    ip, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(ip, int(port))
            try:
                lines = [f"{method} {target} HTTP/1.1", *(f"{n}: {v}" for n, v in fields)]
                lines += [f"Content-Length: {len(body)}", "Connection: close"]
                writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                answer = await read_message(reader, may_lack_length=True)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        answer = None
    return answer or Message("", {}, is_complete=False)
