"""Check the claim functions under any order of steps, and the answers to repeated requests."""

from dataclasses import replace

import pytest
from hypothesis import example, given, seed, settings
from hypothesis import strategies as st

from tests.bookings.race import STEPS, Race
from turmericproxy.bookings.claims import (
    RUN_LIMIT_SECONDS,
    ClaimRecord,
    ClaimState,
    Outcome,
    StoredClaim,
    answer_repeated_request,
    create_row_key,
    read_record,
)
from turmericproxy.core import AccountName, Refusal, ResultCode, RunState

ATTEMPTS = 3
OUTCOME = Outcome(201, (("Content-Type", "text/plain"),), b"\x00\xff")


@seed(20)
@settings(max_examples=800, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from(STEPS), st.integers(1, ATTEMPTS)), min_size=10, max_size=40)
)
@example([("write_claim", 1), ("give_up_claim", 1), ("settle_claim", 1), ("apply_claim", 1)])
def test_no_order_of_steps_runs_twice_or_reports_a_run_as_not_run(
    steps: list[tuple[str, int]],
) -> None:
    race = Race(ATTEMPTS)
    for name, number in steps:
        race.run_step(name, number)
        assert race.is_safe()


def create_stored(state: ClaimState) -> StoredClaim:
    record = Race(1).attempts[1].record
    return StoredClaim(replace(record, state=state, outcome=OUTCOME), 1)


def answer(stored: StoredClaim, now: float, is_owner_alive: bool | None) -> ResultCode:
    result = answer_repeated_request(stored, "digest", now, is_owner_alive)
    assert isinstance(result, Refusal) and result.run is RunState.UNKNOWN
    return result.code


@pytest.mark.parametrize(
    ("is_owner_alive", "age", "code"),
    [
        (True, 2 * RUN_LIMIT_SECONDS, ResultCode.CLAIM_IN_PROGRESS),
        (None, 1.0, ResultCode.CLAIM_IN_PROGRESS),
        (None, 2 * RUN_LIMIT_SECONDS, ResultCode.OUTCOME_UNKNOWN),
        (False, 1.0, ResultCode.OUTCOME_UNKNOWN),
    ],
)
def test_repeat_of_claimed_row_depends_on_its_owner(
    is_owner_alive: bool | None, age: float, code: ResultCode
) -> None:
    stored = create_stored(ClaimState.CLAIMED)
    assert answer(stored, stored.record.written + age, is_owner_alive) is code


def test_repeat_gets_the_stored_response_and_another_body_is_refused() -> None:
    done = create_stored(ClaimState.DONE)
    assert answer_repeated_request(done, "digest", 9.0, None) == done.record
    refused = answer_repeated_request(done, "other", 9.0, None)
    assert isinstance(refused, Refusal) and refused.code is ResultCode.CLAIM_OTHER_BODY
    unknown = create_stored(ClaimState.UNKNOWN)
    assert answer(unknown, 9.0, True) is ResultCode.OUTCOME_UNKNOWN


@seed(21)
@given(
    st.sampled_from(ClaimState),
    st.binary(max_size=50),
    st.lists(st.tuples(st.text(max_size=5), st.text(max_size=5)), max_size=3),
    st.booleans(),
)
def test_record_is_unchanged_by_storing_and_parsing(
    state: ClaimState, body: bytes, headers: list[tuple[str, str]], has_outcome: bool
) -> None:
    outcome = Outcome(200, tuple(headers), body) if has_outcome else None
    record: ClaimRecord = replace(create_stored(state).record, outcome=outcome)
    assert read_record(record.to_json()) == record


@seed(22)
@given(st.text(), st.text(), st.text(), st.text())
def test_keys_of_two_accounts_never_share_a_row(a: str, key: str, b: str, other: str) -> None:
    same = create_row_key(AccountName(a), key) == create_row_key(AccountName(b), other)
    assert same == ((a, key) == (b, other))
