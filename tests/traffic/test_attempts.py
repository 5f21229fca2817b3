"""Check what follows each kind of attempt."""

import pytest

from turmericproxy.edge import AnswerHead, Headers
from turmericproxy.traffic.attempts import (
    MOST_SENT,
    MOST_TRIES,
    Attempt,
    History,
    Outcome,
    Step,
    decide_step,
)
from turmericproxy.traffic.requests import ParsedAnswer, Verdict

OK = ParsedAnswer(Verdict.SUCCESS, AnswerHead(200, Headers()))
FAILED = ParsedAnswer(Verdict.FAILURE, AnswerHead(500, Headers()))


def decide(attempt: Attempt, *, repeatable: bool, runs: int = 2, tries: int = 1) -> Step:
    history = History(tries - 1, 0).add(attempt)
    return decide_step(attempt, history, is_repeatable=repeatable, max_runs=runs, seconds_left=1.0)


@pytest.mark.parametrize("outcome", [Outcome.BROKEN, Outcome.TIMED_OUT])
def test_what_may_have_run_is_repeated_only_where_that_is_allowed(outcome: Outcome) -> None:
    assert decide(Attempt(outcome), repeatable=False) is Step.GIVE_UP
    assert decide(Attempt(outcome), repeatable=True) is Step.RETRY
    assert decide(Attempt(outcome), repeatable=True, runs=1) is Step.GIVE_UP


@pytest.mark.parametrize("outcome", [Outcome.NOT_SENT, Outcome.NOT_RUN, Outcome.WRONG_INSTANCE])
def test_what_has_not_run_may_go_elsewhere(outcome: Outcome) -> None:
    assert decide(Attempt(outcome), repeatable=False, runs=1) is Step.RETRY
    assert decide(Attempt(outcome), repeatable=False, tries=MOST_TRIES) is Step.GIVE_UP


def play(outcomes: list[Outcome]) -> Step:
    history = History()
    for outcome in outcomes:
        history = history.add(Attempt(outcome))
    last = Attempt(outcomes[-1])
    return decide_step(last, history, is_repeatable=False, max_runs=1, seconds_left=1.0)


def test_request_survives_a_crash_of_many_upstreams_at_once() -> None:
    # A third of 45 engines, and each is found out by its refusal.
    assert play([Outcome.NOT_SENT] * 15) is Step.RETRY


def test_upstreams_that_refuse_a_request_are_not_asked_on_and_on() -> None:
    refused = [Outcome.NOT_RUN] * MOST_SENT
    assert play(refused[:-1]) is Step.RETRY
    assert play(refused) is Step.GIVE_UP
    assert play([*refused, Outcome.NOT_SENT]) is Step.GIVE_UP


def test_failures_of_an_upstream_are_answers() -> None:
    failed = Attempt(Outcome.ANSWERED, FAILED)
    assert decide(failed, repeatable=False) is Step.ANSWER
    assert decide(failed, repeatable=True) is Step.RETRY
    assert decide(failed, repeatable=True, runs=1) is Step.ANSWER


def test_success_is_answered() -> None:
    assert decide(Attempt(Outcome.ANSWERED, OK), repeatable=True) is Step.ANSWER


def test_nothing_is_tried_after_the_deadline() -> None:
    attempt = Attempt(Outcome.NOT_SENT)
    step = decide_step(attempt, History(1, 0), is_repeatable=True, max_runs=2, seconds_left=0.0)
    assert step is Step.GIVE_UP
