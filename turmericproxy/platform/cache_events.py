"""Read cache events from engines and the kept store."""

from typing import Any

from turmericproxy.core.documents import decode_json
from turmericproxy.edge import PersistentConnection
from turmericproxy.placement.cache_poller import CacheEvent, EventPage, PollRefused
from turmericproxy.placement.notices import NO_NOTICE, UpstreamNotice
from turmericproxy.placement.prefixes import PartKey
from turmericproxy.platform import names
from turmericproxy.platform.calls import encode_request
from turmericproxy.platform.notices import read_notice
from turmericproxy.platform.registrations import MAX_COUNT

CONNECT_TIMEOUT_SECONDS = 0.25
# Time limit for an answer, including the wait that the request asks for. A sound endpoint may be
# silent for more than a second and answer then.
ANSWER_TIMEOUT_SECONDS = 1.7
TOO_MANY_REQUESTS = 429
ADDED_SIGN = "+"


class PlatformCacheEventSource:
    """Client for the cache events of one engine or kept store."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._connection = PersistentConnection(address)

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()

    async def read_events(self, since: int, wait: float) -> EventPage | PollRefused | str:
        """Return the events from number ``since`` on, waiting up to ``wait`` seconds for one.

        Return the reason as a string if there is no valid answer.
        """
        target = f"{names.EVENTS_PATH}?since={since}"
        data = encode_request("GET", target, self._address, f"{names.WAIT_MS}: {int(wait * 1000)}")
        answer = await self._connection.fetch(
            data, connect_timeout=CONNECT_TIMEOUT_SECONDS, timeout=ANSWER_TIMEOUT_SECONDS
        )
        if isinstance(answer, str):
            return answer
        head, body = answer
        notice = read_notice(head)
        if head.status == TOO_MANY_REQUESTS or notice.pause_seconds:
            return PollRefused(notice)
        try:
            return read_page(decode_json(body), notice)
        except (ValueError, KeyError, TypeError) as error:
            return f"status {head.status}: {error!r}"


def read_page(content: dict[str, Any], notice: UpstreamNotice = NO_NOTICE) -> EventPage:
    """Decode a page; raise ``ValueError``, ``KeyError`` or ``TypeError`` if it is invalid."""
    events = tuple(
        CacheEvent(_read_key(space, part), int(tokens), sign == ADDED_SIGN)
        for _, sign, space, part, tokens, _ in content["events"]
    )
    epoch, next_event = int(content["epoch"]), int(content["next"])
    if not 0 <= epoch <= MAX_COUNT or not 0 <= next_event <= MAX_COUNT:
        raise ValueError("epoch or next event is out of range")
    return EventPage(epoch, next_event, events, notice)


def _read_key(space: object, part: object) -> PartKey:
    key = PartKey(str(space), str(part))
    # Fails for halves of surrogate pairs, which messages between hosts can't hold.
    f"{key.space}{key.part_id}".encode()
    return key
