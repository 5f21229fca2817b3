"""Remember the prompts that were answered recently, to tell common parts from rare ones."""

from collections import Counter, deque
from collections.abc import Iterable
from typing import NamedTuple

from turmericproxy.crashes.evidence import ModelPart

# Answers from which the share of a part is estimated: some seconds of a busy host.
MAX_ANSWERS = 512


class _Answer(NamedTuple):
    at: float
    parts: tuple[ModelPart, ...]


class AnsweredPrompts:
    """Hold the newest answered prompts of one model; times are of the event loop.

    >>> prompts = AnsweredPrompts()
    >>> part = ModelPart("m", "a")
    >>> prompts.add([part], 1.0)
    >>> prompts.estimate_share(part)
    0.75
    >>> prompts.count_between(0.5, 2.0), prompts.count_between(1.5, 2.0)
    (1, 0)
    >>> prompts.find_last(part), prompts.find_last(ModelPart("m", "b"))
    (1.0, -inf)
    """

    def __init__(self) -> None:
        self._answers: deque[_Answer] = deque()
        self._counts: Counter[ModelPart] = Counter()
        self._last_at: dict[ModelPart, float] = {}

    def add(self, parts: Iterable[ModelPart], now: float) -> None:
        """Record an answer."""
        answer = _Answer(now, tuple(set(parts)))
        self._answers.append(answer)
        self._counts.update(answer.parts)
        self._last_at.update(dict.fromkeys(answer.parts, now))
        if len(self._answers) > MAX_ANSWERS:
            for part in self._answers.popleft().parts:
                self._counts[part] -= 1
                if not self._counts[part]:
                    del self._counts[part]
                    del self._last_at[part]

    def estimate_share(self, part: ModelPart) -> float:
        """Return the expected share of prompts that hold a part, above 0 and below 1."""
        return (self._counts[part] + 0.5) / (len(self._answers) + 1)

    def find_last(self, part: ModelPart) -> float:
        """Return when a prompt with a part was answered last, among those remembered."""
        return self._last_at.get(part, float("-inf"))

    def count_between(self, start: float, end: float) -> int:
        """Return the number of answers after a time and until another, among those remembered."""
        count = 0
        for answer in reversed(self._answers):
            if answer.at <= start:
                break
            count += answer.at <= end
        return count
