"""Play seeds that once broke a promise; ``python -m tests.soak`` plays fresh ones."""

import asyncio
from pathlib import Path

import pytest

from tests.soak.stage import play_seed

# Each seed with the fault that it found.
SEEDS = {
    2: "a host was ended by a reload while it still started",
}


@pytest.mark.parametrize("seed", SEEDS, ids=SEEDS.values())
def test_seed_keeps_every_promise(seed: int, tmp_path: Path) -> None:
    assert asyncio.run(play_seed(seed, tmp_path)) == []
