"""Set socket options of asyncio transports."""

import asyncio
import socket


def set_user_timeout(transport: asyncio.BaseTransport, milliseconds: int) -> None:
    """Set how long sent data may stay unacknowledged before the kernel closes the connection."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
