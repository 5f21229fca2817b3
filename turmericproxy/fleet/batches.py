"""Define the batches of state changes that hosts exchange, and their encoding.

Batches and their parts are named tuples: each host creates those of all other hosts, and other
classes take several times as long to create.
"""

from collections.abc import Callable, Mapping, Sequence
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, NamedTuple

from turmericproxy.core import AccountName, HostName, ModelName
from turmericproxy.core.ids import InstanceId
from turmericproxy.crashes.evidence import (
    BlockNotice,
    EndReport,
    ModelPart,
    decode_notices,
    decode_parts,
    decode_reports,
)
from turmericproxy.limits.messages import (
    NO_REPORTS,
    LimitNotice,
    PermitGrant,
    PermitReport,
    decode_limit_notices,
    decode_permit_grants,
    decode_permit_reports,
)
from turmericproxy.placement.registry import SpeedReport, Work

if TYPE_CHECKING:
    from turmericproxy.releases.messages import ReleaseNotice, ReleaseReport

_NO_WORK: Mapping[InstanceId, Work] = MappingProxyType({})
_NO_TOTALS: Mapping[AccountName, int] = MappingProxyType({})


class PlacedPrompt(NamedTuple):
    """Report a prompt that was sent to an engine.

    ``space`` is the cache space of the parts, and ``parts`` holds the identifier and the tokens of
    each. After ``seconds``, the engine is expected to have prefilled them.
    """

    instance: InstanceId
    space: str
    parts: tuple[tuple[str, int], ...]
    seconds: float


class Batch(NamedTuple):
    """Hold the state that has changed at the sender since its last batch.

    ``work`` is the sender's work at each upstream, ``spent`` the tokens that each account has
    spent there since the sender's start, and ``levels`` the levels of the quota buckets in
    micro-tokens. ``loading`` holds the seconds for which an engine is still loading weights, and
    ``superseded`` the upstreams that another one has replaced at an address, and ``leaving`` those
    that have announced to leave, with their start times in Unix milliseconds. A sender with
    ``is_leaving`` takes no more requests. ``is_kept_store_reachable`` is set only by hosts in the
    failure domain of the kept store. A batch with ``is_full_state`` holds all of the sender's work
    and replaces what it reported before. ``alive`` are the hosts whose heartbeats a hub has
    received since its last batch. ``evicted`` holds engines and shared parts that they no longer
    hold, each with its cache space; ``kept_epoch`` changes when the kept store has restarted empty.
    ``ended`` are the engines whose end the sender has seen, ``answered_parts`` the parts that were
    suspicious after an end and have been answered, and ``blocks`` the parts that it refuses.
    ``limits`` are limits of upstreams, all that the sender knows in an introduction,
    ``permit_reports`` its totals at limited upstreams, and ``permit_grants`` what it allows hosts
    to send there. ``release_notices`` are decisions on rollouts of software, and
    ``release_reports`` what the sender has counted for them since their orders. ``speeds`` are
    slowdowns that engines report. ``removed`` are registrations, with their start times, that a
    sender in contact with the store has seen removed.
    """

    work: Mapping[InstanceId, Work] = _NO_WORK
    placed_prompts: tuple[PlacedPrompt, ...] = ()
    kept_parts: tuple[tuple[str, str], ...] = ()
    spent: Mapping[AccountName, int] = _NO_TOTALS
    levels: Mapping[AccountName, int] = _NO_TOTALS
    versions: tuple[tuple[InstanceId, ModelName, int], ...] = ()
    loading: tuple[tuple[InstanceId, float], ...] = ()
    superseded: tuple[tuple[InstanceId, str], ...] = ()
    is_leaving: bool = False
    is_kept_store_reachable: bool | None = None
    is_full_state: bool = False
    leaving: tuple[tuple[InstanceId, int], ...] = ()
    alive: tuple[HostName, ...] = ()
    evicted: tuple[tuple[InstanceId, str, str], ...] = ()
    kept_epoch: int | None = None
    ended: tuple[EndReport, ...] = ()
    answered_parts: tuple[ModelPart, ...] = ()
    blocks: tuple[BlockNotice, ...] = ()
    limits: tuple[LimitNotice, ...] | None = None
    permit_reports: Mapping[InstanceId, PermitReport] = NO_REPORTS
    permit_grants: tuple[PermitGrant, ...] = ()
    release_notices: "tuple[ReleaseNotice, ...]" = ()
    release_reports: "tuple[ReleaseReport, ...]" = ()
    speeds: tuple[SpeedReport, ...] = ()
    removed: tuple[tuple[InstanceId, int], ...] = ()


# Tells only that the sender is running.
HEARTBEAT = Batch()


