"""Hold what a host tells of its work, and bring it into the form that is packed."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from turmericproxy.core import AccountName, ModelName
from turmericproxy.core.ids import InstanceId
from turmericproxy.placement.registry import Work


@dataclass(frozen=True, slots=True)
class PlacedPrompt:
    """Say that an engine was sent prompt parts, which it will have read after some seconds."""

    instance: InstanceId
    space: str
    parts: tuple[tuple[str, int], ...]
    seconds: float


@dataclass(frozen=True, slots=True)
class Batch:
    """Hold what has changed at the sender since its last batch.

    ``spent`` holds tokens since the sender's start, by account. ``loading`` holds the seconds
    that engines still need for new weights, ``superseded`` upstreams that are no longer at an
    address. ``is_leaving`` tells that the sender takes no more requests; hosts beside the
    kept store tell whether it answers. A whole batch holds all of the sender's work, and what it
    told of its work before no longer holds.
    """

    work: Mapping[InstanceId, Work] = field(default_factory=dict)
    placed_prompts: tuple[PlacedPrompt, ...] = ()
    kept_parts: tuple[tuple[str, str], ...] = ()
    spent: Mapping[AccountName, int] = field(default_factory=dict)
    levels: Mapping[AccountName, int] = field(default_factory=dict)
    versions: tuple[tuple[InstanceId, ModelName, int], ...] = ()
    loading: tuple[tuple[InstanceId, float], ...] = ()
    superseded: tuple[tuple[InstanceId, str], ...] = ()
    is_leaving: bool = False
    is_kept_store_reachable: bool | None = None
    is_full_state: bool = False


def merge_batches(first: Batch, second: Batch) -> Batch:
    """Return one batch that tells what two in a row tell."""
    is_reachable = second.is_kept_store_reachable
    return Batch(
        work={**({} if second.is_full_state else first.work), **second.work},
        placed_prompts=first.placed_prompts + second.placed_prompts,
        kept_parts=first.kept_parts + second.kept_parts,
        spent={**first.spent, **second.spent},
        levels={**first.levels, **second.levels},
        versions=first.versions + second.versions,
        loading=first.loading + second.loading,
        superseded=first.superseded + second.superseded,
        is_leaving=second.is_leaving,
        is_kept_store_reachable=(
            first.is_kept_store_reachable if is_reachable is None else is_reachable
        ),
        is_full_state=first.is_full_state or second.is_full_state,
    )


def write_batch(batch: Batch) -> dict[int, Any]:
    """Return the fields that tell something, by their place in the class, to be packed."""
    told = {}
    for place, (name, _) in enumerate(_READERS):
        value = getattr(batch, name)
        if value or (value is False and name == "is_kept_store_reachable"):
            told[place] = value
    if batch.work:
        told[_WORK] = {
            i: [w.requests, w.pending_prefill_tokens, w.reserved_tokens]
            for i, w in batch.work.items()
        }
    if batch.placed_prompts:
        told[_PLACED] = [[p.instance, p.space, p.parts, p.seconds] for p in batch.placed_prompts]
    return told


def read_batch(told: dict[int, Any]) -> Batch:
    """Return a batch from its fields; other values raise what reading them raises."""
    values = {}
    for place, value in told.items():
        name, read = _READERS[place]
        values[name] = read(value)
    return Batch(**values)


def _read_placed(value: Any) -> tuple[PlacedPrompt, ...]:
    return tuple(
        PlacedPrompt(InstanceId(i), str(s), tuple((str(p), int(t)) for p, t in parts), float(d))
        for i, s, parts, d in value
    )


def _read_totals(value: Any) -> dict[AccountName, int]:
    return {AccountName(name): int(total) for name, total in value.items()}


_READERS: Sequence[tuple[str, Callable[[Any], Any]]] = (
    ("work", lambda v: {InstanceId(i): Work(*map(int, w)) for i, w in v.items()}),
    ("placed_prompts", _read_placed),
    ("kept_parts", lambda v: tuple((str(space), str(part)) for space, part in v)),
    ("spent", _read_totals),
    ("levels", _read_totals),
    ("versions", lambda v: tuple((InstanceId(i), ModelName(m), int(n)) for i, m, n in v)),
    ("loading", lambda v: tuple((InstanceId(i), float(s)) for i, s in v)),
    ("superseded", lambda v: tuple((InstanceId(i), str(address)) for i, address in v)),
    ("is_leaving", bool),
    ("is_kept_store_reachable", bool),
    ("is_full_state", bool),
)
_WORK, _PLACED = 0, 1
