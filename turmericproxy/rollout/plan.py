"""Choose the engines that load new weights next."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from turmericproxy.core.ids import InstanceId

# Share of a model's engines that may load at the same time. In the users' figures, loads on two of
# five engines slow each other down; with a quarter, a large site needs no more rounds than their
# small ones.
MAX_LOADING_SHARE = 0.25
# Lower bound of that limit, for models with few engines.
MIN_LOADING_LIMIT = 2


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """Represent an engine's state in a rollout; ``requests`` is the number that it runs."""

    instance: InstanceId
    version: int
    requests: int
    is_loading: bool
    is_available: bool


def choose_engines(statuses: Sequence[EngineStatus], wanted: int) -> tuple[InstanceId, ...]:
    """Return the outdated engines that may load now, those with the fewest requests first.

    >>> choose_engines([EngineStatus("a", 1, 9, False, True),
    ...                 EngineStatus("b", 1, 2, False, True),
    ...                 EngineStatus("c", 1, 5, True, True)], 2)
    ('b',)
    """
    loading = sum(status.is_loading for status in statuses)
    room = max(0, max(MIN_LOADING_LIMIT, math.ceil(MAX_LOADING_SHARE * len(statuses))) - loading)
    outdated = [s for s in statuses if s.version < wanted and not s.is_loading and s.is_available]
    outdated.sort(key=lambda s: (s.requests, s.instance))
    return tuple(status.instance for status in outdated[:room])
