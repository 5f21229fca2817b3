"""Set socket options of asyncio transports."""

import asyncio
import socket


def set_user_timeout(transport: asyncio.BaseTransport, milliseconds: int) -> None:
    """Set how long sent data may stay unacknowledged before the kernel closes the connection."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def limit_unsent(transport: asyncio.BaseTransport, size: int) -> None:
    """Limit the bytes that the kernel takes beyond what the peer has room for.

    Unlike a limit of the send buffer, this leaves its growth for distant peers to the kernel.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, size)
