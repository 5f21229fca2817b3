"""Show that a part on which engines crash after their first event crashes engine after engine."""

import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-2"))

import crashing  # noqa: E402
import deployment as d  # noqa: E402

# 10.5 + 29.6 requests a second: the users' sheet. 0.3 s is the time of 13,300 prompt tokens there,
# at 44.2 tokens a ms, and half of the time in which a first event is on time.
ANSWERING = crashing.Answering(prefill_seconds=0.3, events_before_crash=1)
LOAD = crashing.Load(sound=40.1, bad=0.5, seconds=85.0)


def build_bad(number: int) -> list[str]:
    """Return the lines of a request with the bad part."""
    return crashing.describe_prompt("aa", crashing.BAD_PART, f"{number:x}e")


def run(opened: d.Deployment) -> Coroutine[Any, Any, int]:
    """Play the case on a route whose streams may be resumed."""
    return crashing.run(opened, build_bad, answering=ANSWERING, load=LOAD, is_resumable=True)


if __name__ == "__main__":
    sys.exit(d.run_case(Path(__file__).parent, run))
