"""Implement a token bucket in integer arithmetic; the unit is a micro-token."""

from dataclasses import dataclass, replace

MICRO = 1_000_000
_TROUGH_LIMIT = 16


@dataclass(frozen=True)
class Trough:
    """Least headroom (depth minus level) seen just before the spend of that number."""

    number: int
    headroom: int


@dataclass(frozen=True)
class Bucket:
    """State of a token bucket at the time ``updated``.

    ``rate`` is in micro-tokens a second, ``depth`` and ``level`` are in micro-tokens and
    ``updated`` is in microseconds of CLOCK_BOOTTIME. ``spends`` is the number of the last spend;
    a resize takes a number too. ``troughs`` bounds how much of an earlier spend can be returned.
    """

    rate: int
    depth: int
    level: int
    updated: int
    spends: int = 0
    troughs: tuple[Trough, ...] = ()


@dataclass(frozen=True)
class SpendRecord:
    """Amount and number of a spend, which ``give_back`` needs to return a part of it."""

    amount: int
    number: int


def refill(bucket: Bucket, now: int) -> Bucket:
    """Return the bucket as of ``now``, unchanged if ``now`` is before its last update.

    >>> refill(Bucket(rate=2_000_000, depth=5_000_000, level=0, updated=0), 1_500_000).level
    3000000
    """
    if now <= bucket.updated:
        return bucket
    return replace(bucket, level=_compute_level(bucket, now), updated=now)


def _compute_level(bucket: Bucket, now: int) -> int:
    elapsed = max(0, now - bucket.updated)
    return min(bucket.depth, bucket.level + bucket.rate * elapsed // MICRO)


def spend(bucket: Bucket, amount: int, now: int) -> tuple[Bucket, SpendRecord] | None:
    """Deduct exactly ``amount`` micro-tokens, or return ``None`` if the level is too low.

    >>> spend(Bucket(rate=1, depth=5, level=3, updated=0), 4, 0) is None
    True
    """
    filled = refill(bucket, now)
    if amount > filled.level:
        return None
    numbered = _record_headroom(replace(filled, spends=filled.spends + 1))
    return replace(numbered, level=numbered.level - amount), SpendRecord(amount, numbered.spends)


def spend_up_to(bucket: Bucket, amount: int, now: int) -> tuple[Bucket, SpendRecord]:
    """Deduct ``amount`` micro-tokens, or the whole level if that is less."""
    filled = refill(bucket, now)
    result = spend(filled, min(amount, filled.level), now)
    assert result is not None
    return result


def charge(bucket: Bucket, amount: int, now: int) -> Bucket:
    """Deduct what other hosts have spent; the level may become negative.

    >>> charge(Bucket(rate=1, depth=5, level=3, updated=0), 4, 0).level
    -1
    """
    level = _compute_level(bucket, now) - amount
    return replace(bucket, level=level, updated=max(bucket.updated, now))


def charge_up_to_depth(bucket: Bucket, amount: int, now: int) -> Bucket:
    """Deduct what other hosts have spent; a negative amount refunds it, up to the depth."""
    level = min(bucket.depth, _compute_level(bucket, now) - amount)
    return replace(bucket, level=level, updated=max(bucket.updated, now))


def give_back(bucket: Bucket, spent: SpendRecord, unused: int, now: int) -> Bucket:
    """Return the unused part of a spend, as if the spend had been smaller from the start.

    Tokens that would have overflowed the bucket since then are not returned: together with the
    tokens refilled in the meantime they would allow more than one burst.
    """
    filled = refill(bucket, now)
    headroom = filled.depth - filled.level
    later = [trough.headroom for trough in filled.troughs if trough.number > spent.number]
    returned = max(0, min([unused, spent.amount, headroom, *later]))
    return replace(filled, level=filled.level + returned)


def resize(bucket: Bucket, rate: int, depth: int, now: int) -> Bucket:
    """Change rate and depth; the level is reduced to the new depth and never raised."""
    filled = refill(bucket, now)
    clipped = replace(filled, rate=rate, depth=depth, level=min(filled.level, depth))
    return _record_headroom(replace(clipped, spends=clipped.spends + 1))


def measure_wait(bucket: Bucket, amount: int, now: int) -> float | None:
    """Return the seconds until ``amount`` micro-tokens are available, ``None`` if never."""
    filled = refill(bucket, now)
    if amount > filled.depth or (filled.rate == 0 and amount > filled.level):
        return None
    return max(0, amount - filled.level) / filled.rate if filled.rate else 0.0


def _record_headroom(bucket: Bucket) -> Bucket:
    """Record the headroom under the last spend's number; drop entries that no longer matter."""
    headroom = bucket.depth - bucket.level
    smaller = tuple(trough for trough in bucket.troughs if trough.headroom < headroom)
    troughs = (*smaller, Trough(bucket.spends, headroom))
    if len(troughs) > _TROUGH_LIMIT:
        # Merges the two oldest entries. The smaller headroom wins, which at worst loses tokens.
        troughs = (Trough(troughs[1].number, troughs[0].headroom), *troughs[2:])
    return replace(bucket, troughs=troughs)
