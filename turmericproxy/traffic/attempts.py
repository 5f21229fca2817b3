"""Classify the outcome of an attempt at an upstream and decide whether to retry."""

from dataclasses import dataclass
from enum import Enum

from turmericproxy.placement.health import HealthSignal
from turmericproxy.traffic.requests import ParsedAnswer, Verdict


class Outcome(Enum):
    """How an attempt ended; the values are logged."""

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    WRONG_INSTANCE = "wrong_instance"
    BROKEN = "broken"
    TIMED_OUT = "silent"


class AnswerPhase(Enum):
    """How far an answer had come when its attempt ended; the values are logged.

    ``BEGUN`` answers have a head and no event yet.
    """

    WAITING = "waiting"
    BEGUN = "begun"
    STREAMING = "streaming"


class NextAction(Enum):
    """What the host does after an attempt; the values are logged."""

    ANSWER = "answer"
    RETRY = "retry"
    WAIT = "wait"
    GIVE_UP = "give_up"


class Obstacle(Enum):
    """Why no further attempt is made; the values are logged."""

    ANSWERED = "answered"
    NOT_REPEATABLE = "not_repeatable"
    NO_ATTEMPT_LEFT = "no_attempt_left"
    NO_TIME_LEFT = "no_time_left"
    NO_BUDGET = "no_budget"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_ENDED = "upstream_ended"
    PROMPT_BLOCKED = "prompt_blocked"
    SLOW_CLIENT = "slow_client"


@dataclass(frozen=True, slots=True)
class Attempt:
    """Result of one attempt.

    ``body`` is the complete body of a plain answer; a stream is relayed during the attempt. With
    ``is_refused``, nothing listened at the upstream's address.
    """

    outcome: Outcome
    answer: ParsedAnswer | None = None
    body: bytes = b""
    reason: str = ""
    is_refused: bool = False

    @property
    def may_have_run(self) -> bool:
        """Return whether the upstream may have started to execute the request."""
        return self.outcome in (Outcome.ANSWERED, Outcome.BROKEN, Outcome.TIMED_OUT)

    @property
    def is_failure(self) -> bool:
        """Return whether the upstream itself answered with a failure status."""
        return self.answer is not None and self.answer.verdict is Verdict.FAILURE

    @property
    def is_relayable(self) -> bool:
        """Return whether the client may get the upstream's answer as it is."""
        is_answered = self.outcome is Outcome.ANSWERED
        return is_answered and not (self.answer and self.answer.has_refusal_status)

    @property
    def health_signal(self) -> HealthSignal:
        """Return what the attempt indicates about the health of the upstream."""
        if self.outcome is Outcome.ANSWERED:
            return HealthSignal.FAILED if self.is_failure else HealthSignal.ANSWERED
        return _HEALTH_SIGNALS[self.outcome]


_HEALTH_SIGNALS = {
    Outcome.NOT_SENT: HealthSignal.UNREACHABLE,
    Outcome.NOT_RUN: HealthSignal.SHED,
    Outcome.WRONG_INSTANCE: HealthSignal.SHED,
    Outcome.BROKEN: HealthSignal.FAILED,
    Outcome.TIMED_OUT: HealthSignal.TIMED_OUT,
}

# Limit of the attempts of one request that reach an upstream, including those that did not run.
MAX_SENT_ATTEMPTS = 4
# Limit of all attempts of one request. It is high because many upstreams may crash at once, and a
# crashed one refuses the connection within a round trip; the deadline bounds attempts that time
# out.
MAX_TOTAL_ATTEMPTS = 24


@dataclass(frozen=True, slots=True)
class AttemptCounts:
    """Attempts of one request so far: all, those that may have run, and those that were sent."""

    total: int = 0
    possible_runs: int = 0
    sent: int = 0

    def add(self, attempt: Attempt) -> "AttemptCounts":
        """Return the counts including one more attempt."""
        is_sent = attempt.outcome is not Outcome.NOT_SENT
        return AttemptCounts(
            self.total + 1, self.possible_runs + attempt.may_have_run, self.sent + is_sent
        )


def find_obstacle(
    attempt: Attempt,
    attempt_counts: AttemptCounts,
    *,
    is_repeatable: bool,
    max_runs: int,
    seconds_left: float,
) -> Obstacle | None:
    """Return why no further attempt may follow this one, or ``None`` if one may.

    ``attempt_counts`` already includes the attempt. The caller must also check the retry budget
    before it retries an attempt that was sent.

    >>> find_obstacle(Attempt(Outcome.BROKEN), AttemptCounts(1, 1), is_repeatable=False,
    ...               max_runs=2, seconds_left=1.0)
    <Obstacle.NOT_REPEATABLE: 'not_repeatable'>
    """
    if attempt.outcome is Outcome.ANSWERED and not attempt.is_failure:
        return Obstacle.ANSWERED
    if attempt_counts.sent >= MAX_SENT_ATTEMPTS or attempt_counts.total >= MAX_TOTAL_ATTEMPTS:
        return Obstacle.NO_ATTEMPT_LEFT
    if seconds_left <= 0:
        return Obstacle.NO_TIME_LEFT
    if not attempt.may_have_run:
        return None
    if not is_repeatable:
        return Obstacle.NOT_REPEATABLE
    return Obstacle.NO_ATTEMPT_LEFT if attempt_counts.possible_runs >= max_runs else None


def decide_next_action(attempt: Attempt, obstacle: Obstacle | None) -> NextAction:
    """Return what to do after an attempt, given what prevents a further one."""
    if obstacle is None:
        return NextAction.RETRY
    return NextAction.ANSWER if attempt.is_relayable else NextAction.GIVE_UP
