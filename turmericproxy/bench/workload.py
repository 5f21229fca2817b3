"""Create the seeded calls of a workload, each with the moment at which it is sent."""

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
SUBJECT_SKEW = 1.1
NOISE_FROM = 0.35
NOISE_UNTIL = 0.85


class CallKind(Enum):
    """Tell chats from bookings."""

    CHAT = "chat"
    BOOKING = "booking"


@dataclass(frozen=True)
class Level:
    """Name a text of a level of prefix, and give its length in tokens."""

    name: str
    tokens: int


@dataclass(frozen=True)
class Call:
    """Hold one call; ``at`` is in seconds since the start of the workload."""

    number: int
    at: float
    account: str
    kind: CallKind
    levels: tuple[Level, ...] = ()
    question: Level | None = None
    answer_tokens: int = 0
    is_noise: bool = False


def create_workload(shape: Shape, seed: int, seconds: float) -> tuple[Call, ...]:
    """Return the calls of a workload in the order of their moments."""
    calls: list[Call] = []
    for account in shape.accounts:
        calls += _create_account_calls(shape, account, seed, seconds)
    calls.sort(key=lambda call: call.at)
    return tuple(Call(**{**call.__dict__, "number": number}) for number, call in enumerate(calls))


def create_messages(call: Call) -> list[dict[str, str]]:
    """Return the chat messages of a call: the shared levels, then its question."""
    assert call.question is not None
    system = "".join(create_text(level) for level in call.levels)
    return [
        {"role": "system", "content": system},
        {"role": "user", "content": create_text(call.question)},
    ]


@lru_cache(maxsize=2_000)
def create_text(level: Level) -> str:
    """Return the text of a level, the same for the same name."""
    chooser = random.Random(level.name)
    length = level.tokens * CHARACTERS_PER_TOKEN
    words: list[str] = [level.name]
    size = len(level.name)
    while size < length:
        word = chooser.choice(WORDS)
        words.append(word)
        size += len(word) + 1
    return " ".join(words)[:length]


def _create_account_calls(
    shape: Shape, account: AccountShape, seed: int, seconds: float
) -> Iterator[Call]:
    chooser = random.Random(f"{shape.name}/{account.name}/{seed}")
    subjects = _Subjects(shape, account, chooser)
    rate = shape.requests_per_second * account.share
    at = chooser.expovariate(rate)
    while at < seconds:
        is_noisy = account.name == shape.noisy_account
        is_noise = is_noisy and NOISE_FROM * seconds <= at < NOISE_UNTIL * seconds
        if chooser.random() < shape.booking_share:
            yield Call(0, at, account.name, CallKind.BOOKING, is_noise=is_noise)
        else:
            yield _create_chat(shape, account, subjects, chooser, at, is_noise)
        at += chooser.expovariate(rate * (shape.noisy_factor if is_noise else 1.0))


def _create_chat(
    shape: Shape,
    account: AccountShape,
    subjects: "_Subjects",
    chooser: random.Random,
    at: float,
    is_noise: bool,
) -> Call:
    levels = subjects.choose(at)
    name = f"question {account.name} {at:.6f}"
    question = Level(name, chooser.randint(*shape.question_tokens))
    answer = chooser.randint(*shape.answer_tokens)
    return Call(0, at, account.name, CallKind.CHAT, levels, question, answer, is_noise)


class _Subjects:
    """Choose the cases or grants of an account, of which a few shifting ones are hot."""

    def __init__(self, shape: Shape, account: AccountShape, chooser: random.Random) -> None:
        self._shape = shape
        self._account = account
        self._chooser = chooser
        self._sizes = [chooser.randint(*shape.subject_tokens) for _ in range(shape.subjects)]
        self._weights = [1 / (rank + 1) ** SUBJECT_SKEW for rank in range(shape.subjects)]

    def choose(self, at: float) -> tuple[Level, ...]:
        """Return the levels of the prefix of a call at a moment."""
        subject = self._choose_subject(at)
        shared = tuple(
            self._create_shared(depth, tokens, subject)
            for depth, tokens in enumerate(self._shape.shared_levels)
        )
        name = f"subject {self._account.name} {subject}"
        return (*shared, Level(name, self._sizes[subject]))

    def _choose_subject(self, at: float) -> int:
        shape, chooser = self._shape, self._chooser
        shift = int(at / shape.hot_shift)
        if chooser.random() < shape.hot_share:
            place = chooser.randrange(shape.hot_subjects)
            return (shift * shape.hot_subjects + place) % shape.subjects
        return chooser.choices(range(shape.subjects), self._weights)[0]

    def _create_shared(self, depth: int, tokens: int, subject: int) -> Level:
        variant = subject % self._shape.variants if depth else 0
        return Level(f"level {depth} {self._account.name} {variant}", tokens)
