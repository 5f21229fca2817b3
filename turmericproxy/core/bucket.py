"""Count tokens in a bucket that refills at a steady rate, in whole micro-tokens."""

from dataclasses import dataclass, replace

MICRO = 1_000_000
_TROUGH_LIMIT = 16


@dataclass(frozen=True)
class Trough:
    """Hold the least room below the rim that was seen just before the spend of that number."""

    number: int
    room: int


@dataclass(frozen=True)
class Bucket:
    """Hold the state of a token bucket as of ``updated``.

    ``rate`` is in micro-tokens a second, ``depth`` and ``level`` are in micro-tokens and
    ``updated`` is in microseconds of CLOCK_BOOTTIME. ``spends`` numbers the spends so far.
    """

    rate: int
    depth: int
    level: int
    updated: int
    spends: int = 0
    troughs: tuple[Trough, ...] = ()


@dataclass(frozen=True)
class SpendRecord:
    """Tell what a spend took and its number, as needed to give a part back."""

    amount: int
    number: int


def refill(bucket: Bucket, now: int) -> Bucket:
    """Return the bucket as of ``now``; a clock that went back changes nothing.

    >>> refill(Bucket(rate=2_000_000, depth=5_000_000, level=0, updated=0), 1_500_000).level
    3000000
    """
    elapsed = now - bucket.updated
    if elapsed <= 0:
        return bucket
    level = min(bucket.depth, bucket.level + bucket.rate * elapsed // MICRO)
    return replace(bucket, level=level, updated=now)


def spend(bucket: Bucket, amount: int, now: int) -> tuple[Bucket, SpendRecord] | None:
    """Take exactly ``amount`` micro-tokens, or return ``None`` if there are not enough.

    >>> spend(Bucket(rate=1, depth=5, level=3, updated=0), 4, 0) is None
    True
    """
    filled = refill(bucket, now)
    if amount > filled.level:
        return None
    noted = _note_room(replace(filled, spends=filled.spends + 1))
    return replace(noted, level=noted.level - amount), SpendRecord(amount, noted.spends)


def spend_up_to(bucket: Bucket, amount: int, now: int) -> tuple[Bucket, SpendRecord]:
    """Take as much of ``amount`` micro-tokens as there is."""
    filled = refill(bucket, now)
    taken = spend(filled, min(amount, filled.level), now)
    assert taken is not None
    return taken


def charge(bucket: Bucket, amount: int, now: int) -> Bucket:
    """Take what was spent elsewhere; the level may fall below zero.

    >>> charge(Bucket(rate=1, depth=5, level=3, updated=0), 4, 0).level
    -1
    """
    filled = refill(bucket, now)
    return replace(filled, level=filled.level - amount)


def give_back(bucket: Bucket, spent: SpendRecord, unused: int, now: int) -> Bucket:
    """Put the unused part of a spend back, as if the spend had been smaller from the start.

    What would have run over the rim since then stays lost: otherwise tokens that refilled in
    the meantime could be spent together with those that return, which exceeds the burst.
    """
    filled = refill(bucket, now)
    room = filled.depth - filled.level
    earlier = [trough.room for trough in filled.troughs if trough.number > spent.number]
    returned = max(0, min([unused, spent.amount, room, *earlier]))
    return replace(filled, level=filled.level + returned)


def resize(bucket: Bucket, rate: int, depth: int, now: int) -> Bucket:
    """Change rate and depth; the level never grows by it."""
    filled = refill(bucket, now)
    clipped = replace(filled, rate=rate, depth=depth, level=min(filled.level, depth))
    return _note_room(replace(clipped, spends=clipped.spends + 1))


def measure_wait(bucket: Bucket, amount: int, now: int) -> float | None:
    """Return the seconds until ``amount`` micro-tokens are there, ``None`` if never."""
    filled = refill(bucket, now)
    if amount > filled.depth or (filled.rate == 0 and amount > filled.level):
        return None
    return max(0, amount - filled.level) / filled.rate if filled.rate else 0.0


def _note_room(bucket: Bucket) -> Bucket:
    """Record the present room under the present number, keeping only what can still matter."""
    room = bucket.depth - bucket.level
    kept = tuple(trough for trough in bucket.troughs if trough.room < room)
    troughs = (*kept, Trough(bucket.spends, room))
    if len(troughs) > _TROUGH_LIMIT:
        # Joined entries err towards the smaller room, which only wastes tokens.
        troughs = (Trough(troughs[1].number, troughs[0].room), *troughs[2:])
    return replace(bucket, troughs=troughs)
