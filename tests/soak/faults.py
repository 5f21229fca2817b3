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
    SILENT_SERVER = "silent_server"
    SILENT_SERVICE = "silent_service"
    SLOW_EVENTS = "slow_events"
    CRASHING_PROMPTS = "crashing_prompts"
    UNTRUSTED_CLIENTS = "untrusted_clients"


# Relative frequencies other than 1: all hosts fail at once less often than single components.
FREQUENCIES = {FaultKind.KILL_ALL_HOSTS: 0.3}
# The range includes values below and above the time-outs, heartbeat intervals and lease times.
MIN_FAULT_SECONDS, MAX_FAULT_SECONDS = 0.2, 3.0
# Sound servers send nothing for this time and then go on, or send events slowly for this time.
SILENCE_SECONDS = {
    FaultKind.SILENT_SERVER: (0.9, 1.6),
    FaultKind.SILENT_SERVICE: (0.9, 1.6),
    FaultKind.SLOW_EVENTS: (2.0, 3.0),
}
# Prompts on which engines end come for this time, long enough for the users' bound to apply.
CRASHING_SECONDS = 5.5
# Smaller seeds are kept as they were when they found a failure.
FIRST_CRASHING_SEED = 500
# Crowds of clients that keep to no limit come for this time, one way after the other.
UNTRUSTED_SECONDS = 3.0
UNTRUSTED_CROWDS = 2
FIRST_UNTRUSTED_SEED = 700
CHANGES = (FaultKind.NEW_CONFIGURATION, FaultKind.RELOAD_HOST, FaultKind.STOP_HOST)
SERIES_COUNT, SERIES_SECONDS = 3, 2.5
SILENCES_PER_SERIES, CHANGES_PER_SERIES = 2, 4


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
    """Return ``count`` faults and the series of the seed in the order of their start.

    Faults and series may overlap.
    """
    rng = random.Random(seed)
    drawn_apart = {*SILENCE_SECONDS, FaultKind.CRASHING_PROMPTS, FaultKind.UNTRUSTED_CLIENTS}
    kinds = [kind for kind in FaultKind if kind not in drawn_apart]
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
    faults += _draw_series(seed, phase_seconds)
    faults += _draw_crashing_prompts(seed, phase_seconds)
    faults += _draw_untrusted_clients(seed, phase_seconds)
    return sorted(faults, key=lambda fault: fault.start_seconds)


def _draw_series(seed: int, phase_seconds: float) -> Sequence[Fault]:
    """Return series of silences, each beside a series of changes."""
    rng = random.Random(f"series {seed}")
    faults = []
    for _ in range(SERIES_COUNT):
        series_start = rng.uniform(0, phase_seconds - SERIES_SECONDS)
        silences = rng.choices(list(SILENCE_SECONDS), k=SILENCES_PER_SERIES)
        changes = rng.choices(CHANGES, k=CHANGES_PER_SERIES)
        for kind in silences + changes:
            start = series_start + rng.uniform(0, SERIES_SECONDS)
            seconds = rng.uniform(*SILENCE_SECONDS.get(kind, (0.0, 0.0)))
            faults.append(Fault(kind, start, seconds, rng.randrange(100)))
    return faults


def _draw_crashing_prompts(seed: int, phase_seconds: float) -> Sequence[Fault]:
    """Return the time from which prompts come on which engines end."""
    if seed < FIRST_CRASHING_SEED:
        return []
    rng = random.Random(f"crashing {seed}")
    start = rng.uniform(0, phase_seconds - CRASHING_SECONDS)
    return [Fault(FaultKind.CRASHING_PROMPTS, start, CRASHING_SECONDS, rng.randrange(100))]


def _draw_untrusted_clients(seed: int, phase_seconds: float) -> Sequence[Fault]:
    """Return the times at which crowds of clients that keep to no limit come to a host."""
    if seed < FIRST_UNTRUSTED_SEED:
        return []
    rng = random.Random(f"untrusted {seed}")
    return [
        Fault(
            FaultKind.UNTRUSTED_CLIENTS,
            rng.uniform(0, phase_seconds - UNTRUSTED_SECONDS),
            UNTRUSTED_SECONDS,
            rng.randrange(100),
        )
        for _ in range(UNTRUSTED_CROWDS)
    ]