def merge_batches(first: Batch, second: Batch) -> Batch:
    """Return one batch that is equivalent to two consecutive ones."""
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
        leaving=first.leaving + second.leaving,
        alive=first.alive + second.alive,
        evicted=first.evicted + second.evicted,
        kept_epoch=first.kept_epoch if second.kept_epoch is None else second.kept_epoch,
        ended=first.ended + second.ended,
        answered_parts=first.answered_parts + second.answered_parts,
        blocks=first.blocks + second.blocks,
        limits=_merge_limits(first.limits, second.limits),
        permit_reports={**first.permit_reports, **second.permit_reports},
        permit_grants=first.permit_grants + second.permit_grants,
        release_notices=first.release_notices + second.release_notices,
        release_reports=first.release_reports + second.release_reports,
        speeds=first.speeds + second.speeds,
        removed=first.removed + second.removed,
    )


def _merge_limits(
    first: tuple[LimitNotice, ...] | None, second: tuple[LimitNotice, ...] | None
) -> tuple[LimitNotice, ...] | None:
    if first is None or second is None:
        return first if second is None else second
    return first + second


def encode_batch(batch: Batch) -> dict[int, Any]:
    """Return the fields that are set, by their index in ``_DECODERS``, for packing."""
    fields: dict[int, Any] = {}
    for index, (name, _) in enumerate(_DECODERS):
        value = getattr(batch, name)
        if value or (value is not None and name in _OPTIONAL_FIELDS):
            fields[index] = value
    if batch.work:
        fields[_WORK_INDEX] = dict(batch.work)
    if batch.permit_reports:
        fields[_PERMIT_REPORTS_INDEX] = dict(batch.permit_reports)
    if batch.placed_prompts:
        fields[_PLACED_PROMPTS_INDEX] = [
            [p.instance, p.space, p.parts, p.seconds] for p in batch.placed_prompts
        ]
    return fields


def decode_batch(fields: dict[int, Any]) -> Batch:
    """Return a batch from its fields; errors of malformed values are passed on."""
    if not fields:
        return HEARTBEAT
    values = {}
    for index, value in fields.items():
        name, decode = _DECODERS[index]
        values[name] = decode(value)
    return Batch(**values)


def _decode_placed_prompts(value: Any) -> tuple[PlacedPrompt, ...]:
    return tuple(
        PlacedPrompt(InstanceId(i), str(s), tuple((str(p), int(t)) for p, t in parts), float(d))
        for i, s, parts, d in value
    )


def _decode_work(value: Any) -> dict[InstanceId, Work]:
    work = {}
    for instance, (requests, pending_prefill_tokens, reserved_tokens) in value.items():
        work[InstanceId(str(instance))] = Work(
            int(requests), int(pending_prefill_tokens), int(reserved_tokens)
        )
    return work


def _decode_totals(value: Any) -> dict[AccountName, int]:
    return {AccountName(name): int(total) for name, total in value.items()}


def _decode_starts(value: Any) -> tuple[tuple[InstanceId, int], ...]:
    return tuple((InstanceId(instance), int(started_at)) for instance, started_at in value)


# The decoders of rollouts are imported once a peer sends what they decode: importing them at each
# start takes processor time, also where no settings ask for rollouts.
def _decode_release_notices(value: Any) -> "tuple[ReleaseNotice, ...]":
    from turmericproxy.releases.messages import decode_release_notices

    return decode_release_notices(value)


def _decode_release_reports(value: Any) -> "tuple[ReleaseReport, ...]":
    from turmericproxy.releases.messages import decode_release_reports

    return decode_release_reports(value)


# Fields are sent by their index here; the order must not change.
_DECODERS: Sequence[tuple[str, Callable[[Any], Any]]] = (
    ("work", _decode_work),
    ("placed_prompts", _decode_placed_prompts),
    ("kept_parts", lambda v: tuple((str(space), str(part)) for space, part in v)),
    ("spent", _decode_totals),
    ("levels", _decode_totals),
    ("versions", lambda v: tuple((InstanceId(i), ModelName(m), int(n)) for i, m, n in v)),
    ("loading", lambda v: tuple((InstanceId(i), float(s)) for i, s in v)),
    ("superseded", lambda v: tuple((InstanceId(i), str(address)) for i, address in v)),
    ("is_leaving", bool),
    ("is_kept_store_reachable", bool),
    ("is_full_state", bool),
    ("leaving", _decode_starts),
    ("alive", lambda v: tuple(HostName(str(host)) for host in v)),
    ("evicted", lambda v: tuple((InstanceId(i), str(space), str(part)) for i, space, part in v)),
    ("kept_epoch", int),
    ("ended", decode_reports),
    ("answered_parts", decode_parts),
    ("blocks", decode_notices),
    ("limits", decode_limit_notices),
    ("permit_reports", decode_permit_reports),
    ("permit_grants", decode_permit_grants),
    ("release_notices", _decode_release_notices),
    ("release_reports", _decode_release_reports),
    ("speeds", lambda v: tuple(SpeedReport(InstanceId(i), int(t), int(p)) for i, t, p in v)),
    ("removed", _decode_starts),
)
# Fields in which false and 0 differ from no value.
_OPTIONAL_FIELDS = frozenset({"is_kept_store_reachable", "kept_epoch", "limits"})
_WORK_INDEX, _PLACED_PROMPTS_INDEX, _PERMIT_REPORTS_INDEX = 0, 1, 19
