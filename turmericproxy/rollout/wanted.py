"""Remember which weights the operator has named, and since when."""

from collections import deque
from dataclasses import dataclass

from turmericproxy.core import ModelName

# A version that was named before the host began to follow counts as old.
INITIAL_AGE_SECONDS = 1e6
# Named versions that are remembered; an engine that lags behind more has lagged for long.
KEPT_VERSIONS = 16


@dataclass(frozen=True, slots=True)
class ModelVersion:
    """Hold the version of a model's weights that an operator has named."""

    model: ModelName
    version: int


@dataclass(frozen=True, slots=True)
class WantedVersion:
    """Hold a version of a model's weights and when the host learnt of it."""

    version: int
    learnt_at: float


class WantedVersions:
    """Hold the named versions of each model; times are of the event loop."""

    def __init__(self) -> None:
        self._named: dict[ModelName, deque[WantedVersion]] = {}

    def record(self, model: ModelName, version: int, learnt_at: float) -> bool:
        """Take in a named version; return whether it is newer than all before."""
        named = self._named.setdefault(model, deque(maxlen=KEPT_VERSIONS))
        if named and named[-1].version >= version:
            return False
        named.append(WantedVersion(version, learnt_at))
        return True

    def find(self, model: ModelName) -> int:
        """Return the version wanted of a model; 0 if none was named."""
        named = self._named.get(model)
        return named[-1].version if named else 0

    def measure_age(self, model: ModelName, version: int, now: float) -> float:
        """Return the seconds for which weights have been old; 0 if they are the newest.

        They are old from when the next version was named, also if others have followed it.
        """
        newer = (w for w in self._named.get(model, ()) if w.version > version)
        following = next(newer, None)
        return now - following.learnt_at if following else 0.0

    def list_models(self) -> list[tuple[ModelName, int]]:
        """Return the models with the versions wanted of them."""
        return [(model, named[-1].version) for model, named in self._named.items()]
