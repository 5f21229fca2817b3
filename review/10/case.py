"""Show that a part behind many others crashes engine after engine."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-2"))

import crashing  # noqa: E402
import deployment as d  # noqa: E402

SHARED = ("aa", *(f"d{number}" for number in range(70)))


def build_bad(number: int) -> list[str]:
    """Return the lines of a request whose bad part follows those that sound ones hold, too."""
    return crashing.describe_prompt(*SHARED, crashing.BAD_PART, f"{number:x}e")


if __name__ == "__main__":
    sys.exit(
        d.run_case(Path(__file__).parent, lambda opened: crashing.run(opened, build_bad, SHARED))
    )
