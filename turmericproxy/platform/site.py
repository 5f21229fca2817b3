"""Decode the operator's configuration and model versions from rows."""

import json
import math
from typing import TYPE_CHECKING, Any

from turmericproxy.core import AccountName, ModelName, Revision, RouteName
from turmericproxy.core.documents import decode_json
from turmericproxy.core.ids import ServiceName
from turmericproxy.edge import EdgeLimits
from turmericproxy.logs import Part, log_event
from turmericproxy.platform import names
from turmericproxy.rollout.wanted import ModelVersion
from turmericproxy.tables.messages import Row, Write
from turmericproxy.traffic.site import (
    Account,
    EngineTraits,
    KeptStore,
    Repeatability,
    Route,
    Service,
    ServiceShare,
    Site,
)

if TYPE_CHECKING:
    from turmericproxy.releases.orders import ReleaseOrder, ReleaseStatus

BYTES_PER_MEGABIT = 1e6 / 8
STREAMING_KIND = "streaming"
TOKEN_UNIT = "token_accounting"


def read_configuration_row(row: Row) -> "Site | ModelVersion | ReleaseOrder | None":
    """Decode a row of the operator's table.

    Log an invalid row and return ``None``; return ``None`` also for a row with another key.
    """
    try:
        content = decode_json(row.value)
        if row.key == names.CONFIGURATION_KEY:
            return read_site(content)
        if row.key.startswith(names.MODEL_VERSION_KEY_PREFIX):
            return ModelVersion(ModelName(content["model"]), int(content["version"]))
        if row.key.startswith(names.RELEASE_KEY_PREFIX):
            return _read_release_order(content, row.version)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        log_event(
            Part.CONFIGURATION,
            "invalid configuration row ignored",
            key=row.key,
            version=row.version,
            reason=repr(error),
        )
    return None


def create_release_status(status: "ReleaseStatus") -> Write:
    """Return the row that shows operators how far the rollout of a service is."""
    state = status.state
    content = {
        "state": "in_progress" if not state.phase.is_final else state.phase.value,
        "to": state.version,
        "step": state.step,
        "share": state.share,
        "reason": state.reason,
        "answers": status.answers,
        "failures": status.failures,
        "requests": status.requests,
        "sent": status.sent,
    }
    key = f"{names.RELEASE_KEY_PREFIX}{state.service}"
    return Write(names.STATUS_TABLE, key, json.dumps(content).encode())


def _read_release_order(content: dict[str, Any], row_version: int) -> "ReleaseOrder":
    # Imported only here, since it takes processor time at each start.
    from turmericproxy.releases.orders import ReleaseOrder

    service, version = content["service"], content["to"]
    if not isinstance(service, str) or not isinstance(version, str) or not service or not version:
        raise ValueError("service or to is not a non-empty string")
    duration = float(content["duration_s"])
    if not 0 < duration < math.inf:
        raise ValueError("duration_s is not positive")
    return ReleaseOrder(ServiceName(service), version, duration, row_version)


def read_site(content: dict[str, Any]) -> Site:
    """Decode a configuration document.

    Raise ``ValueError``, ``KeyError``, ``TypeError`` or ``AttributeError`` if it is invalid.
    """
    services: dict[ServiceName, Service] = {}
    kept_store: KeptStore | None = None
    for raw in content["services"]:
        if "kv_store_addr" in raw:
            kept_store = _read_kept_store(raw)
        else:
            service = _read_service(raw)
            services[service.name] = service
    return Site(
        revision=Revision(int(content["version"])),
        routes=tuple(_read_route(raw) for raw in content["routes"]),
        services=services,
        accounts=tuple(_read_account(raw) for raw in content.get("tenants", ())),
        limits=_read_limits(content.get("limits", {})),
        kept_store=kept_store,
    )


def _read_route(raw: dict[str, Any]) -> Route:
    shares = tuple(
        ServiceShare(ServiceName(share["service"]), float(share["weight"]))
        for share in raw.get("backends") or [{"service": raw.get("service", ""), "weight": 1}]
    )
    kind = raw["route_kind"]
    is_stream = kind == STREAMING_KIND
    return Route(
        name=RouteName(raw["name"]),
        host=raw["host"].lower(),
        prefix=raw["prefix"],
        shares=shares,
        repeatability=Repeatability.NON_IDEMPOTENT if is_stream else Repeatability(kind),
        is_stream=is_stream,
        is_resumable=bool(raw.get("resumable")),
        timeout=raw["timeout_ms"] / 1000,
        target_latency=raw.get("target_latency_ms", raw["timeout_ms"]) / 1000,
        priority=int(raw.get("priority", 5)),
        max_attempts=int(raw.get("max_attempts", 1)),
        is_public=bool(raw.get("public")),
        target_event_gap=raw.get("gap_target_ms", 1000) / 1000,
    )


def _read_service(raw: dict[str, Any]) -> Service:
    engine = raw.get("engine")
    traits = None
    if engine:
        traits = EngineTraits(
            slots=int(engine["slots"]),
            capacity_tokens=int(engine["kv_capacity_tokens"]),
            bytes_per_token=int(engine["kv_token_bytes"]),
            link_bytes_per_second=engine["link_mbps"] * BYTES_PER_MEGABIT,
            models=tuple(ModelName(model["name"]) for model in engine.get("models", ())),
        )
    return Service(ServiceName(raw["name"]), int(raw.get("max_connections", 0)), traits)


def _read_kept_store(raw: dict[str, Any]) -> KeptStore:
    return KeptStore(
        address=raw["kv_store_addr"],
        domain=raw.get("zone", ""),
        link_bytes_per_second=raw["link_mbps"] * BYTES_PER_MEGABIT,
        capacity_tokens=int(raw["kv_capacity_tokens"]),
    )


def _read_account(raw: dict[str, Any]) -> Account:
    priority = raw.get("priority")
    return Account(
        name=AccountName(raw["name"]),
        keys=tuple(raw.get("api_keys", ())),
        priority=None if priority is None else int(priority),
        is_counted_in_tokens=raw.get("unit") == TOKEN_UNIT,
        default_cost=int(raw.get("uncached_tokens", 1)),
        is_isolated=bool(raw.get("isolated")),
        rate=float(raw.get("rate_per_s") or 0),
        burst=float(raw.get("burst") or 0),
    )


def _read_limits(raw: dict[str, Any]) -> EdgeLimits:
    defaults = EdgeLimits()
    return EdgeLimits(
        head_bytes=int(raw.get("max_header_bytes", defaults.head_bytes)),
        body_bytes=int(raw.get("max_body_bytes", defaults.body_bytes)),
        head_seconds=raw.get("header_timeout_ms", defaults.head_seconds * 1000) / 1000,
        idle_seconds=raw.get("idle_timeout_ms", defaults.idle_seconds * 1000) / 1000,
    )
