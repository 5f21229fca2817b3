"""Store the result of each call of a run."""

from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

from turmericproxy.bench.workload import CallKind


class CallOutcome(Enum):
    """Enumerate the outcomes of a call, as the client sees them."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True)
class CallResult:
    """Store the outcome of one call; times are in seconds after the call was due.

    ``at`` is the due time in seconds after the start of the workload. ``code`` is the error code of
    a refusal. ``blocks`` has the hashes of the full blocks of the prompt.
    """

    number: int
    account: str
    kind: CallKind
    is_noise: bool
    at: float
    ending: CallOutcome
    request_id: str = ""
    code: int = 0
    reason: str = ""
    first_token: float | None = None
    total: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    blocks: tuple[str, ...] = ()

    def describe(self) -> dict[str, Any]:
        """Return the result as a JSON value, with the number of blocks in place of their hashes."""
        value = asdict(self)
        value["blocks"] = len(self.blocks)
        value["kind"] = self.kind.value
        value["ending"] = self.ending.value
        return value
