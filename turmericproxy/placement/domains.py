"""Tell failure domains that are cut off, from silent hosts and connections that time out."""

from collections.abc import Callable

# Seconds without a word from any host of a domain before a time-out there counts as a cut.
SILENCE_SECONDS = 0.5
# Seconds for which a domain counts as cut after a time-out, unless its hosts are heard again.
CUT_SECONDS = 2.0


class DomainMonitor:
    """Remember time-outs by failure domain.

    ``measure_contact_age`` returns the seconds since any host of a domain was heard, or ``None`` if
    no host of it is known; ``read_clock`` is the event loop's.
    """

    def __init__(
        self,
        own: str,
        measure_contact_age: Callable[[str], float | None],
        read_clock: Callable[[], float],
    ) -> None:
        self._own = own
        self._measure_silence = measure_contact_age
        self._read_clock = read_clock
        self._timed_out: dict[str, float] = {}

    def record_timeout(self, domain: str) -> None:
        """Record that a connection into a domain was not answered."""
        if domain != self._own:
            self._timed_out[domain] = self._read_clock()

    def record_answer(self, domain: str) -> None:
        """Record that an upstream of a domain has answered."""
        self._timed_out.pop(domain, None)

    def is_unreachable(self, domain: str) -> bool:
        """Return whether requests into a domain would most likely hang."""
        timed_out = self._timed_out.get(domain)
        if timed_out is None or self._read_clock() - timed_out > CUT_SECONDS:
            return False
        silence = self._measure_silence(domain)
        return silence is not None and silence > SILENCE_SECONDS
