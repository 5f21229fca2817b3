"""Hold what each call of a run got."""

from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

from turmericproxy.bench.workload import CallKind


class Ending(Enum):
    """Tell how a call ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True)
class CallResult:
    """Hold the outcome of one call; times are in seconds from the moment it was due.

    ``code`` is the result code of a refusal. ``blocks`` counts the full blocks of the prompt.
    """

    number: int
    account: str
    kind: CallKind
    is_noise: bool
    at: float
    ending: Ending
    request_id: str = ""
    code: int = 0
    reason: str = ""
    first_token: float | None = None
    total: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    blocks: tuple[str, ...] = ()

    def describe(self) -> dict[str, Any]:
        """Return the result as a value for JSON, without the blocks."""
        value = asdict(self)
        value["blocks"] = len(self.blocks)
        value["kind"] = self.kind.value
        value["ending"] = self.ending.value
        return value
