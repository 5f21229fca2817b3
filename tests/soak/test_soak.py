"""Run seeds that once found a violation, and one with prompts on which engines end.

``python -m tests.soak`` runs new seeds.
"""

import asyncio
from pathlib import Path

import pytest

from tests.soak.runner import run_seed

# Each seed with the failure that it found, or with what it covers.
SEEDS = {
    2: "a reload signal during the start ended the host",
    115: "streams of silent engines were closed since no retry was left",
    500: "prompts on which engines end come beside other faults",
    700: "clients that keep to no limit come beside other faults",
}


@pytest.mark.parametrize("seed", SEEDS, ids=SEEDS.values())
def test_seed_yields_no_violations(seed: int, tmp_path: Path) -> None:
    assert asyncio.run(run_seed(seed, tmp_path)) == []
