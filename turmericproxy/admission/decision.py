"""Decide whether one request is admitted, and when a refused one may return."""

import zlib
from dataclasses import dataclass
from enum import Enum

from turmericproxy.core import RequestId

# Share of the time between an urgent prompt's own duration and its target that less urgent prompts
# may fill. The rest is for what hosts admit before they hear of each other's requests.
HEADROOM_SHARE = 0.45
# Range of factors of the bound, by a request's position. All hosts see the same waits some time
# later, so a single threshold would make all of them refuse everything or nothing in turn.
MIN_BOUND_FACTOR = 0.25
MAX_BOUND_FACTOR = 1.75
# Smallest share, by a request's position, of the time left for the queue that the queue may take,
# where most of it is as urgent. The less of it is, the more other kinds give way instead.
MIN_ROOM_SHARE = 0.3
# Share of the queue that is as urgent from which on that applies in full.
FULL_SPREAD_SHARE = 0.7
# The same for prompts whose queue is limited by a bound already. They may queue at an engine that
# has their shared parts while others have less to do.
MIN_ROOM_SHARE_WITH_BOUND = 0.7
# Shares of the admitted requests that are as urgent, from which the margin begins to count for the
# most urgent kind and from which it counts in full. Below them other kinds give way instead.
LEAST_MARGIN_SHARE, FULL_MARGIN_SHARE = 0.4, 0.6
# Factor of the bound for accounts within their fair share, so that others give way first.
WITHIN_SHARE_FACTOR = 1.25
# Range of the spread of Retry-After, as a share of the target: clients count from their first
# attempt, so that a request which returns later is late.
SPREAD_SHARE = 0.5
MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 3.0
# Largest share of a request's remaining time for Retry-After: clients wait for up to a third of it.
RETRY_AFTER_SHARE = 0.3
CRC32_RANGE = 2**32


class Reason(Enum):
    """Reason of a decision."""

    ADMITTED = "admitted"
    LATE = "late"
    HEADROOM = "headroom"
    ACCOUNT_SHARE = "account_share"
    MEMORY = "memory"
    CEILING = "ceiling"


@dataclass(frozen=True, slots=True)
class AdmissionInputs:
    """Inputs of the decision on one request; times are in seconds.

    ``account_position`` and ``queue_position`` are fixed positions of the request from 0 to 1.
    ``expected_seconds`` is the time to the first token, of which ``queue_seconds`` are spent behind
    other prompts; ``ahead_share`` is the share of them that engines serve before this one, and
    ``requests_share`` the same of the admitted requests, which is the share of slots.
    ``margin_seconds`` is by how much first events of this priority come later than expected.
    ``best_wait`` is the wait at the service's best engines and ``bound`` the one up to which
    prompts of this priority are admitted, ``None`` for the most urgent. ``account_share`` is the
    share of such requests of the account that its fair share has room for.
    """

    account_position: float
    queue_position: float
    is_under_pressure: bool
    age: float
    expected_seconds: float
    queue_seconds: float
    ahead_share: float
    requests_share: float
    margin_seconds: float
    target: float
    best_wait: float
    bound: float | None
    account_share: float = 1.0


def decide(inputs: AdmissionInputs) -> Reason:
    """Return ``ADMITTED``, or the reason to refuse the request."""
    if not inputs.is_under_pressure:
        return Reason.ADMITTED
    if inputs.account_position >= inputs.account_share:
        return Reason.ACCOUNT_SHARE
    own_seconds = inputs.expected_seconds - inputs.queue_seconds
    room = inputs.target - inputs.age - own_seconds
    if inputs.bound is None:
        spread = min(1.0, inputs.ahead_share / FULL_SPREAD_SHARE)
        least = 1.0 - (1.0 - MIN_ROOM_SHARE) * spread
        room -= inputs.margin_seconds * _weigh_margin(inputs.requests_share)
    else:
        least = MIN_ROOM_SHARE_WITH_BOUND
    room *= least + inputs.queue_position * (1.0 - least)
    if inputs.queue_seconds * inputs.ahead_share > room:
        return Reason.LATE
    if inputs.bound is None:
        return Reason.ADMITTED
    factor = WITHIN_SHARE_FACTOR if inputs.account_share >= 1.0 else 1.0
    factor *= MIN_BOUND_FACTOR + inputs.queue_position * (MAX_BOUND_FACTOR - MIN_BOUND_FACTOR)
    if inputs.best_wait > factor * inputs.bound:
        return Reason.HEADROOM
    return Reason.ADMITTED


def _weigh_margin(requests_share: float) -> float:
    """Return the share of the margin that counts for the most urgent kind."""
    least = LEAST_MARGIN_SHARE
    return min(1.0, max(0.0, (requests_share - least) / (FULL_MARGIN_SHARE - least)))


def compute_position(request_id: RequestId, purpose: str) -> float:
    """Return a fixed position of a request from 0 to 1, independent for each purpose."""
    return zlib.crc32(f"{purpose}/{request_id}".encode()) / CRC32_RANGE


def compute_retry_after(
    backlog_seconds: float, target: float, seconds_left: float, position: float
) -> float:
    """Return the seconds until the backlog is prefilled, plus a spread, within what is useful."""
    seconds = max(0.0, backlog_seconds) + position * SPREAD_SHARE * target
    limit = min(MAX_RETRY_AFTER_SECONDS, RETRY_AFTER_SHARE * seconds_left)
    return round(max(MIN_RETRY_AFTER_SECONDS, min(limit, seconds)), 2)
