"""Define parsed HTTP requests and response heads; the order and case of header fields is kept."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from turmericproxy.core.memory import Holding, open_unlimited

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
    """Store header fields in the order received and look them up by name, ignoring case.

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
        """Return how many times a field occurs."""
        return len(self._values.get(name.lower(), ()))

    def list_end_to_end(self) -> list[tuple[str, str]]:
        """Return the fields without the hop-by-hop ones, which must not be forwarded."""
        dropped = HOP_BY_HOP | {
            token.strip().lower()
            for value in self._values.get("connection", ())
            for token in value.split(",")
        }
        return [(name, value) for name, value in self._fields if name.lower() not in dropped]


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """Describe a complete client request; ``target`` is as sent, decoded as Latin-1.

    ``received_at`` is the event loop's time at which the last byte was read, in seconds, and
    ``holding`` is what the host keeps of the body until the request is answered.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    received_at: float
    is_http_10: bool = False
    holding: Holding = field(default_factory=open_unlimited, compare=False, repr=False)

    @property
    def path(self) -> str:
        """Return the target without its query string."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Describe the status and header fields of an upstream's answer."""

    status: int
    headers: Headers
