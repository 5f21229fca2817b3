"""Account for the heads of one connection: bytes that are not parsed, and parsed requests."""

from collections import deque

from turmericproxy.core.memory import Holding

# Estimated size of the heads that are parsed before it is their turn. Larger ones stay in bytes,
# which take a fraction of the space; four of ordinary requests fit.
MAX_PARSED_AHEAD_BYTES = 48 * 1024


class HeadAccount:
    """Hold the estimated sizes of parsed heads whose requests are not answered, in order."""

    def __init__(self, holding: Holding) -> None:
        self._holding = holding
        self._costs: deque[int] = deque()
        self._parsed_bytes = 0

    def may_add_ahead(self, cost: int) -> bool:
        """Return whether a head of an estimated size in bytes may be parsed before its turn."""
        return self._parsed_bytes + cost <= MAX_PARSED_AHEAD_BYTES

    def add(self, cost: int) -> bool:
        """Add a head that is parsed now; return whether the account has room, else add nothing."""
        if not self._holding.resize(self._parsed_bytes + cost):
            return False
        self._parsed_bytes += cost
        self._costs.append(cost)
        return True

    def hold_input(self, size: int) -> bool:
        """Hold bytes that are not parsed; return whether the account has room."""
        return self._holding.resize(self._parsed_bytes + size)

    def release_first(self, input_size: int) -> None:
        """Release the head of the request that is answered; ``input_size`` bytes are not parsed."""
        if self._costs:  # none after the connection is lost
            self._parsed_bytes -= self._costs.popleft()
            self._holding.resize(self._parsed_bytes + input_size)

    def close(self) -> None:
        """Release everything."""
        self._costs.clear()
        self._parsed_bytes = 0
        self._holding.close()
