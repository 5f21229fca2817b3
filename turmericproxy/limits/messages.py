"""Define what hosts tell each other about limits of upstreams."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

from turmericproxy.core import HostName
from turmericproxy.core.ids import InstanceId


class LimitNotice(NamedTuple):
    """Tell a limit of one start of an upstream, in requests a second, ``None`` if it has ended.

    ``age`` is for how many seconds the sender knows that from an answer.
    """

    instance: InstanceId
    started_at: int
    per_second: float | None
    age: float


class PermitReport(NamedTuple):
    """Count what a host did at a limited upstream since the host's start.

    ``wanted`` counts the requests for which the upstream was the best choice, ``used`` the permits
    that were used, ``returned`` those that expired, and ``unpermitted`` requests without one.
    ``waiting`` requests wait for a permit now. The host uses the grants of ``granted_by``.
    """

    wanted: int = 0
    used: int = 0
    returned: int = 0
    unpermitted: int = 0
    waiting: int = 0
    granted_by: HostName = HostName("")


class PermitGrant(NamedTuple):
    """Allow a host to send some requests to a limited upstream."""

    instance: InstanceId
    started_at: int
    host: HostName
    permits: int


NO_REPORTS: Mapping[InstanceId, PermitReport] = MappingProxyType({})


class LimitState(NamedTuple):
    """Hold what one host tells others about limits; an introduction always has notices."""

    notices: tuple[LimitNotice, ...] | None = None
    reports: Mapping[InstanceId, PermitReport] = NO_REPORTS
    grants: tuple[PermitGrant, ...] = ()


def decode_limit_notices(value: Any) -> tuple[LimitNotice, ...]:
    """Return notices from their packed values; errors of malformed ones are passed on."""
    return tuple(
        LimitNotice(
            InstanceId(str(instance)),
            int(started_at),
            None if per_second is None else float(per_second),
            float(age),
        )
        for instance, started_at, per_second, age in value
    )


def decode_permit_reports(value: Any) -> dict[InstanceId, PermitReport]:
    """Return reports from their packed values; errors of malformed ones are passed on."""
    return {
        InstanceId(str(instance)): PermitReport(
            int(wanted),
            int(used),
            int(returned),
            int(unpermitted),
            int(waiting),
            HostName(str(granted_by)),
        )
        for instance, (wanted, used, returned, unpermitted, waiting, granted_by) in value.items()
    }


def decode_permit_grants(value: Any) -> tuple[PermitGrant, ...]:
    """Return grants from their packed values; errors of malformed ones are passed on."""
    return tuple(
        PermitGrant(InstanceId(str(instance)), int(started_at), HostName(str(host)), int(permits))
        for instance, started_at, host, permits in value
    )
