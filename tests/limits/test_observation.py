"""Check how a limit follows from answers that change, end, overtake each other or can't be read."""

from turmericproxy.limits.observation import (
    MAX_LIMIT,
    RELEASE_SECONDS,
    TRIAL_RATE,
    NamedLimit,
    Observation,
    apply_observation,
)

START = 7


def observe(
    known: NamedLimit | None,
    per_second: float | None,
    sent_at: float,
    *,
    now: float | None = None,
    started_at: int = START,
) -> NamedLimit | None:
    observation = Observation(started_at, per_second, sent_at)
    return apply_observation(known, observation, sent_at if now is None else now)


def name(per_second: float, at: float = 0.0) -> NamedLimit:
    limit = observe(None, per_second, at)
    assert limit is not None
    return limit


def test_upstream_that_has_named_nothing_is_not_limited() -> None:
    assert observe(None, None, 1.0) is None


def test_lower_limit_applies_at_once() -> None:
    lowered = observe(name(9.0), 2.0, 1.0)
    assert lowered and lowered.compute_rate(1.0) == 2.0


# After a raise at once to its full height, all requests that were held back would arrive together.
def test_raised_limit_is_reached_step_by_step() -> None:
    raised = observe(name(2.0), 16.0, 1.0)
    assert raised and [raised.compute_rate(1.0 + s) for s in (0, 1, 2, 3, 9)] == [2, 4, 8, 16, 16]


# One answer without the field must not lift the limit for all hosts at once.
def test_rate_grows_after_the_end_until_it_is_not_limited() -> None:
    ended = observe(name(2.0), None, 1.0)
    assert ended and not ended.is_over(1.0 + RELEASE_SECONDS - 0.1)
    assert [ended.compute_rate(1.0 + s) for s in (0, 1, 2)] == [2, 4, 8]
    assert ended.is_over(1.0 + RELEASE_SECONDS)
    again = observe(ended, 2.0, 2.0)
    assert again and again.compute_rate(2.0) == 2.0


def test_answer_to_an_earlier_request_does_not_replace_a_newer_value() -> None:
    limit = observe(name(2.0), 9.0, 5.0)
    assert observe(limit, 2.0, 4.0, now=6.0) is limit
    assert observe(limit, None, 4.0, now=6.0) is limit


def test_new_start_has_named_nothing() -> None:
    limit = name(2.0)
    assert observe(limit, None, 1.0, started_at=START + 1) is None
    assert observe(limit, 5.0, 1.0, started_at=START - 1) is limit
    restarted = observe(limit, 5.0, 1.0, started_at=START + 1)
    assert restarted and restarted.compute_rate(1.0) == 5.0


# With no request at all, nothing would tell that such a limit has ended.
def test_upstream_that_takes_nothing_gets_trials() -> None:
    for value in (0.0, 0.0001):
        assert name(value).compute_rate(0.0) == TRIAL_RATE


# Guards against upstreams that are used for one request a second since a field can't be read: with
# all servers of a service, 6% of its requests were served.
def test_unreadable_limit_keeps_the_known_one_or_none() -> None:
    unreadable = Observation(START, None, 1.0, is_unreadable=True)
    assert apply_observation(None, unreadable, 1.0) is None
    restarted = Observation(START + 1, None, 1.0, is_unreadable=True)
    assert apply_observation(name(3.0), restarted, 1.0) is None
    kept = apply_observation(name(3.0), unreadable, 1.0)
    assert kept and kept.compute_rate(1.0) == 3.0


def test_limit_above_all_use_is_none() -> None:
    assert observe(None, 2 * MAX_LIMIT, 1.0) is None
