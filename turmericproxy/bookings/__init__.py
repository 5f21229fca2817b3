"""Run each booking at most once by claiming its key at the platform."""

from turmericproxy.bookings.claims import Claim, ClaimState, Outcome, StoredOutcome
from turmericproxy.bookings.controller import ClaimController

__all__ = ["Claim", "ClaimController", "ClaimState", "Outcome", "StoredOutcome"]
