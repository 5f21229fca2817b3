"""Play seeds by hand: ``python -m tests.soak --first 1 --seeds 50 --jobs 3``."""

import argparse
import asyncio
import logging
import sys
import time
from pathlib import Path

from tests.soak.stage import play_seed

# Broken promises that are printed for a seed.
SHOWN = 6


async def _play_all(first: int, count: int, jobs: int, folder: Path) -> int:
    room = asyncio.Semaphore(jobs)
    failed = 0

    async def play(seed: int) -> None:
        nonlocal failed
        async with room:
            logs = folder / str(seed)
            logs.mkdir(parents=True, exist_ok=True)
            try:
                broken = await play_seed(seed, logs)
            except AssertionError as error:
                broken = [str(error)]
            failed += bool(broken)
            more = f"; and {len(broken) - SHOWN} more" if len(broken) > SHOWN else ""
            told = "; ".join(broken[:SHOWN]) + more
            print(f"seed {seed}: {told or 'kept every promise'}", flush=True)

    await asyncio.gather(*(play(seed) for seed in range(first, first + count)))
    print(f"{count - failed} passed, {failed} failed")
    return 1 if failed else 0


def main() -> int:
    """Play the seeds that the arguments name; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=int(time.time()), help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds")
    parser.add_argument("--jobs", type=int, default=1, help="how many at a time")
    parser.add_argument("--logs", type=Path, default=Path("out/soak"), help="where logs are kept")
    parser.add_argument("--verbose", action="store_true", help="print each fault as it begins")
    chosen = parser.parse_args()
    logging.basicConfig(level=logging.INFO if chosen.verbose else logging.WARNING)
    return asyncio.run(_play_all(chosen.first, chosen.seeds, chosen.jobs, chosen.logs))


if __name__ == "__main__":
    sys.exit(main())
