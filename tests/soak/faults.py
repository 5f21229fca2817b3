"""Draw faults from a seed."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum


class FaultKind(Enum):
    """Distinguish the faults and changes that a soak test injects."""

    KILL_HOST = "kill_host"
    KILL_ALL_HOSTS = "kill_all_hosts"
    STOP_HOST = "stop_host"
    RELOAD_HOST = "reload_host"
    PAUSE_HOST = "pause_host"
    REFUSING_STORE = "refusing_store"
    SLOW_STORE = "slow_store"
    BLACKHOLED_STORE = "blackholed_store"
    ANSWERLESS_STORE = "answerless_store"
    LOST_COMMIT_ANSWERS = "lost_commit_answers"
    LOST_HISTORY = "lost_history"
    TRUNCATED_ROW = "truncated_row"
    CRASHED_SERVER = "crashed_server"
    DRAINED_SERVER = "drained_server"
    FAULTY_SERVER = "faulty_server"
    ANSWERLESS_SERVER = "answerless_server"
    RESET_SERVER = "reset_server"
    SLOW_SERVER = "slow_server"
    NEW_CONFIGURATION = "new_configuration"
    NEW_WEIGHTS = "new_weights"


# Relative frequencies other than 1: all hosts fail at once less often than single components.
FREQUENCIES = {FaultKind.KILL_ALL_HOSTS: 0.3}
# The range includes values below and above the time-outs, heartbeat intervals and lease times.
MIN_FAULT_SECONDS, MAX_FAULT_SECONDS = 0.2, 3.0


@dataclass(frozen=True)
class Fault:
    """Describe one fault.

    ``start_seconds`` counts from the start of the fault phase; ``pick`` selects the target.
    """

    kind: FaultKind
    start_seconds: float
    duration_seconds: float
    pick: int


def draw_faults(seed: int, count: int, phase_seconds: float) -> Sequence[Fault]:
    """Return faults in the order of their start; they may overlap."""
    rng = random.Random(seed)
    kinds = list(FaultKind)
    chosen = rng.choices(kinds, [FREQUENCIES.get(kind, 1.0) for kind in kinds], k=count)
    faults = [
        Fault(
            kind,
            rng.uniform(0, phase_seconds),
            rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS),
            rng.randrange(100),
        )
        for kind in chosen
    ]
    return sorted(faults, key=lambda fault: fault.start_seconds)
