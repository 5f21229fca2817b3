"""Choose the engines of one chat in view of those that failed or were silent."""

from dataclasses import replace

from turmericproxy.callers.attempts import AttemptFailure, ProbeResult
from turmericproxy.core import EngineName, Refusal
from turmericproxy.keys import Identity, KeyController
from turmericproxy.routing import EngineChoice, RoutingRequest, Selector


class EngineChooser:
    """Choose engines for the attempts of one chat while the caller's key is valid."""

    def __init__(self, selector: Selector, keys: KeyController, identity: Identity) -> None:
        self._selector = selector
        self._keys = keys
        self._identity = identity
        self.failed: frozenset[EngineName] = frozenset()
        self._silent: frozenset[EngineName] = frozenset()

    def record_failure(self, choice: EngineChoice, failure: AttemptFailure) -> None:
        """Exclude the engine from later choices; a silent one is still the last choice."""
        if failure.is_silent:
            self._silent |= {choice.engine}
        else:
            self.failed |= {choice.engine}

    def clear_failed(self) -> None:
        """Allow the engines that failed to be chosen again."""
        self.failed = frozenset()

    def choose(self, request: RoutingRequest) -> EngineChoice | Refusal:
        """Choose an engine, and one that was left for its silence only if there is no other."""
        choice = self._choose(replace(request, excluded=self.failed | self._silent))
        if isinstance(choice, Refusal) and self._silent:
            return self._choose(replace(request, excluded=self.failed))
        return choice

    def choose_replacement(
        self, request: RoutingRequest, silent: EngineChoice, probe: ProbeResult | None
    ) -> EngineChoice | None:
        """Choose a healthy engine that is better than a silent one, as far as the probe shows.

        If the silent engine no longer runs the request, it may be chosen itself, unless its
        address is still the one that is unreachable.
        """
        exclusions = [self.failed | self._silent | {silent.engine}]
        if probe is ProbeResult.NO_ANSWER:
            exclusions.append(self._silent | {silent.engine})
        elif probe in (ProbeResult.UNREACHABLE, ProbeResult.UNKNOWN_REQUEST):
            exclusions += [frozenset({silent.engine}), frozenset()]
        for excluded in exclusions:
            choice = self._choose(replace(request, excluded=excluded, needs_healthy=True))
            if isinstance(choice, EngineChoice) and (
                probe is not ProbeResult.UNREACHABLE or choice.address != silent.address
            ):
                return choice
        return None

    def _choose(self, request: RoutingRequest) -> EngineChoice | Refusal:
        return self._keys.check(self._identity) or self._selector.choose_engine(request)
