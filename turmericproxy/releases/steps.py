"""Define the steps in which a new version's share of the traffic grows.

The shares before the last, each times its usual duration, sum up to 0.076 of the order's time. So a
version that turns bad at any of them has had less than a tenth of the requests when it is found.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Step:
    """Hold a share of the traffic, and fractions of the order's duration.

    With enough answers of the new version the step lasts for ``dwell``. Without, it ends
    ``latest`` after the order unless something speaks against the version: then traffic is low,
    and waiting would miss the deadline.
    """

    share: float
    dwell: float
    latest: float


STEPS = (
    Step(0.03, 0.05, 0.11),
    Step(0.06, 0.05, 0.18),
    Step(0.10, 0.05, 0.25),
    Step(0.20, 0.06, 0.32),
    Step(0.35, 0.07, 0.40),
    Step(0.60, 0.05, 0.46),
    Step(1.00, 0.06, 0.53),
)
LAST_STEP = len(STEPS) - 1
# Answers of the new version from which on a step counts as tried: if 40 in a hundred are bad, fewer
# than five are among 30 in less than 1 of 300 cases.
MIN_STEP_ANSWERS = 30
# No step is shorter, so that counts of it reach the decider and a verdict reaches all hosts.
MIN_STEP_SECONDS = 1.0


def is_step_over(step: int, duration: float, elapsed: float, in_step: float, answers: int) -> bool:
    """Return whether a step has lasted long enough; times are in seconds.

    ``elapsed`` counts from the order, ``in_step`` from the begin of the step, which gave
    ``answers`` of the new version.

    >>> is_step_over(0, 60.0, 5.0, 4.0, 80)
    True
    >>> is_step_over(0, 60.0, 5.0, 4.0, 10)
    False
    """
    current = STEPS[step]
    if in_step < max(MIN_STEP_SECONDS, current.dwell * duration):
        return False
    return answers >= MIN_STEP_ANSWERS or elapsed >= current.latest * duration


def compute_least_remaining(step: int, duration: float) -> float:
    """Return the least seconds from a step, or 0 during the last one, until old versions stop.

    >>> round(compute_least_remaining(0, 100.0))
    34
    """
    return sum(max(MIN_STEP_SECONDS, s.dwell * duration) for s in STEPS[step + 1 :])
