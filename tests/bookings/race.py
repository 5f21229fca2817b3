"""Simulate attempts that race for one row, using the claim functions in any order of steps."""

from dataclasses import dataclass, field

from turmericproxy.bookings.claims import (
    Claim,
    ClaimRecord,
    ClaimState,
    ClaimWrite,
    Outcome,
    Settlement,
    StoredClaim,
    confirm_claim,
    finish_claim,
    give_up_claim,
    is_claimable,
    mark_claim_unknown,
    release_claim,
    settle_claim,
    write_claim,
)
from turmericproxy.core import AttemptId, HostName, Incarnation

ROW = "row"
STEPS = (
    "write_claim",
    "apply_claim",
    "confirm_claim",
    "record_dispatch",
    "finish_claim",
    "mark_claim_unknown",
    "release_claim",
    "give_up_claim",
    "settle_claim",
    "apply_settlement",
    "crash_host",
)


@dataclass
class Attempt:
    """State of an attempt; each of its sent writes may take effect late or repeatedly."""

    record: ClaimRecord
    sent_claims: list[ClaimWrite] = field(default_factory=list)
    sent_settlements: list[ClaimWrite] = field(default_factory=list)
    claim: Claim | None = None
    settlement: Settlement | None = None
    is_trying: bool = True
    is_crashed: bool = False
    is_settled: bool = False
    ran: bool = False
    reported_not_run: bool = False


class Race:
    """State of the row and its attempts; a step that the code does not allow has no effect."""

    def __init__(self, attempts: int) -> None:
        self.stored: StoredClaim | None = None
        self.versions = 0
        self.attempts = {n: Attempt(_create_record(n)) for n in range(1, attempts + 1)}

    def run_step(self, name: str, number: int) -> None:
        """Run the named step of attempt ``number``; a crashed host runs none."""
        attempt = self.attempts[number]
        if name.startswith("apply_") or not attempt.is_crashed:
            getattr(self, f"_{name}")(attempt)

    def is_safe(self) -> bool:
        """Return whether at most one attempt ran, each "not run" holds and no key stays blocked."""
        attempts = self.attempts.values()
        return (
            sum(a.ran for a in attempts) <= 1
            and not any(a.ran and a.reported_not_run for a in attempts)
            and not any(a.is_settled and a.reported_not_run and self._is_held(a) for a in attempts)
        )

    def _is_held(self, attempt: Attempt) -> bool:
        return confirm_claim(ROW, self.stored, attempt.record.attempt) is not None

    def _write_claim(self, attempt: Attempt) -> None:
        if not attempt.is_trying:
            return
        if not attempt.sent_claims:
            attempt.sent_claims.append(write_claim(ROW, None, attempt.record))
        elif is_claimable(self.stored):
            attempt.sent_claims.append(write_claim(ROW, self.stored, attempt.record))

    def _apply_claim(self, attempt: Attempt) -> None:
        self._apply(attempt.sent_claims)

    def _confirm_claim(self, attempt: Attempt) -> None:
        if attempt.is_trying:
            attempt.claim = confirm_claim(ROW, self.stored, attempt.record.attempt)
            attempt.is_trying = attempt.claim is None

    def _record_dispatch(self, attempt: Attempt) -> None:
        if attempt.claim and not attempt.settlement:
            attempt.ran = True

    def _finish_claim(self, attempt: Attempt) -> None:
        if attempt.claim and attempt.ran and not attempt.settlement:
            attempt.settlement = finish_claim(attempt.claim, Outcome(200, (), b""), 2.0)

    def _mark_claim_unknown(self, attempt: Attempt) -> None:
        if attempt.claim and attempt.ran and not attempt.settlement:
            attempt.settlement = mark_claim_unknown(attempt.claim, 2.0)

    def _release_claim(self, attempt: Attempt) -> None:
        if attempt.claim and not attempt.ran and not attempt.settlement:
            attempt.settlement = release_claim(attempt.claim, 2.0)
            attempt.reported_not_run = True

    def _give_up_claim(self, attempt: Attempt) -> None:
        if attempt.is_trying and attempt.sent_claims:
            versions = frozenset(write.version for write in attempt.sent_claims)
            attempt.settlement = give_up_claim(ROW, attempt.record, versions, 2.0)
            attempt.is_trying = False
            attempt.reported_not_run = True

    def _settle_claim(self, attempt: Attempt) -> None:
        if attempt.settlement and not attempt.is_settled:
            write = settle_claim(attempt.settlement, self.stored)
            attempt.is_settled = write is None
            attempt.sent_settlements += [write] if write else []

    def _apply_settlement(self, attempt: Attempt) -> None:
        self._apply(attempt.sent_settlements)

    def _crash_host(self, attempt: Attempt) -> None:
        attempt.is_crashed = True

    def _apply(self, writes: list[ClaimWrite]) -> None:
        version = self.stored.version if self.stored else None
        for write in writes:
            if write.version == version:
                self.versions += 1
                self.stored = StoredClaim(write.record, self.versions)
                return


def _create_record(number: int) -> ClaimRecord:
    return ClaimRecord(
        AttemptId(f"attempt-{number}"),
        HostName(f"host-{number}"),
        Incarnation(f"incarnation-{number}"),
        ClaimState.CLAIMED,
        "digest",
        1.0,
    )
