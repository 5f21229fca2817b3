"""Detect unreachable failure domains from lost hosts and connection time-outs."""

from collections.abc import Callable

# A time-out counts only if no host of the domain has sent a message for longer than this.
MAX_CONTACT_AGE_SECONDS = 0.5
# Time after a time-out for which a domain may count as unreachable.
TIMEOUT_VALIDITY_SECONDS = 2.0


class DomainMonitor:
    """Record connection time-outs by failure domain.

    ``measure_contact_age`` returns the seconds since the last message of any host of a domain, or
    ``None`` if no host of it is known; ``read_clock`` is the event loop's clock.
    """

    def __init__(
        self,
        local_domain: str,
        measure_contact_age: Callable[[str], float | None],
        read_clock: Callable[[], float],
    ) -> None:
        self._local_domain = local_domain
        self._measure_contact_age = measure_contact_age
        self._read_clock = read_clock
        self._timed_out_at: dict[str, float] = {}

    def record_timeout(self, domain: str) -> None:
        """Record that a connection to an upstream of a domain timed out."""
        if domain != self._local_domain:
            self._timed_out_at[domain] = self._read_clock()

    def record_answer(self, domain: str) -> None:
        """Record that an upstream of a domain answered."""
        self._timed_out_at.pop(domain, None)

    def is_unreachable(self, domain: str) -> bool:
        """Return whether requests to a domain are expected to time out."""
        timed_out_at = self._timed_out_at.get(domain)
        if timed_out_at is None or self._read_clock() - timed_out_at > TIMEOUT_VALIDITY_SECONDS:
            return False
        contact_age = self._measure_contact_age(domain)
        return contact_age is not None and contact_age > MAX_CONTACT_AGE_SECONDS
