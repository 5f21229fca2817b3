"""Notice silent upstreams, and ask for their replacement while they stay silent."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from turmericproxy.edge import UpstreamCall
from turmericproxy.traffic.site import Route

# Time after which a plain call is silent: a multiple of its expected time, with a minimum.
# Slow calls take five times as long as usual ones.
TIMEOUT_FACTOR = 8.0
MIN_TIMEOUT_SECONDS = 0.15
# An upstream is suspected if the first event of a stream is later than expected by this time, or
# after a pause of this many target event gaps.
FIRST_EVENT_MARGIN_SECONDS = 0.7
EVENT_GAP_FACTOR = 2.0
# A stream leaves a suspected upstream after this silence. Sound ones may pause for about a second.
STREAM_PATIENCE_SECONDS = 1.5
# Interval between two searches for a replacement of a silent upstream.
SEARCH_INTERVAL_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class SilenceLimits:
    """Silence in seconds after which an upstream is suspected, and after which it may be left."""

    suspicion: float
    patience: float


def compute_start_limits(route: Route, expected_seconds: float) -> SilenceLimits:
    """Return how long a call may be silent before its first event, or a plain call at all."""
    if route.is_stream:
        return SilenceLimits(
            expected_seconds + FIRST_EVENT_MARGIN_SECONDS,
            expected_seconds + STREAM_PATIENCE_SECONDS,
        )
    seconds = max(MIN_TIMEOUT_SECONDS, TIMEOUT_FACTOR * expected_seconds)
    return SilenceLimits(seconds, seconds)


def compute_gap_limits(route: Route) -> SilenceLimits:
    """Return how long a stream may be silent between two events."""
    seconds = EVENT_GAP_FACTOR * route.target_event_gap
    return SilenceLimits(seconds, max(seconds, STREAM_PATIENCE_SECONDS))


@dataclass(frozen=True, slots=True)
class SilenceHandlers:
    """Functions that a watch calls.

    ``suspect`` is called once per silence, ``clear`` when a suspected upstream goes on, and
    ``replace`` repeatedly once the upstream may be left, until the call ends.
    """

    suspect: Callable[[], None]
    clear: Callable[[], None]
    replace: Callable[[], None]


class SilenceWatch:
    """Watch the progress of one call, from its start until ``close``.

    ``is_suspected`` tells whether the call has been silent for too long since its last progress.
    """

    def __init__(
        self, call: UpstreamCall, limits: SilenceLimits, handlers: SilenceHandlers
    ) -> None:
        self._call = call
        self._limits = limits
        self._handlers = handlers
        self._loop = asyncio.get_running_loop()
        self._progress_at = self._loop.time()
        self.is_suspected = False
        self._timer = self._loop.call_later(limits.suspicion, self._check)

    def record_progress(self, limits: SilenceLimits) -> None:
        """Start measuring the silence anew, with other limits."""
        self._progress_at = self._loop.time()
        if self.is_suspected:
            self.is_suspected = False
            self._handlers.clear()
        if limits is not self._limits:
            self._limits = limits
            self._set_timer(limits.suspicion)

    def close(self) -> None:
        """Stop watching."""
        self._timer.cancel()

    def _check(self) -> None:
        if self._call.has_ended:
            return
        if self._call.has_unread_data:
            # The client reads slowly; the upstream isn't silent.
            self._set_timer(self._limits.suspicion)
            return
        silent_seconds = self._loop.time() - self._progress_at
        if silent_seconds < self._limits.suspicion:
            self._set_timer(self._limits.suspicion - silent_seconds)
            return
        if not self.is_suspected:
            self.is_suspected = True
            self._handlers.suspect()
        if silent_seconds < self._limits.patience:
            self._set_timer(self._limits.patience - silent_seconds)
        else:
            self._handlers.replace()
            self._set_timer(SEARCH_INTERVAL_SECONDS)

    def _set_timer(self, seconds: float) -> None:
        self._timer.cancel()
        self._timer = self._loop.call_later(seconds, self._check)
