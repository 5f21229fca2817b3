"""Read requests of stand-ins and cut their connections."""

import contextlib
import json
import socket
from typing import Any

from turmericproxy.web import HttpRequest
from turmericproxy.web.server import Connection

BODY_LIMIT = 16 * 1024 * 1024


def read_json(request: HttpRequest) -> dict[str, Any]:
    """Return the body of a request, which is a JSON object."""
    value: dict[str, Any] = json.loads(request.read_body(BODY_LIMIT) or b"{}")
    return value


def cut_connection(connection: Connection) -> None:
    """Shut a connection down in both directions."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
