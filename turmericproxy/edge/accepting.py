"""Accept connections on a listening socket, within a bound and without retries in a row."""

import asyncio
import socket
from collections.abc import Callable

from turmericproxy.edge.causes import Cause, CauseReporter

# Length of the accept queue, in connections. When it is full, the kernel drops connection attempts
# and clients wait for TCP to retransmit.
ACCEPT_BACKLOG = 1024
# Connections that are accepted in one iteration of the event loop, so that those accepted before
# get a turn to send.
ACCEPTED_AT_ONCE = 32
# Pause after a failure to accept, or if every connection is in use: descriptors are released by
# connections that end meanwhile.
ACCEPT_PAUSE_SECONDS = 0.02


class Acceptor:
    """Listen on one address, and create a protocol for each connection.

    ``address`` is ``ip:port``; port 0 lets the system choose. ``create_protocol`` is called with
    the IP address of the peer; ``make_room`` returns whether a connection may be accepted now.
    """

    def __init__(
        self,
        address: str,
        create_protocol: Callable[[str], asyncio.BaseProtocol],
        make_room: Callable[[], bool],
        reporter: CauseReporter,
    ) -> None:
        ip, _, port = address.rpartition(":")
        self._address = (ip.strip("[]"), int(port))
        self._create_protocol = create_protocol
        self._make_room = make_room
        self._reporter = reporter
        self._listener: socket.socket | None = None
        self._pause: asyncio.TimerHandle | None = None
        self._accepting: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """Return the port that the socket is bound to."""
        assert self._listener is not None
        return int(self._listener.getsockname()[1])

    @property
    def is_accepting(self) -> bool:
        """Return whether a connection is accepted, but not set up yet."""
        return len(self._accepting) > 0

    def start(self) -> None:
        """Bind the address and accept connections; raise ``OSError`` if it can't be bound."""
        family = socket.AF_INET6 if ":" in self._address[0] else socket.AF_INET
        self._listener = socket.create_server(self._address, family=family, backlog=ACCEPT_BACKLOG)
        self._listener.setblocking(False)
        # Accepted sockets inherit this. asyncio sets it only on sockets whose protocol number is
        # known, which those of create_server lack; without it, the body of an answer is sent when
        # the client has acknowledged the head, up to 40 ms later.
        self._listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._resume()

    def close(self) -> None:
        """Accept what waits in the kernel's queue, which resets it when it is closed; then end."""
        if self._listener is None:
            return
        asyncio.get_running_loop().remove_reader(self._listener)
        while self._accept_one():
            pass
        self.stop()

    def stop(self) -> None:
        """Stop listening at once."""
        if self._listener is None:
            return
        asyncio.get_running_loop().remove_reader(self._listener)
        self._listener.close()
        self._listener = None
        if self._pause:
            self._pause.cancel()

    def cancel(self) -> None:
        """Close the connections that are not set up yet."""
        for task in list(self._accepting):
            task.cancel()

    def _resume(self) -> None:
        self._pause = None
        if self._listener:
            asyncio.get_running_loop().add_reader(self._listener, self._accept_some)

    def _pause_accepting(self) -> None:
        loop = asyncio.get_running_loop()
        if self._listener and self._pause is None:
            loop.remove_reader(self._listener)
            self._pause = loop.call_later(ACCEPT_PAUSE_SECONDS, self._resume)

    def _accept_some(self) -> None:
        for _ in range(ACCEPTED_AT_ONCE):
            if not self._make_room():
                self._reporter.report(Cause.ACCEPT_PAUSED)
                self._pause_accepting()
                return
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        assert self._listener is not None
        try:
            accepted, address = self._listener.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except ConnectionAbortedError:
            return True  # closed by the client meanwhile
        except OSError as error:
            self._reporter.report(Cause.ACCEPT_FAILED, reason=repr(error))
            self._pause_accepting()
            return False
        accepted.setblocking(False)
        protocol = self._create_protocol(str(address[0]))
        task = asyncio.get_running_loop().create_task(_connect(accepted, protocol))
        self._accepting.add(task)
        task.add_done_callback(self._accepting.discard)
        return True


async def _connect(accepted: socket.socket, protocol: asyncio.BaseProtocol) -> None:
    loop = asyncio.get_running_loop()
    try:
        await loop.connect_accepted_socket(lambda: protocol, accepted)
    except BaseException as error:
        accepted.close()
        protocol.connection_lost(error if isinstance(error, Exception) else None)
        if not isinstance(error, OSError):
            raise
