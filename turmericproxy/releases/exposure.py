"""Choose which requests of a host go to a new version, so that all hosts keep to its share.

Each host sends its own requests at the share in force, from a random offset on: the sum over hosts
then deviates from the share by the square root of their number, whatever each knows of the others.
A host that no longer hears the decider sends nothing to the new version.
"""

from collections.abc import Callable
from enum import Enum

from turmericproxy.releases.orders import ReleaseBounds, ReleasePhase, ReleaseState
from turmericproxy.releases.steps import LAST_STEP, STEPS

# Time without a message of the decider after which a host stops sending to the new version: four
# messages, and below half of the time in which a rollback must be in force at all hosts.
DECIDER_TIMEOUT_SECONDS = 2.0

# Seconds in which a version that turns bad at a step is found, and has ended at all hosts.
DETECTION_SECONDS = 3.0
# Seconds from a request until a verdict that counts it is in force at all hosts: a report (0.5 s),
# two ways through the hubs (0.12 s each) and a check of the decider (0.2 s), with a reserve.
REACTION_SECONDS = 1.5


def estimate_allowed(
    bounds: ReleaseBounds, *, requests: int, elapsed: float, duration: float
) -> float:
    """Return the requests that a bad version may get until the deadline, at the rate so far.

    ``requests`` of the service count since the order, ``elapsed`` seconds ago.

    >>> estimate_allowed(ReleaseBounds(0.1, 50, 5.0), requests=200, elapsed=10.0, duration=60.0)
    170.0
    """
    rate = requests / max(elapsed, 1.0)
    expected = requests + rate * max(0.0, duration - elapsed)
    return bounds.exposure_share * expected + bounds.exposure_slack


def is_exposure_used(
    share: float,
    bounds: ReleaseBounds,
    *,
    requests: int,
    sent: int,
    elapsed: float,
    duration: float,
) -> bool:
    """Return whether a version exceeds the bound if it is not rolled back at once.

    >>> bounds = ReleaseBounds(0.1, 50, 5.0)
    >>> [is_exposure_used(0.5, bounds, requests=600, sent=sent, elapsed=30.0, duration=60.0)
    ...  for sent in (150, 160)]
    [False, True]
    """
    allowed = estimate_allowed(bounds, requests=requests, elapsed=elapsed, duration=duration)
    rate = requests / max(elapsed, 1.0)
    return sent + rate * share * REACTION_SECONDS >= allowed


def limit_share(
    step: int,
    current: float,
    bounds: ReleaseBounds,
    *,
    requests: int,
    sent: int,
    elapsed: float,
    duration: float,
) -> float:
    """Return the share of a step, lowered so that the version may turn bad there.

    ``requests`` of the service and those ``sent`` to the version count since the order, ``elapsed``
    seconds ago. The requests until the deadline are estimated by their rate so far. The share never
    falls below the ``current`` one, since more time there is exposure, too. The last step has all
    traffic: it follows only once the version has been good with most of it, and no good version
    could complete within the bound.

    >>> bounds = ReleaseBounds(0.1, 50, 5.0)
    >>> limit_share(5, 0.35, bounds, requests=800, sent=91, elapsed=10.0, duration=20.0)
    0.5
    """
    share = STEPS[step].share
    if step == LAST_STEP:
        return share
    rate = requests / max(elapsed, 1.0)
    allowed = estimate_allowed(bounds, requests=requests, elapsed=elapsed, duration=duration)
    limit = (allowed - sent) / max(1.0, rate * DETECTION_SECONDS)
    return round(max(current, min(share, limit)), 2)


class VersionChoice(Enum):
    """Name the versions that an attempt may use, the preferred ones first."""

    NEW_ONLY = "new_only"
    NEW_FIRST = "new_first"
    OLD_ONLY = "old_only"


def find_share(state: ReleaseState | None, silence: float) -> float:
    """Return the share of requests for the new version, ``silence`` seconds after the decider."""
    if state is None or state.phase is ReleasePhase.ROLLED_BACK:
        return 0.0
    if state.phase is not ReleasePhase.STEPPING:
        return 1.0
    return state.share if silence < DECIDER_TIMEOUT_SECONDS else 0.0


class ShareGate:
    """Draw which requests go to the new version; ``offset`` from 0 to 1 is the host's own."""

    def __init__(self, offset: float) -> None:
        self._credit = offset

    def draw(self, share: float) -> bool:
        """Return whether the next request goes to the new version.

        >>> gate = ShareGate(0.5)
        >>> [gate.draw(0.25) for _ in range(8)].count(True)
        2
        """
        self._credit += share
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True


def choose_versions(
    state: ReleaseState | None, silence: float, draw: Callable[[float], bool], *, is_retry: bool
) -> VersionChoice:
    """Return which versions an attempt may use; ``draw`` tells whether its request is in a share.

    A retry gets no share of its own: it goes to old versions until all requests go to the new one.
    Once old versions may be about to stop, nothing returns to them.
    """
    if state and state.phase in (ReleasePhase.FINISHING, ReleasePhase.COMPLETED):
        return VersionChoice.NEW_ONLY
    share = find_share(state, silence)
    if share >= 1.0 or (share > 0 and not is_retry and draw(share)):
        return VersionChoice.NEW_FIRST
    return VersionChoice.OLD_ONLY
