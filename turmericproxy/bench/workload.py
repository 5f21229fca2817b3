"""Generate the calls of a workload from a seed, each with its due time."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache

from turmericproxy.bench.shapes import AccountShape, Shape
from turmericproxy.cache.blocks import CHARACTERS_PER_TOKEN

WORDS = (
    *("tuning", "pitch", "string", "hammer", "felt", "action", "lid", "pedal", "bridge", "pin"),
    *("key", "octave", "unison", "grant", "hour", "timesheet", "clause", "rule", "budget"),
)
SUBJECT_ZIPF_EXPONENT = 1.1
NOISE_START_SHARE = 0.35
NOISE_END_SHARE = 0.85


class CallKind(Enum):
    """Enumerate the kinds of calls."""

    CHAT = "chat"
    BOOKING = "booking"


@dataclass(frozen=True)
class Level:
    """Describe a text by its name, which seeds its words, and its length in tokens."""

    name: str
    tokens: int


@dataclass(frozen=True)
class Call:
    """Store one call; ``at`` is its due time in seconds after the start of the workload."""

    number: int
    at: float
    account: str
    kind: CallKind
    levels: tuple[Level, ...] = ()
    question: Level | None = None
    answer_tokens: int = 0
    is_noise: bool = False


def create_workload(shape: Shape, seed: int, seconds: float) -> tuple[Call, ...]:
    """Return the calls of a workload, ordered by due time."""
    calls: list[Call] = []
    for account in shape.accounts:
        calls += _create_account_calls(shape, account, seed, seconds)
    calls.sort(key=lambda call: call.at)
    return tuple(Call(**{**call.__dict__, "number": number}) for number, call in enumerate(calls))


def create_messages(call: Call) -> list[dict[str, str]]:
    """Return the chat messages of a call: its prefix levels, then its question."""
    assert call.question is not None
    system = "".join(create_text(level) for level in call.levels)
    return [
        {"role": "system", "content": system},
        {"role": "user", "content": create_text(call.question)},
    ]


@lru_cache(maxsize=2_000)
def create_text(level: Level) -> str:
    """Return the text of a level; it depends only on the name and length."""
    rng = random.Random(level.name)
    length = level.tokens * CHARACTERS_PER_TOKEN
    words: list[str] = [level.name]
    size = len(level.name)
    while size < length:
        word = rng.choice(WORDS)
        words.append(word)
        size += len(word) + 1
    return " ".join(words)[:length]


def _create_account_calls(
    shape: Shape, account: AccountShape, seed: int, seconds: float
) -> Iterator[Call]:
    rng = random.Random(f"{shape.name}/{account.name}/{seed}")
    subjects = _SubjectSampler(shape, account, rng)
    rate = shape.requests_per_second * account.share
    at = rng.expovariate(rate)
    while at < seconds:
        is_noisy = account.name == shape.noisy_account
        is_noise = is_noisy and NOISE_START_SHARE * seconds <= at < NOISE_END_SHARE * seconds
        if rng.random() < shape.booking_share:
            yield Call(0, at, account.name, CallKind.BOOKING, is_noise=is_noise)
        else:
            yield _create_chat(shape, account, subjects, rng, at, is_noise)
        at += rng.expovariate(rate * (shape.noisy_factor if is_noise else 1.0))


def _create_chat(
    shape: Shape,
    account: AccountShape,
    subjects: "_SubjectSampler",
    rng: random.Random,
    at: float,
    is_noise: bool,
) -> Call:
    levels = subjects.sample(at)
    name = f"question {account.name} {at:.6f}"
    question = Level(name, rng.randint(*shape.question_tokens))
    answer = rng.randint(*shape.answer_tokens)
    return Call(0, at, account.name, CallKind.CHAT, levels, question, answer, is_noise)


class _SubjectSampler:
    """Sample the subjects (cases or grants) of an account; the hot ones change over time."""

    def __init__(self, shape: Shape, account: AccountShape, rng: random.Random) -> None:
        self._shape = shape
        self._account = account
        self._rng = rng
        self._sizes = [rng.randint(*shape.subject_tokens) for _ in range(shape.subjects)]
        self._weights = [1 / (rank + 1) ** SUBJECT_ZIPF_EXPONENT for rank in range(shape.subjects)]

    def sample(self, at: float) -> tuple[Level, ...]:
        """Sample the subject of a call at time ``at`` and return its prefix levels."""
        subject = self._sample_subject(at)
        shared = tuple(
            self._create_shared(depth, tokens, subject)
            for depth, tokens in enumerate(self._shape.shared_levels)
        )
        name = f"subject {self._account.name} {subject}"
        return (*shared, Level(name, self._sizes[subject]))

    def _sample_subject(self, at: float) -> int:
        shape, rng = self._shape, self._rng
        shift = int(at / shape.hot_shift)
        if rng.random() < shape.hot_share:
            position = rng.randrange(shape.hot_subjects)
            return (shift * shape.hot_subjects + position) % shape.subjects
        return rng.choices(range(shape.subjects), self._weights)[0]

    def _create_shared(self, depth: int, tokens: int, subject: int) -> Level:
        variant = subject % self._shape.variants if depth else 0
        return Level(f"level {depth} {self._account.name} {variant}", tokens)
