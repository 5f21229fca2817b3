"""Decide whether a host knows its configuration well enough to deny a request."""

from turmericproxy.core import Refusal, ResultCode, refuse

# Age of the configuration above which a change may be in force elsewhere that is unknown here: the
# time in which hosts that reach the store must apply one.
MAX_CERTAIN_AGE_SECONDS = 2.0
# Retry-After while the configuration can't be confirmed; longer than a host takes to notice that
# the store is back.
UNCONFIRMED_RETRY_AFTER_SECONDS = 2.0


def confirm_refusal(refusal: Refusal, age: float | None) -> Refusal:
    """Return the refusal to send, given the configuration's age in seconds.

    A host whose configuration is not confirmed can't tell that a key or route doesn't exist.
    """
    is_certain = age is not None and age <= MAX_CERTAIN_AGE_SECONDS
    if is_certain or refusal.code not in (ResultCode.KEY_UNKNOWN, ResultCode.UNKNOWN_ROUTE):
        return refusal
    return refuse(
        ResultCode.KEYS_TOO_OLD,
        f"{refusal.reason}, but the configuration is not confirmed",
        retry_after=UNCONFIRMED_RETRY_AFTER_SECONDS,
    )
