"""Choose the engines that load new weights next."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from turmericproxy.core.ids import InstanceId

# Share of a model's engines that load at the same time, and how many at least. On the users' sheets
# two of five slow each other down; a quarter ends in as many rounds as their small sites need.
LOADS_SHARE = 0.25
LEAST_LOADS = 2


@dataclass(frozen=True, slots=True)
class EngineStanding:
    """Hold where an engine is in a rollout; ``requests`` are those that it runs."""

    instance: InstanceId
    version: int
    requests: int
    is_loading: bool
    is_reachable: bool


def choose_loads(standings: Sequence[EngineStanding], wanted: int) -> tuple[InstanceId, ...]:
    """Return the engines to order now: the least busy ones that lag, a few at a time.

    >>> choose_loads([EngineStanding("a", 1, 9, False, True),
    ...               EngineStanding("b", 1, 2, False, True),
    ...               EngineStanding("c", 1, 5, True, True)], 2)
    ('b',)
    """
    loading = sum(standing.is_loading for standing in standings)
    room = max(0, max(LEAST_LOADS, math.ceil(LOADS_SHARE * len(standings))) - loading)
    lagging = [s for s in standings if s.version < wanted and not s.is_loading and s.is_reachable]
    lagging.sort(key=lambda s: (s.requests, s.instance))
    return tuple(standing.instance for standing in lagging[:room])
