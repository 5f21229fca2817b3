"""Define what hosts tell each other about ended engines and the prompts that broke with them."""

from typing import Any, NamedTuple

from turmericproxy.core import ModelName, RequestId
from turmericproxy.core.ids import InstanceId

# Time from the head of an answer after which its events show that the prompt ends no engine.
SOUND_ANSWER_SECONDS = 0.5
# Bounds of what one message holds; longer lists are cut when they are sent and rejected when they
# are received.
MAX_REPORTS = 32
MAX_PROMPTS_PER_REPORT = 32
MAX_PARTS_PER_PROMPT = 64
MAX_PARTS_PER_MESSAGE = 512
MAX_NOTICES = 64
MAX_TEXT_LENGTH = 200


class ModelPart(NamedTuple):
    """Identify a prompt part for one model."""

    model: ModelName
    part_id: str


class EngineStart(NamedTuple):
    """Identify one start of an engine; ``started_at`` is in Unix milliseconds."""

    instance: InstanceId
    started_at: int


class BrokenPrompt(NamedTuple):
    """Hold a prompt whose answer broke off when its engine ended.

    ``parts`` are the shared ones. With ``has_begun``, the head of the answer had arrived, but no
    event. The prompt was sent ``seconds`` before the report.
    """

    request_id: RequestId
    model: ModelName
    parts: tuple[str, ...]
    has_begun: bool
    seconds: float


class EndReport(NamedTuple):
    """Report the end of an engine, some seconds ago, and the sender's prompts that broke with it.

    ``prompt_count`` also counts those that are left out of ``prompts``.
    """

    engine: EngineStart
    seconds: float
    prompts: tuple[BrokenPrompt, ...]
    prompt_count: int


class BlockNotice(NamedTuple):
    """Tell that the sender refuses prompts that hold all of some parts, for ``seconds`` more.

    ``failed_trials`` counts the trials after which the block was extended. With ``is_stored``, the
    block is in the table of the store.
    """

    model: ModelName
    parts: tuple[str, ...]
    seconds: float
    failed_trials: int
    is_stored: bool


def decode_reports(value: Any) -> tuple[EndReport, ...]:
    """Return the reports in a message; raise ``ValueError`` or ``TypeError`` if it is malformed."""
    return tuple(
        EndReport(
            EngineStart(InstanceId(_check_text(instance)), int(started_at)),
            _check_seconds(seconds),
            tuple(
                _decode_prompt(*prompt) for prompt in _check_length(prompts, MAX_PROMPTS_PER_REPORT)
            ),
            int(prompt_count),
        )
        for (instance, started_at), seconds, prompts, prompt_count in _check_length(
            value, MAX_REPORTS
        )
    )


def decode_parts(value: Any) -> tuple[ModelPart, ...]:
    """Return the parts in a message; raise ``ValueError`` or ``TypeError`` if it is malformed."""
    return tuple(
        ModelPart(ModelName(_check_text(model)), _check_text(part))
        for model, part in _check_length(value, MAX_PARTS_PER_MESSAGE)
    )


def decode_notices(value: Any) -> tuple[BlockNotice, ...]:
    """Return the notices in a message; raise ``ValueError`` or ``TypeError`` if it is malformed."""
    return tuple(
        BlockNotice(
            ModelName(_check_text(model)),
            _decode_part_ids(parts),
            _check_seconds(seconds),
            int(failed_trials),
            bool(is_stored),
        )
        for model, parts, seconds, failed_trials, is_stored in _check_length(value, MAX_NOTICES)
    )


def _decode_prompt(
    request_id: Any, model: Any, parts: Any, has_begun: Any, seconds: Any
) -> BrokenPrompt:
    return BrokenPrompt(
        RequestId(_check_text(request_id)),
        ModelName(_check_text(model)),
        _decode_part_ids(parts),
        bool(has_begun),
        _check_seconds(seconds),
    )


def _decode_part_ids(value: Any) -> tuple[str, ...]:
    return tuple(_check_text(part) for part in _check_length(value, MAX_PARTS_PER_PROMPT))


def _check_length(value: Any, limit: int) -> list[Any]:
    if not isinstance(value, list) or len(value) > limit:
        raise ValueError("not a list, or too long")
    return value


def _check_text(value: Any) -> str:
    if not isinstance(value, str) or len(value) > MAX_TEXT_LENGTH:
        raise ValueError("not a text, or too long")
    return value


def _check_seconds(value: Any) -> float:
    seconds = float(value)
    if not 0.0 <= seconds < float("inf"):
        raise ValueError("not a number of seconds")
    return seconds
