"""Remember which weights the operator has named, and since when."""

from dataclasses import dataclass

from turmericproxy.core import ModelName

# A version that was named before the host began to follow counts as old.
LONG_AGO = 1e6


@dataclass(frozen=True, slots=True)
class NamedWeights:
    """Hold the version of a model's weights that an operator has named."""

    model: ModelName
    version: int


@dataclass(frozen=True, slots=True)
class WantedVersion:
    """Hold a version of a model's weights and when the host learnt of it."""

    version: int
    learnt_at: float


class WantedVersions:
    """Hold the newest named version of each model; times are of the event loop."""

    def __init__(self) -> None:
        self._wanted: dict[ModelName, WantedVersion] = {}

    def learn(self, model: ModelName, version: int, learnt_at: float) -> bool:
        """Take in a named version; return whether it is newer than all before."""
        known = self._wanted.get(model)
        if known and known.version >= version:
            return False
        self._wanted[model] = WantedVersion(version, learnt_at)
        return True

    def find(self, model: ModelName, now: float) -> tuple[int, float]:
        """Return the version wanted of a model and its age in seconds; 0 if none was named."""
        known = self._wanted.get(model)
        if known is None:
            return 0, LONG_AGO
        return known.version, now - known.learnt_at

    def list_models(self) -> list[tuple[ModelName, int]]:
        """Return the models with the versions wanted of them."""
        return [(model, wanted.version) for model, wanted in self._wanted.items()]
