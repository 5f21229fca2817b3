"""Ask servers and the kept store for their cache events."""

import json
from typing import Any

from turmericproxy.edge import PersistentConnection
from turmericproxy.placement.cache_poller import CacheEvent, EventPage, PollRefused
from turmericproxy.placement.prefixes import PartKey
from turmericproxy.platform import names
from turmericproxy.platform.calls import write_call

CONNECT_SECONDS = 0.25
# Seconds beyond the wait in which an answer comes.
ANSWER_SECONDS = 0.7
TOO_MANY = 429
ADDED = "+"


class PlatformCacheEventSource:
    """Read event pages of one server or store."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._connection = PersistentConnection(address)

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()

    async def read_events(self, since: int, wait: float) -> EventPage | PollRefused | str:
        """Return the events since a number, waiting some seconds for the first one."""
        target = f"{names.EVENTS_PATH}?since={since}"
        data = write_call("GET", target, self._address, f"{names.WAIT_MS}: {int(wait * 1000)}")
        answer = await self._connection.fetch(
            data, connect_timeout=CONNECT_SECONDS, timeout=wait + ANSWER_SECONDS
        )
        if isinstance(answer, str):
            return answer
        head, body = answer
        if head.status == TOO_MANY:
            return PollRefused()
        try:
            return read_page(json.loads(body))
        except (ValueError, KeyError, TypeError) as error:
            return f"status {head.status}: {error!r}"


def read_page(content: dict[str, Any]) -> EventPage:
    """Return a page; faults raise."""
    events = tuple(
        CacheEvent(PartKey(str(space), str(part)), int(tokens), sign == ADDED)
        for _, sign, space, part, tokens, _ in content["events"]
    )
    return EventPage(int(content["epoch"]), int(content["next"]), events)
