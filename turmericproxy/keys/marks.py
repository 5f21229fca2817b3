"""Merge and encode the marks of withdrawn keys; a withdrawal is never revoked."""

import hashlib
import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from turmericproxy.core.ids import KeyId, Revision

MAX_COVERED_MARKS = 10_000


@dataclass(frozen=True)
class MarkSet:
    """Marks of withdrawn keys: open ones, and covered ones with the revision of the deletion.

    A mark is covered once the deletion of the key is committed. From that revision on, the key is
    missing in the configuration and refused without its mark.
    """

    open: frozenset[KeyId] = frozenset()
    covered: Mapping[KeyId, Revision] = field(default_factory=dict)


def merge_marks(own: MarkSet, other: MarkSet) -> MarkSet:
    """Return the union; a key that is covered in either set is covered.

    >>> merge_marks(MarkSet(frozenset({"a"})), MarkSet(frozenset({"b"}), {"a": 3}))
    MarkSet(open=frozenset({'b'}), covered={'a': 3})
    """
    covered = {**other.covered, **own.covered}
    return MarkSet((own.open | other.open) - covered.keys(), covered)


def drop_oldest(marks: MarkSet, revision: Revision, kept: int = MAX_COVERED_MARKS) -> MarkSet:
    """Drop the oldest covered marks beyond ``kept``, but none above the host's revision."""
    excess = len(marks.covered) - kept
    if excess <= 0:
        return marks
    passed = sorted((r, key) for key, r in marks.covered.items() if r <= revision)
    dropped = {key for _, key in passed[:excess]}
    return MarkSet(marks.open, {k: r for k, r in marks.covered.items() if k not in dropped})


def compute_marks_digest(marks: MarkSet) -> str:
    """Return a digest of the open marks; equal sets have equal digests."""
    joined = "\n".join(sorted(marks.open))
    return hashlib.blake2b(joined.encode(), digest_size=8).hexdigest()


def encode_marks(marks: MarkSet) -> dict[str, Any]:
    """Return the marks as plain values for a message between hosts."""
    return {"open": sorted(marks.open), "covered": dict(marks.covered)}


def decode_marks(body: Any) -> MarkSet:
    """Return the marks of a message, or no marks if it is malformed."""
    try:
        covered = {KeyId(str(k)): Revision(int(r)) for k, r in body["covered"].items()}
        return MarkSet(frozenset(KeyId(str(k)) for k in body["open"]), covered)
    except (AttributeError, KeyError, TypeError, ValueError):
        return MarkSet()


class MarkRegistry:
    """Thread-safe set of the marks that a host knows."""

    def __init__(self) -> None:
        self._marks = MarkSet()
        self._lock = threading.Lock()

    def marks(self) -> MarkSet:
        """Return all marks."""
        return self._marks

    def is_marked(self, key_id: KeyId) -> bool:
        """Return whether the key has an open or covered mark."""
        marks = self._marks
        return key_id in marks.open or key_id in marks.covered

    def add(self, other: MarkSet, revision: Revision) -> MarkSet:
        """Merge marks and return the new ones; ``revision`` is the one in force on this host."""
        with self._lock:
            before = self._marks
            self._marks = drop_oldest(merge_marks(before, other), revision)
            return _select_new(before, other)

    def create_reply(self, open_at_peer: Iterable[KeyId]) -> MarkSet:
        """Return the open marks, and the covered marks of keys that are open at a peer."""
        marks = self._marks
        known = {key: marks.covered[key] for key in open_at_peer if key in marks.covered}
        return MarkSet(marks.open, known)


def _select_new(before: MarkSet, other: MarkSet) -> MarkSet:
    new_open = other.open - before.open - before.covered.keys()
    covered = {k: r for k, r in other.covered.items() if k not in before.covered}
    return MarkSet(frozenset(new_open), covered)
