"""Check which outcomes of an attempt are retried."""

import pytest

from turmericproxy.core.ids import InstanceId
from turmericproxy.edge import AnswerHead, Headers
from turmericproxy.traffic.attempts import (
    MAX_SENT_ATTEMPTS,
    MAX_TOTAL_ATTEMPTS,
    Attempt,
    AttemptCounts,
    NextAction,
    Outcome,
    decide_next_action,
    find_obstacle,
)
from turmericproxy.traffic.requests import ParsedAnswer, Verdict

OK = ParsedAnswer(Verdict.SUCCESS, AnswerHead(200, Headers()))
FAILED = ParsedAnswer(Verdict.FAILURE, AnswerHead(500, Headers()))


def decide(
    attempt: Attempt, *, is_repeatable: bool, max_runs: int = 2, attempts: int = 1
) -> NextAction:
    counts = AttemptCounts(attempts - 1, 0).add(attempt)
    obstacle = find_obstacle(
        attempt, counts, is_repeatable=is_repeatable, max_runs=max_runs, seconds_left=1.0
    )
    return decide_next_action(attempt, obstacle)


@pytest.mark.parametrize("outcome", [Outcome.BROKEN, Outcome.TIMED_OUT])
def test_attempts_that_may_have_run_are_retried_only_on_repeatable_routes(outcome: Outcome) -> None:
    assert decide(Attempt(outcome), is_repeatable=False) is NextAction.GIVE_UP
    assert decide(Attempt(outcome), is_repeatable=True) is NextAction.RETRY
    assert decide(Attempt(outcome), is_repeatable=True, max_runs=1) is NextAction.GIVE_UP


@pytest.mark.parametrize("outcome", [Outcome.NOT_SENT, Outcome.NOT_RUN, Outcome.WRONG_INSTANCE])
def test_attempts_that_have_not_run_are_retried(outcome: Outcome) -> None:
    assert decide(Attempt(outcome), is_repeatable=False, max_runs=1) is NextAction.RETRY
    assert (
        decide(Attempt(outcome), is_repeatable=False, attempts=MAX_TOTAL_ATTEMPTS)
        is NextAction.GIVE_UP
    )


def decide_after(outcomes: list[Outcome]) -> NextAction:
    counts = AttemptCounts()
    for outcome in outcomes:
        counts = counts.add(Attempt(outcome))
    last = Attempt(outcomes[-1])
    obstacle = find_obstacle(last, counts, is_repeatable=False, max_runs=1, seconds_left=1.0)
    return decide_next_action(last, obstacle)


def test_request_survives_a_crash_of_many_upstreams_at_once() -> None:
    # A third of 45 engines; each crash is only detected by a refused connection.
    assert decide_after([Outcome.NOT_SENT] * 15) is NextAction.RETRY


def test_attempts_that_upstreams_refuse_are_limited() -> None:
    refused = [Outcome.NOT_RUN] * MAX_SENT_ATTEMPTS
    assert decide_after(refused[:-1]) is NextAction.RETRY
    assert decide_after(refused) is NextAction.GIVE_UP
    assert decide_after([*refused, Outcome.NOT_SENT]) is NextAction.GIVE_UP


def test_upstream_failure_is_relayed_unless_the_route_is_repeatable() -> None:
    failed = Attempt(Outcome.ANSWERED, FAILED)
    assert decide(failed, is_repeatable=False) is NextAction.ANSWER
    assert decide(failed, is_repeatable=True) is NextAction.RETRY
    assert decide(failed, is_repeatable=True, max_runs=1) is NextAction.ANSWER


def test_success_is_relayed() -> None:
    assert decide(Attempt(Outcome.ANSWERED, OK), is_repeatable=True) is NextAction.ANSWER


def test_no_retry_after_the_deadline() -> None:
    attempt = Attempt(Outcome.NOT_SENT)
    counts = AttemptCounts(1, 0)
    obstacle = find_obstacle(attempt, counts, is_repeatable=True, max_runs=2, seconds_left=0.0)
    assert decide_next_action(attempt, obstacle) is NextAction.GIVE_UP


# Guards against requests that expect weights which an engine doesn't have, and against hosts that
# take all engines for outdated: the versions in a refusal by another server at a reused address
# were recorded for the engine that had been there.
@pytest.mark.parametrize(
    ("verdict", "instance", "is_from"),
    [
        (Verdict.SUCCESS, None, True),
        (Verdict.FAILURE, None, True),
        (Verdict.NOT_RUN, None, True),
        (Verdict.WRONG_INSTANCE, "e1", True),
        (Verdict.WRONG_INSTANCE, "other", False),
        (Verdict.WRONG_INSTANCE, None, False),
        (Verdict.FOREIGN, "e1", False),
    ],
)
def test_answer_is_from_an_upstream_unless_it_says_otherwise(
    verdict: Verdict, instance: str | None, is_from: bool
) -> None:
    answer = ParsedAnswer(verdict, AnswerHead(421, Headers()), instance, version=9)
    assert answer.is_from(InstanceId("e1")) is is_from
