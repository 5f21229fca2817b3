"""Record the versions of weights that the operator has set, and since when."""

from collections import deque
from dataclasses import dataclass

from turmericproxy.core import ModelName

# Age that is given to versions set before the host started, whose real age it does not know.
INITIAL_AGE_SECONDS = 1e6
# Versions kept for each model; an engine that is further behind has been outdated for long.
MAX_VERSIONS_PER_MODEL = 16


@dataclass(frozen=True, slots=True)
class ModelVersion:
    """Represent a version of a model's weights that the operator has set."""

    model: ModelName
    version: int


@dataclass(frozen=True, slots=True)
class WantedVersion:
    """Represent a wanted version and when the host recorded it."""

    version: int
    recorded_at: float


class WantedVersions:
    """Track the wanted versions of each model; times are by the event loop's clock."""

    def __init__(self) -> None:
        self._versions: dict[ModelName, deque[WantedVersion]] = {}

    def record(self, model: ModelName, version: int, recorded_at: float) -> bool:
        """Record a version; return whether it is newer than all recorded versions of the model."""
        versions = self._versions.setdefault(model, deque(maxlen=MAX_VERSIONS_PER_MODEL))
        if versions and versions[-1].version >= version:
            return False
        versions.append(WantedVersion(version, recorded_at))
        return True

    def find(self, model: ModelName) -> int:
        """Return the newest wanted version of a model; 0 if there is none."""
        versions = self._versions.get(model)
        return versions[-1].version if versions else 0

    def measure_age(self, model: ModelName, version: int, now: float) -> float:
        """Return the seconds for which a version has been outdated; 0 if it is the newest.

        A version is outdated from when the next newer one was recorded, even if others followed.
        """
        newer = (w for w in self._versions.get(model, ()) if w.version > version)
        successor = next(newer, None)
        return now - successor.recorded_at if successor else 0.0

    def list_models(self) -> list[tuple[ModelName, int]]:
        """Return each model with its newest wanted version."""
        return [(model, versions[-1].version) for model, versions in self._versions.items()]
