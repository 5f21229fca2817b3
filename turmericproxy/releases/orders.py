"""Define the orders to move a service to another software version, and how far each is."""

import json
from dataclasses import dataclass
from enum import Enum

from turmericproxy.core.documents import decode_json
from turmericproxy.core.ids import ServiceName
from turmericproxy.releases.steps import LAST_STEP, STEPS


@dataclass(frozen=True, slots=True)
class ReleaseBounds:
    """Bound what a bad version may get.

    Over all hosts it gets at most ``exposure_share`` of the service's requests plus
    ``exposure_slack``, and nothing ``rollback_seconds`` after its 50th bad answer.
    """

    exposure_share: float
    exposure_slack: float
    rollback_seconds: float

    def __post_init__(self) -> None:
        if min(self.exposure_share, self.rollback_seconds) <= 0 or self.exposure_slack < 0:
            raise ValueError("exposure_share and rollback_seconds must be positive")


@dataclass(frozen=True, slots=True)
class ReleaseOrder:
    """Hold an operator's order; ``row_version`` distinguishes it from an earlier one like it."""

    service: ServiceName
    version: str
    duration: float
    row_version: int


class ReleasePhase(Enum):
    """Name the phases of a rollout; the values are written to the store.

    While ``FINISHING``, no host sends anything to old versions any more, but answers from there may
    still be open.
    """

    STEPPING = "stepping"
    FINISHING = "finishing"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Return whether the rollout has ended."""
        return self in (ReleasePhase.COMPLETED, ReleasePhase.ROLLED_BACK)

    @property
    def rank(self) -> int:
        """Return a number that never falls during a rollout."""
        return 2 if self.is_final else int(self is ReleasePhase.FINISHING)


@dataclass(frozen=True, slots=True)
class ReleaseState:
    """Hold the decider's last decision on an order.

    ``order`` is the version of the order's row, and ``duration`` its time in seconds.
    ``started_at`` is the time of the first step and ``stepped_at`` that of this one, by the store's
    clock in seconds. ``withdrawn`` are the versions of earlier orders that did not complete; they
    get no requests. ``previous`` are the other
    versions that were registered when the order was first seen.
    """

    service: ServiceName
    version: str
    order: int
    duration: float
    phase: ReleasePhase
    step: int
    share: float
    started_at: float
    stepped_at: float
    reason: str = ""
    withdrawn: tuple[str, ...] = ()
    previous: tuple[str, ...] = ()

    def is_of(self, order: ReleaseOrder) -> bool:
        """Return whether this state belongs to an order."""
        return (self.version, self.order) == (order.version, order.row_version)

    def create_order(self) -> ReleaseOrder:
        """Return the order that this state belongs to."""
        return ReleaseOrder(self.service, self.version, self.duration, self.order)

    def is_after(self, other: "ReleaseState") -> bool:
        """Return whether this is a later state of the same order."""
        return (self.phase.rank, self.step) > (other.phase.rank, other.step)


@dataclass(frozen=True, slots=True)
class ReleaseStatus:
    """Hold what operators see: the state, and the new version's answers in the judged window.

    ``sent`` of the service's ``requests`` went to the new version since the order.
    """

    state: ReleaseState
    answers: int
    failures: int
    requests: int
    sent: int


def list_withdrawn(previous: ReleaseState | None, order: ReleaseOrder) -> tuple[str, ...]:
    """Return the versions that are not used during an order that follows ``previous``.

    These are versions that earlier orders did not complete: they may be bad, and one that was
    rolled back stops some seconds later.
    """
    if previous is None:
        return ()
    withdrawn = set(previous.withdrawn)
    if previous.phase is not ReleasePhase.COMPLETED:
        withdrawn.add(previous.version)
    return tuple(sorted(withdrawn - {order.version}))


def begin_order(
    order: ReleaseOrder, previous: ReleaseState | None, registered: frozenset[str], now: float
) -> ReleaseState:
    """Return the first state of an order at ``now``, by the store's clock in seconds.

    A version that is in force already is completed at once. An order back to a version that served
    before an unfinished rollout begins with all traffic, since nothing speaks against it, and so
    does one while no other version is ``registered``.
    """
    phase, step, reason = ReleasePhase.STEPPING, 0, "first step"
    if previous and previous.phase is ReleasePhase.COMPLETED:
        if previous.version == order.version:
            phase, step, reason = ReleasePhase.COMPLETED, LAST_STEP, "the version is in force"
    elif previous and order.version in previous.previous:
        step, reason = LAST_STEP, f"return from {previous.version}"
    elif registered == {order.version}:
        step, reason = LAST_STEP, "no other version is registered"
    return ReleaseState(
        service=order.service,
        version=order.version,
        order=order.row_version,
        duration=order.duration,
        phase=phase,
        step=step,
        share=STEPS[step].share,
        started_at=now,
        stepped_at=now,
        reason=reason,
        withdrawn=list_withdrawn(previous, order),
        previous=tuple(sorted(registered - {order.version})),
    )


def encode_state(state: ReleaseState) -> list[object]:
    """Return a state as a list, for rows and for messages between hosts."""
    return [
        state.service,
        state.version,
        state.order,
        state.duration,
        state.phase.value,
        state.step,
        state.share,
        state.started_at,
        state.stepped_at,
        state.reason,
        list(state.withdrawn),
        list(state.previous),
    ]


def decode_state(values: object) -> ReleaseState:
    """Return an encoded state; raise ``ValueError`` or ``TypeError`` if it is malformed."""
    if not isinstance(values, list | tuple):
        raise TypeError("a state is a list")
    service, version, order, duration, phase, step, share, *rest = values
    started_at, stepped_at, reason, withdrawn, previous = rest
    return ReleaseState(
        ServiceName(str(service)),
        str(version),
        int(order),
        float(duration),
        ReleasePhase(phase),
        int(step),
        float(share),
        float(started_at),
        float(stepped_at),
        str(reason),
        tuple(str(name) for name in withdrawn),
        tuple(str(name) for name in previous),
    )


def write_state(state: ReleaseState) -> bytes:
    """Return the value of a state's row."""
    return json.dumps(encode_state(state)).encode()


def read_state(value: bytes) -> ReleaseState:
    """Return the state in a row; raise ``ValueError`` or ``TypeError`` if it is malformed."""
    return decode_state(decode_json(value))
