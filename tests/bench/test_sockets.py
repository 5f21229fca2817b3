"""Test the lookup of the socket at the other end of a connection."""

import os
import socket

from turmericproxy.bench.sockets import find_inode


def test_inode_is_that_of_the_dialling_socket() -> None:
    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        socket.create_connection(server.getsockname()) as client,
    ):
        accepted, _ = server.accept()
        with accepted:
            inode = find_inode(accepted.getpeername(), accepted.getsockname())
        assert os.readlink(f"/proc/self/fd/{client.fileno()}") == f"socket:[{inode}]"
        assert find_inode(("127.0.0.1", 1), server.getsockname()) is None
