"""Draw faults from a seed."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum


class Trouble(Enum):
    """Name what goes wrong, or is changed."""

    KILL_HOST = "kill_host"
    KILL_ALL_HOSTS = "kill_all_hosts"
    STOP_HOST = "stop_host"
    RELOAD_HOST = "reload_host"
    PAUSE_HOST = "pause_host"
    REFUSING_STORE = "refusing_store"
    SLOW_STORE = "slow_store"
    SILENT_STORE = "silent_store"
    ANSWERLESS_STORE = "answerless_store"
    LOST_COMMITS = "lost_commits"
    LOST_HISTORY = "lost_history"
    TORN_ROW = "torn_row"
    CRASHED_SERVER = "crashed_server"
    DRAINED_SERVER = "drained_server"
    FAULTY_SERVER = "faulty_server"
    ANSWERLESS_SERVER = "answerless_server"
    RESET_SERVER = "reset_server"
    SLOW_SERVER = "slow_server"
    NEW_CONFIGURATION = "new_configuration"
    NEW_WEIGHTS = "new_weights"


# Hosts die together on few days; single troubles come more often.
WEIGHTS = {Trouble.KILL_ALL_HOSTS: 0.3}
# Seconds for which a trouble lasts: shorter and longer than time-outs, heartbeats and leases.
SHORTEST, LONGEST = 0.2, 3.0


@dataclass(frozen=True)
class Fault:
    """Hold one trouble; ``pick`` chooses its target, times are in seconds from the start."""

    trouble: Trouble
    at: float
    seconds: float
    pick: int


def draw_faults(seed: int, count: int, length: float) -> Sequence[Fault]:
    """Return faults in the order of their times; they may overlap."""
    dice = random.Random(seed)
    troubles = list(Trouble)
    chosen = dice.choices(troubles, [WEIGHTS.get(t, 1.0) for t in troubles], k=count)
    faults = [
        Fault(
            trouble, dice.uniform(0, length), dice.uniform(SHORTEST, LONGEST), dice.randrange(100)
        )
        for trouble in chosen
    ]
    return sorted(faults, key=lambda fault: fault.at)
