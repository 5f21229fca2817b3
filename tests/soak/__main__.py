"""Run soak tests from the command line: ``python -m tests.soak --first 1 --seeds 50 --jobs 3``."""

import argparse
import asyncio
import logging
import sys
import time
from pathlib import Path

from tests.soak.runner import run_seed

MAX_PRINTED_VIOLATIONS = 6


async def _run_all(first: int, count: int, jobs: int, folder: Path) -> int:
    semaphore = asyncio.Semaphore(jobs)
    failed = 0

    async def run(seed: int) -> None:
        nonlocal failed
        async with semaphore:
            logs = folder / str(seed)
            logs.mkdir(parents=True, exist_ok=True)
            try:
                violations = await run_seed(seed, logs)
            except AssertionError as error:
                violations = [str(error)]
            failed += bool(violations)
            more = (
                f"; and {len(violations) - MAX_PRINTED_VIOLATIONS} more"
                if len(violations) > MAX_PRINTED_VIOLATIONS
                else ""
            )
            printed = "; ".join(violations[:MAX_PRINTED_VIOLATIONS]) + more
            print(f"seed {seed}: {printed or 'no violations'}", flush=True)

    await asyncio.gather(*(run(seed) for seed in range(first, first + count)))
    print(f"{count - failed} passed, {failed} failed")
    return 1 if failed else 0


def main() -> int:
    """Run the seeds that the arguments give; return 1 if any of them failed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=int(time.time()), help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--jobs", type=int, default=1, help="number of seeds that run at once")
    parser.add_argument(
        "--logs", type=Path, default=Path("out/soak"), help="folder for the logs of the hosts"
    )
    parser.add_argument("--verbose", action="store_true", help="print each fault when it starts")
    arguments = parser.parse_args()
    logging.basicConfig(level=logging.INFO if arguments.verbose else logging.WARNING)
    return asyncio.run(_run_all(arguments.first, arguments.seeds, arguments.jobs, arguments.logs))


if __name__ == "__main__":
    sys.exit(main())
