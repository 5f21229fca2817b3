"""Hold a client's request, what is sent upstream for it, and what comes back."""

from dataclasses import dataclass
from enum import Enum

from turmericproxy.core import AccountName, ModelName, RequestId
from turmericproxy.edge import AnswerHead, ClientRequest

PartId = str


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Name a part of a prompt; the last part of a prompt is the request's own."""

    part_id: PartId
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """Hold what a request tells of its prompt; the parts are in order."""

    model: ModelName
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may have too."""
        return self.parts[:-1]


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """Hold one attempt of a client; ``deadline`` is a time of the event loop, in seconds."""

    request_id: RequestId
    raw: ClientRequest
    host: str
    key: str | None
    deadline: float
    prompt: Prompt | None
    last_event_id: str | None


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Hold what the host adds to a request for one upstream.

    ``seconds_left`` is what the upstream may take. ``cache_space`` separates KV cache of isolated
    accounts and of weights versions; ``fetch_from`` and ``save_to`` are addresses.
    """

    instance: str
    seconds_left: float
    account: AccountName | None
    priority: int
    version: int | None = None
    cache_space: str | None = None
    fetch_from: str | None = None
    save_to: str | None = None
    resume_after: str | None = None


class Verdict(Enum):
    """Tell what the head of an upstream's answer means."""

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not_run"
    WRONG_INSTANCE = "wrong_instance"
    FOREIGN = "foreign"


@dataclass(frozen=True, slots=True)
class ParsedAnswer:
    """Hold what the head of an answer says, in the terms of this project.

    ``instance`` is the upstream that answered, ``version`` is that of its weights.
    """

    verdict: Verdict
    head: AnswerHead
    instance: str | None = None
    version: int | None = None
