"""Decode registrations of upstreams and reports of engines."""

from typing import Any

from turmericproxy.core import ModelName
from turmericproxy.core.addresses import split_address
from turmericproxy.core.documents import decode_json
from turmericproxy.core.ids import InstanceId, ServiceName
from turmericproxy.logs import Part, log_event
from turmericproxy.placement.entries import EntryState, UpstreamEntry
from turmericproxy.placement.notices import NO_NOTICE, UpstreamNotice
from turmericproxy.rollout.interfaces import EngineReport
from turmericproxy.tables.messages import Row

# Larger numbers are neither counts nor times, and messages between hosts can't hold them.
MAX_COUNT = 2**53


def read_upstream_row(row: Row) -> UpstreamEntry | None:
    """Return the registration in a row; log an incomplete or foreign one and return ``None``."""
    try:
        content = decode_json(row.value)
        return UpstreamEntry(
            instance=InstanceId(row.key),
            service=ServiceName(_read_text(content, "service")),
            address=_read_address(content),
            domain=_read_text(content, "zone"),
            slots=_read_count(content, "slots"),
            state=EntryState(content["state"]),
            started_at=_read_count(content, "born") if "born" in content else 0,
            versions=_read_versions(content.get("models", [])),
            software=_read_software(content),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        log_event(Part.ROUTING, "invalid registration ignored", key=row.key, reason=repr(error))
        return None


def read_report(body: bytes, notice: UpstreamNotice = NO_NOTICE) -> EngineReport:
    """Decode a report; raise ``ValueError``, ``KeyError`` or ``TypeError`` if it is invalid."""
    content = decode_json(body)
    return EngineReport(
        notice=notice,
        versions=_read_versions(content["models"]),
        is_busy=bool(content["busy"]),
        # The field counts the orders that were accepted since the engine started.
        accepted_orders=_read_count(content, "sequence"),
        started_at=_read_count(content, "born") if "born" in content else 0,
    )


def _read_versions(models: list[dict[str, Any]]) -> dict[ModelName, int]:
    return {ModelName(_read_text(m, "name")): _read_count(m, "version") for m in models}


def _read_text(content: dict[str, Any], name: str) -> str:
    value = content[name]
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} is not a non-empty string")
    value.encode()  # fails for halves of surrogate pairs, which messages between hosts can't hold
    return value


def _read_software(content: dict[str, Any]) -> str:
    """Return the version of the software; an unusable one leaves the upstream without any."""
    value = content.get("version")
    return value if isinstance(value, str) else ""


def _read_count(content: dict[str, Any], name: str) -> int:
    value = content[name]
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= MAX_COUNT:
        raise ValueError(f"{name} is not an integer from 0 to {MAX_COUNT}")
    return value


def _read_address(content: dict[str, Any]) -> str:
    address = _read_text(content, "address")
    split_address(address)
    return address
