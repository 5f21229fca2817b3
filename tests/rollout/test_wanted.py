"""Check for how long versions of weights count as outdated."""

import pytest

from turmericproxy.core import ModelName
from turmericproxy.rollout.wanted import INITIAL_AGE_SECONDS, WantedVersions

MODEL = ModelName("m")


def record_two_versions() -> WantedVersions:
    wanted = WantedVersions()
    assert wanted.record(MODEL, 2, 10.0)
    assert wanted.record(MODEL, 3, 14.0)
    assert not wanted.record(MODEL, 2, 15.0)
    return wanted


@pytest.mark.parametrize(("version", "age"), [(1, 6.0), (2, 2.0), (3, 0.0)])
def test_version_is_outdated_since_the_next_one_even_if_others_follow(
    version: int, age: float
) -> None:
    assert record_two_versions().measure_age(MODEL, version, 16.0) == age


def test_newest_recorded_version_is_wanted() -> None:
    assert record_two_versions().find(MODEL) == 3
    assert record_two_versions().list_models() == [(MODEL, 3)]


def test_no_version_is_outdated_when_none_was_recorded() -> None:
    assert WantedVersions().find(MODEL) == 0
    assert WantedVersions().measure_age(MODEL, 0, 16.0) == 0.0


def test_version_set_before_the_host_started_gets_the_initial_age() -> None:
    wanted = WantedVersions()
    wanted.record(MODEL, 4, 16.0 - INITIAL_AGE_SECONDS)
    assert wanted.measure_age(MODEL, 3, 16.0) == INITIAL_AGE_SECONDS
