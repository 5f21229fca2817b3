"""Share the event loop between connections that have sent several requests ahead."""

import asyncio
from collections import deque
from collections.abc import Callable

# Requests sent ahead that begin in one iteration of the event loop, of all connections together.
# Some hundred connections with a request each would take tens of ms per iteration, and a request
# of another client needs about ten iterations.
TURNS_AT_ONCE = 4


class TurnQueue:
    """Call actions in their order, a few of them in each iteration of the event loop."""

    def __init__(self) -> None:
        self._actions: deque[Callable[[], None]] = deque()
        self._is_scheduled = False

    def add(self, action: Callable[[], None]) -> None:
        """Call an action in one of the next iterations."""
        self._actions.append(action)
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = len(self._actions) > TURNS_AT_ONCE
        if self._is_scheduled:
            asyncio.get_running_loop().call_soon(self._run)
        for _ in range(min(TURNS_AT_ONCE, len(self._actions))):
            self._actions.popleft()()
