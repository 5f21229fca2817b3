"""Parsed client requests, the data added for the upstream, and parsed answers."""

from dataclasses import dataclass
from enum import Enum

from turmericproxy.core import AccountName, ModelName, RequestId
from turmericproxy.core.ids import InstanceId
from turmericproxy.edge import AnswerHead, ClientRequest
from turmericproxy.placement.load_reports import LoadReport
from turmericproxy.placement.notices import NO_NOTICE, UpstreamNotice

PartId = str


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt; the last part of a prompt is not shared with other requests."""

    part_id: PartId
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """Token counts and parts of a prompt, as declared by the client; the parts are in order."""

    model: ModelName
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the leading parts, which other requests may also have."""
        return self.parts[:-1]

    @property
    def shared_part_ids(self) -> tuple[PartId, ...]:
        """Return the identifiers of the shared parts."""
        return tuple(part.part_id for part in self.shared_parts)


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """One parsed client request; ``deadline`` is a time of the event loop, in seconds."""

    request_id: RequestId
    raw: ClientRequest
    host: str
    key: str | None
    deadline: float
    prompt: Prompt | None
    last_event_id: str | None


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Data that the host adds to a request for one upstream.

    ``seconds_left`` is the time that the upstream may take. ``cache_space`` separates the KV cache
    of isolated accounts and of weight versions; ``fetch_from`` and ``save_to`` are addresses.
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
    """Kind of an upstream's answer, by its head; ``FOREIGN`` answers belong to another request."""

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not_run"
    WRONG_INSTANCE = "wrong_instance"
    FOREIGN = "foreign"


@dataclass(frozen=True, slots=True)
class ParsedAnswer:
    """Parsed head of an upstream's answer.

    ``instance`` is the upstream that answered, ``version`` the version of its weights, ``notice``
    what it announces about itself, and ``load`` the load that it reports. With
    ``has_refusal_status``, the status tells callers that the request has not run, although the
    upstream doesn't state that.
    """

    verdict: Verdict
    head: AnswerHead
    instance: str | None = None
    version: int | None = None
    notice: UpstreamNotice = NO_NOTICE
    has_refusal_status: bool = False
    load: LoadReport | None = None

    def is_from(self, instance: InstanceId) -> bool:
        """Return whether an upstream gave this answer to the request that was sent to it."""
        if self.verdict is Verdict.WRONG_INSTANCE:
            return self.instance == instance
        return self.verdict is not Verdict.FOREIGN


def list_header_fields(answer: ParsedAnswer) -> list[tuple[str, str]]:
    """Return the fields of an answer that the client gets; its length is stated anew."""
    return [
        (name, value)
        for name, value in answer.head.headers.list_end_to_end()
        if name.lower() != "content-length"
    ]
