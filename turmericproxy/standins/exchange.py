"""Read the bodies of requests to stand-ins, and abort their connections."""

import contextlib
import json
import socket
from typing import Any

from turmericproxy.web import HttpRequest
from turmericproxy.web.server import Connection

BODY_LIMIT_BYTES = 16 * 1024 * 1024


def read_json(request: HttpRequest) -> dict[str, Any]:
    """Parse the body of a request as a JSON object; an empty body gives an empty one."""
    value: dict[str, Any] = json.loads(request.read_body(BODY_LIMIT_BYTES) or b"{}")
    return value


def abort_connection(connection: Connection) -> None:
    """Shut a connection down in both directions."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
