"""Set options on the sockets of streams."""

import asyncio
import socket


def set_user_timeout(stream: asyncio.BaseTransport, milliseconds: int) -> None:
    """Give a TCP stream up once what it sent has not been acknowledged for so long."""
    sock = stream.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
