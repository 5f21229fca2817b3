"""Choose the engines that load new weights next."""

from collections.abc import Sequence
from dataclasses import dataclass

from turmericproxy.core.ids import InstanceId

# Engines that load at the same time; more slow each other down.
LOADS_AT_ONCE = 2
# Engines that are emptied while others load, so that few runs change weights half-way.
EMPTIED_AT_ONCE = 1


@dataclass(frozen=True, slots=True)
class EngineStanding:
    """Hold where an engine is in a rollout; ``requests`` are those that it runs."""

    instance: InstanceId
    version: int
    requests: int
    is_loading: bool
    is_reachable: bool


def choose_loads(standings: Sequence[EngineStanding], wanted: int) -> tuple[InstanceId, ...]:
    """Return the engines whose turn it is: the least busy ones that lag, a few at a time.

    Half of the engines at least go on serving, unless there is only one.

    >>> engines = [EngineStanding(name, 1, n, False, True) for n, name in enumerate("abcd")]
    >>> choose_loads(engines, 2)
    ('a', 'b')
    """
    loading = sum(standing.is_loading for standing in standings)
    reachable = sum(standing.is_reachable for standing in standings)
    most = min(LOADS_AT_ONCE + EMPTIED_AT_ONCE, max(1, reachable // 2))
    room = max(0, most - loading)
    lagging = [s for s in standings if s.version < wanted and not s.is_loading and s.is_reachable]
    lagging.sort(key=lambda s: (s.requests, s.instance))
    return tuple(standing.instance for standing in lagging[:room])
