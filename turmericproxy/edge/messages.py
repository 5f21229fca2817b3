"""Hold requests and answers as they were read, header order and case included."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class Headers:
    """Hold header fields in their order.

    >>> headers = Headers([("Host", "a"), ("X-One", "1"), ("x-one", "2")])
    >>> headers.get("host"), headers.count("X-ONE")
    ('a', 2)
    """

    __slots__ = ("_fields", "_values")

    def __init__(self, fields: Iterable[tuple[str, str]] = ()) -> None:
        self._fields = tuple(fields)
        self._values: dict[str, list[str]] = {}
        for name, value in self._fields:
            self._values.setdefault(name.lower(), []).append(value)

    def __iter__(self) -> Iterator[tuple[str, str]]:
        return iter(self._fields)

    def get(self, name: str) -> str | None:
        """Return the first value of a field, or ``None``."""
        values = self._values.get(name.lower())
        return values[0] if values else None

    def count(self, name: str) -> int:
        """Return how often a field was given."""
        return len(self._values.get(name.lower(), ()))

    def list_end_to_end(self) -> list[tuple[str, str]]:
        """Return the fields that do not concern one connection only."""
        dropped = HOP_BY_HOP | {
            token.strip().lower()
            for value in self._values.get("connection", ())
            for token in value.split(",")
        }
        return [(name, value) for name, value in self._fields if name.lower() not in dropped]


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """Hold one whole request; ``target`` holds the bytes as sent.

    ``received_at`` is the time of the event loop when its last byte had been read, in seconds.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    received_at: float
    is_http_10: bool = False

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Hold the status and header fields of an upstream's answer."""

    status: int
    headers: Headers
