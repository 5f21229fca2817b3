"""Define the upstream that was chosen for an attempt."""

from dataclasses import dataclass

from turmericproxy.core import RequestId, RouteName
from turmericproxy.core.ids import InstanceId
from turmericproxy.crashes.evidence import EngineStart
from turmericproxy.placement.prefixes import PartKey
from turmericproxy.placement.registry import Work
from turmericproxy.traffic.requests import Dispatch, Prompt


@dataclass(frozen=True)
class Placement:
    """Upstream chosen for an attempt, with the expected time and work there.

    ``expected_seconds`` is the time to the first token, or of the whole call for a plain request.
    ``queued_tokens`` are the prompt tokens that the engine had not prefilled at ``placed_at``, a
    time of the event loop, and ``started_at`` is its start time in Unix milliseconds. A plain
    request is expected to take ``load_factor`` times as long as without the upstream's load.
    """

    instance: InstanceId
    address: str
    dispatch: Dispatch
    expected_seconds: float
    work: Work
    prompt: Prompt | None = None
    keys: tuple[PartKey, ...] = ()
    queued_tokens: float = 0.0
    started_at: int = 0
    request_id: RequestId = RequestId("")
    placed_at: float = 0.0
    route: RouteName = RouteName("")
    load_factor: float = 1.0

    @property
    def output_tokens(self) -> int:
        """Return the declared tokens of the whole answer, 0 if they are not known or left to do."""
        return self.prompt.output_tokens if self.prompt and not self.dispatch.resume_after else 0

    @property
    def engine(self) -> EngineStart:
        """Return the start of the engine that was chosen."""
        return EngineStart(self.instance, self.started_at)


# Instance, keys of the shared parts, prompt, and expected seconds until its parts can be fetched.
PromptPlacement = tuple[InstanceId, tuple[PartKey, ...], Prompt, float]
