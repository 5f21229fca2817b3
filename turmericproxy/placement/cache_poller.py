"""Follow what engines and the kept store hold, by the events that they tell of."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from turmericproxy.logs import Part, log_event
from turmericproxy.placement.prefixes import PartKey, PrefixTracker

# Seconds between two questions to one place; events are late by a fifth of a second anyway.
PACE_SECONDS = 0.5
# Seconds for which a question waits for events.
WAIT_SECONDS = 1.0
# Seconds until a place that refused a question, since others ask it, is asked again.
REFUSED_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Say that a part has come to a cache or has left it."""

    key: PartKey
    tokens: int
    is_added: bool


@dataclass(frozen=True, slots=True)
class EventPage:
    """Hold events in order; ``epoch`` changes when a place starts again."""

    epoch: int
    next_event: int
    events: tuple[CacheEvent, ...]


@dataclass(frozen=True, slots=True)
class PollRefused:
    """Say that a place answers too many such questions already."""


class CacheEventSource(Protocol):
    """Ask one place for its cache events."""

    async def read_events(self, since: int, wait: float) -> EventPage | PollRefused | str:
        """Return the events since a number, waiting some seconds for the first one."""

    def close(self) -> None:
        """Close the connection."""


def apply_events(memory: PrefixTracker, page: EventPage) -> None:
    """Bring the memory of a place up to date."""
    for event in page.events:
        if event.is_added:
            memory.add([(event.key, event.tokens)])
        else:
            memory.drop(event.key)


class CacheEventPoller:
    """Follow one place until closed; ``is_reachable`` tells of the last question."""

    def __init__(
        self, events: CacheEventSource, address: str, get_memory: Callable[[], PrefixTracker | None]
    ) -> None:
        self._events = events
        self._get_memory = get_memory
        self._epoch: int | None = None
        self._since = 0
        self._task: asyncio.Task[None] | None = None
        self.address = address
        self.is_reachable = True

    def start(self) -> None:
        """Begin to ask."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Stop asking."""
        if self._task:
            self._task.cancel()
        self._events.close()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            started = loop.time()
            page = await self._events.read_events(self._since, WAIT_SECONDS)
            if isinstance(page, PollRefused):
                await asyncio.sleep(REFUSED_SECONDS)
                continue
            self._note_contact(page)
            if isinstance(page, EventPage):
                self._take(page)
            await asyncio.sleep(max(0.0, started + PACE_SECONDS - loop.time()))

    def _note_contact(self, page: EventPage | str) -> None:
        is_reachable = isinstance(page, EventPage)
        if is_reachable is not self.is_reachable:
            message = "cache events regained" if is_reachable else "cache events lost"
            reason = page if isinstance(page, str) else None
            log_event(Part.CACHE, message, address=self.address, reason=reason)
        self.is_reachable = is_reachable

    def _take(self, page: EventPage) -> None:
        memory = self._get_memory()
        if memory is None:
            return
        if self._epoch not in (None, page.epoch):
            log_event(Part.CACHE, "cache came back empty", address=self.address)
            memory.clear()
        self._epoch = page.epoch
        self._since = page.next_event
        apply_events(memory, page)
