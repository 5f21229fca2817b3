"""Poll engines and the kept store for events of their caches."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from turmericproxy.logs import Part, log_event
from turmericproxy.placement.notices import NO_NOTICE, UpstreamNotice
from turmericproxy.placement.prefixes import PartKey, PrefixTracker
from turmericproxy.tasks import repeat

# Interval between two polls of one endpoint; events are late by a fifth of a second anyway.
POLL_INTERVAL_SECONDS = 0.5
# Time for which a poll waits for events.
LONG_POLL_SECONDS = 1.0
# Shorter wait of a poll after one that got no answer, so that the endpoint has more time to answer.
CONFIRMATION_WAIT_SECONDS = 0.2
# Delay after an endpoint refused a poll because of too many concurrent ones.
REFUSED_RETRY_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Describe a part that was added to a cache or removed from it."""

    key: PartKey
    tokens: int
    is_added: bool


@dataclass(frozen=True, slots=True)
class EventPage:
    """Hold events in order; ``epoch`` changes when the endpoint restarts."""

    epoch: int
    next_event: int
    events: tuple[CacheEvent, ...]
    notice: UpstreamNotice = NO_NOTICE


@dataclass(frozen=True, slots=True)
class PollRefused:
    """Signal that the endpoint refused a poll for now; other polls or requests occupy it."""

    notice: UpstreamNotice = NO_NOTICE


class CacheEventSource(Protocol):
    """Read the cache events of one endpoint, an engine or a kept store."""

    async def read_events(self, since: int, wait: float) -> EventPage | PollRefused | str:
        """Return the events from number ``since`` on, waiting up to ``wait`` seconds for one.

        Return the reason as a string if the endpoint can't be reached.
        """

    def close(self) -> None:
        """Close the connection."""


def apply_events(tracker: PrefixTracker, page: EventPage) -> None:
    """Update an endpoint's tracker with a page of events."""
    for event in page.events:
        if event.is_added:
            tracker.add([(event.key, event.tokens)])
        else:
            tracker.remove(event.key)


class CacheEventPoller:
    """Poll one endpoint until closed.

    ``is_reachable`` is the result of the last poll that was not refused, but a failure counts only
    if the next poll, which follows at once, confirms it: a sound endpoint may be silent for a
    while. Pages are discarded while ``get_tracker`` returns ``None``. ``record_notice`` is called
    with what the endpoint announces about itself, ``measure_pause`` returns for how many seconds it
    wants no call, and ``on_page`` is called with each page that was applied.
    """

    def __init__(
        self,
        source: CacheEventSource,
        address: str,
        get_tracker: Callable[[], PrefixTracker | None],
        record_notice: Callable[[UpstreamNotice], None] = lambda _notice: None,
        measure_pause: Callable[[], float] = lambda: 0.0,
        on_page: Callable[[EventPage], None] = lambda _page: None,
    ) -> None:
        self._source = source
        self._get_tracker = get_tracker
        self._record_notice = record_notice
        self._measure_pause = measure_pause
        self._on_page = on_page
        self._epoch: int | None = None
        self._next_event = 0
        self._has_failed = False
        self._task: asyncio.Task[None] | None = None
        self.address = address
        self.is_reachable = True
        # Time of the event loop at which the newest poll was sent.
        self.polled_at = 0.0

    def start(self) -> None:
        """Start polling."""
        self._task = asyncio.get_running_loop().create_task(
            repeat(Part.CACHE, "poll cache events", self._poll)
        )

    def close(self) -> None:
        """Stop polling and close the connection."""
        if self._task:
            self._task.cancel()
        self._source.close()

    async def _poll(self) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        pause = self._measure_pause()
        if pause > 0:
            await asyncio.sleep(pause)
            return
        self.polled_at = started
        wait = CONFIRMATION_WAIT_SECONDS if self._has_failed else LONG_POLL_SECONDS
        page = await self._source.read_events(self._next_event, wait)
        if not isinstance(page, str):
            self._record_notice(page.notice)
        if isinstance(page, PollRefused):
            await asyncio.sleep(max(REFUSED_RETRY_SECONDS, page.notice.pause_seconds))
            return
        if isinstance(page, str) and not self._has_failed:
            self._has_failed = True
            log_event(Part.CACHE, "poll failed, repeated", address=self.address, reason=page)
            return
        self._update_reachability(page)
        if isinstance(page, EventPage):
            self._apply_page(page)
        await asyncio.sleep(max(0.0, started + POLL_INTERVAL_SECONDS - loop.time()))

    def _update_reachability(self, page: EventPage | str) -> None:
        is_reachable = isinstance(page, EventPage)
        self._has_failed = not is_reachable
        if is_reachable is not self.is_reachable:
            message = "cache events reachable again" if is_reachable else "cache events unreachable"
            reason = page if isinstance(page, str) else None
            log_event(Part.CACHE, message, address=self.address, reason=reason)
        self.is_reachable = is_reachable

    def _apply_page(self, page: EventPage) -> None:
        tracker = self._get_tracker()
        if tracker is None:
            return
        if page.epoch == self._epoch and page.next_event < self._next_event:
            # A second copy of an earlier answer, which came late on the connection.
            log_event(Part.CACHE, "outdated cache events ignored", address=self.address)
            return
        if self._epoch not in (None, page.epoch):
            log_event(Part.CACHE, "cache emptied by a restart", address=self.address)
            tracker.clear()
        self._epoch = page.epoch
        self._next_event = page.next_event
        apply_events(tracker, page)
        self._on_page(page)
