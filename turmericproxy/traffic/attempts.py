"""Decide what follows an attempt at an upstream."""

from dataclasses import dataclass
from enum import Enum

from turmericproxy.placement.health import HealthSignal
from turmericproxy.traffic.requests import ParsedAnswer, Verdict


class Outcome(Enum):
    """Tell how an attempt ended."""

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    WRONG_INSTANCE = "wrong_instance"
    BROKEN = "broken"
    TIMED_OUT = "silent"


class Step(Enum):
    """Tell what to do after an attempt."""

    ANSWER = "answer"
    RETRY = "retry"
    GIVE_UP = "give_up"


@dataclass(frozen=True, slots=True)
class Attempt:
    """Hold the result of one attempt; ``body`` is whole if the outcome is an answer."""

    outcome: Outcome
    reading: ParsedAnswer | None = None
    body: bytes = b""
    reason: str = ""

    @property
    def may_have_run(self) -> bool:
        """Return whether the upstream may have begun to work on the request."""
        return self.outcome in (Outcome.ANSWERED, Outcome.BROKEN, Outcome.TIMED_OUT)

    @property
    def is_failure(self) -> bool:
        """Return whether the upstream answered with a failure of its own."""
        return self.reading is not None and self.reading.verdict is Verdict.FAILURE

    @property
    def health_signal(self) -> HealthSignal:
        """Return what the attempt says of the upstream's health."""
        if self.outcome is Outcome.ANSWERED:
            return HealthSignal.FAILED if self.is_failure else HealthSignal.ANSWERED
        return _ENDINGS[self.outcome]


_ENDINGS = {
    Outcome.NOT_SENT: HealthSignal.UNREACHABLE,
    Outcome.NOT_RUN: HealthSignal.SHED,
    Outcome.WRONG_INSTANCE: HealthSignal.SHED,
    Outcome.BROKEN: HealthSignal.FAILED,
    Outcome.TIMED_OUT: HealthSignal.TIMED_OUT,
}

# Attempts of one request that reach an upstream, those that did not run included.
MOST_SENT = 4
# Attempts in all. An upstream that has crashed refuses within a round trip, and many may crash at
# once; the deadline bounds those that time out.
MOST_TRIES = 24


@dataclass(frozen=True, slots=True)
class History:
    """Hold what a request has behind it: attempts, those that may have run, and those sent."""

    tries: int = 0
    runs: int = 0
    sent: int = 0

    def add(self, attempt: Attempt) -> "History":
        """Return the history with one more attempt."""
        is_sent = attempt.outcome is not Outcome.NOT_SENT
        return History(self.tries + 1, self.runs + attempt.may_have_run, self.sent + is_sent)


def decide_step(
    attempt: Attempt, history: History, *, is_repeatable: bool, max_runs: int, seconds_left: float
) -> Step:
    """Return what follows an attempt that ``history`` already counts.

    A retry after an attempt that reached an upstream needs the retry budget besides.

    >>> decide_step(Attempt(Outcome.BROKEN), History(1, 1), is_repeatable=False, max_runs=2,
    ...             seconds_left=1.0)
    <Step.GIVE_UP: 'give_up'>
    """
    is_answer = attempt.outcome is Outcome.ANSWERED
    if is_answer and not attempt.is_failure:
        return Step.ANSWER
    otherwise = Step.ANSWER if is_answer else Step.GIVE_UP
    is_spent = history.sent >= MOST_SENT or history.tries >= MOST_TRIES
    if is_spent or seconds_left <= 0:
        return otherwise
    if attempt.may_have_run and (not is_repeatable or history.runs >= max_runs):
        return otherwise
    return Step.RETRY
