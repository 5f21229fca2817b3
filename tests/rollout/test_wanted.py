"""Check for how long weights count as old."""

import pytest

from turmericproxy.core import ModelName
from turmericproxy.rollout.wanted import INITIAL_AGE_SECONDS, WantedVersions

MODEL = ModelName("m")


def name_in_a_row() -> WantedVersions:
    wanted = WantedVersions()
    assert wanted.record(MODEL, 2, 10.0)
    assert wanted.record(MODEL, 3, 14.0)
    assert not wanted.record(MODEL, 2, 15.0)
    return wanted


@pytest.mark.parametrize(("version", "age"), [(1, 6.0), (2, 2.0), (3, 0.0)])
def test_weights_are_old_from_the_next_version_on_also_if_others_follow(
    version: int, age: float
) -> None:
    assert name_in_a_row().measure_age(MODEL, version, 16.0) == age


def test_newest_version_is_wanted() -> None:
    assert name_in_a_row().find(MODEL) == 3
    assert name_in_a_row().list_models() == [(MODEL, 3)]


def test_nothing_is_old_without_a_named_version() -> None:
    assert WantedVersions().find(MODEL) == 0
    assert WantedVersions().measure_age(MODEL, 0, 16.0) == 0.0


def test_weights_named_before_the_host_began_have_long_been_wanted() -> None:
    wanted = WantedVersions()
    wanted.record(MODEL, 4, 16.0 - INITIAL_AGE_SECONDS)
    assert wanted.measure_age(MODEL, 3, 16.0) == INITIAL_AGE_SECONDS
