"""Decode the platform's settings file into the settings of a site host."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from turmericproxy.core import HostName
from turmericproxy.edge.resources import UNREAD_ANSWER_SECONDS, read_descriptor_limit
from turmericproxy.fleet.incoming import INTRODUCTION_SECONDS
from turmericproxy.fleet.quotas import QuotaTolerance
from turmericproxy.host.site_settings import SiteHostSettings

if TYPE_CHECKING:
    from turmericproxy.admission.ceilings import Ceiling
    from turmericproxy.releases.orders import ReleaseBounds

# Entry of ``contracts`` where rollouts between versions of a service's software are in force.
RELEASE_CONTRACT = "rollout"
SETTINGS_VARIABLE = "TURMERICPROXY_CONFIG"
# Entry of ``contracts`` that asks for admission control.
PRESSURE_CONTRACT = "pressure"
CEILINGS_SETTING = "admission.ceilings"


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """Name of an invalid or missing setting, and the reason."""

    name: str
    reason: str


def read_settings(path: Path) -> SiteHostSettings | SettingsFault:
    """Return the settings in a file of ``name=value`` lines, or the first fault."""
    try:
        values = _read_values(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return SettingsFault(str(path), str(error))
    return decode_settings(values)


def decode_settings(values: Mapping[str, str]) -> SiteHostSettings | SettingsFault:
    """Convert the platform's fields to settings; ignore unknown fields."""
    reader = _SettingsReader(values)
    try:
        ports = reader.read_list("port_range")
        ip = reader.read_text("ip")
        return SiteHostSettings(
            host=HostName(reader.read_text("node")),
            domain=reader.read_text("zone"),
            callers=reader.read_address("listen.front"),
            readiness=reader.read_address("listen.ready"),
            links=f"{ip}:{int(ports[0])}",
            metrics=f"{ip}:{int(ports[-1])}",
            store=reader.read_address("platform.address"),
            is_first_start=reader.read_text("bootstrap") == "true",
            order_guard=reader.read_number("bounds.lease_ms") / 1000,
            version_seconds=reader.read_number("bounds.version_ms") / 1000,
            retry_share=reader.read_number("bounds.retry_budget_ratio"),
            retry_reserve=reader.read_number("bounds.retry_budget_extra"),
            grace=reader.read_number("bounds.grace_s"),
            quota_tolerance=QuotaTolerance(
                window=reader.read_number("bounds.quota_window_s"),
                overshoot=reader.read_number("bounds.quota_overshoot"),
                slack=reader.read_number("bounds.quota_slack"),
            ),
            link_mbps=int(reader.read_number("limits.link_mbps", default="0")),
            memory_mb=reader.read_number("limits.memory_mb", default="inf"),
            max_descriptors=reader.read_number(
                "limits.max_fds", default=str(read_descriptor_limit())
            ),
            client_connections=reader.read_number("limits.client_connections", default="0"),
            incoming_links=reader.read_number("limits.incoming_links", default="0"),
            unread_seconds=reader.read_number(
                "limits.unread_answer_ms", default=str(UNREAD_ANSWER_SECONDS * 1000)
            )
            / 1000,
            introduction_seconds=reader.read_number(
                "limits.introduction_ms", default=str(INTRODUCTION_SECONDS * 1000)
            )
            / 1000,
            has_admission_control=PRESSURE_CONTRACT in reader.list_contracts(),
            releases=_read_release_bounds(reader),
            ceilings=_read_ceilings(reader),
        )
    except _SettingError as error:
        return error.fault
    except ValueError as error:
        return SettingsFault("port_range", str(error))


def _read_ceilings(reader: "_SettingsReader") -> "tuple[Ceiling, ...]":
    """Return the ceilings of accounts and priorities, which admission control checks."""
    text = reader.read_text(CEILINGS_SETTING, ",").strip(" ,")
    if not text:
        return ()
    # Imported only where settings ask for it, since the package adds to the time of a start.
    from turmericproxy.admission.ceilings import parse_ceilings

    try:
        ceilings = parse_ceilings(text)
    except ValueError as error:
        raise _SettingError(CEILINGS_SETTING, str(error)) from None
    if PRESSURE_CONTRACT not in reader.list_contracts():
        raise _SettingError(CEILINGS_SETTING, f"needs {PRESSURE_CONTRACT!r} in contracts")
    return ceilings


def _read_release_bounds(reader: "_SettingsReader") -> "ReleaseBounds | None":
    """Return the bounds of rollouts of software, ``None`` where they are not in force."""
    if RELEASE_CONTRACT not in reader.list_contracts():
        return None
    # Imported only here, since it takes processor time at each start.
    from turmericproxy.releases.orders import ReleaseBounds

    return ReleaseBounds(
        exposure_share=reader.read_number("bounds.exposure_share"),
        exposure_slack=reader.read_number("bounds.exposure_slack"),
        rollback_seconds=reader.read_number("bounds.rollback_ms") / 1000,
    )


class _SettingError(Exception):
    """Report an invalid or missing setting."""

    def __init__(self, name: str, reason: str) -> None:
        super().__init__(name, reason)
        self.fault = SettingsFault(name, reason)


class _SettingsReader:
    """Typed access to the values of settings; the methods raise ``_SettingError``."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self._values = values

    def read_text(self, name: str, default: str = "") -> str:
        value = self._values.get(name, "") or default
        if not value:
            raise _SettingError(name, "is missing")
        return value

    def read_list(self, name: str) -> list[str]:
        return self.read_text(name).split(",")

    def list_contracts(self) -> list[str]:
        """Return the entries of ``contracts``, a list that may be missing or empty."""
        return [entry.strip() for entry in self._values.get("contracts", "").split(",")]

    def read_number(self, name: str, default: str = "") -> float:
        try:
            return float(self.read_text(name, default))
        except ValueError:
            raise _SettingError(name, "is not a number") from None

    def read_address(self, name: str) -> str:
        value = self.read_text(name)
        ip, _, port = value.rpartition(":")
        if not ip or not port.isdigit():
            raise _SettingError(name, f"{value!r} is not IP:PORT")
        return value


def _read_values(text: str) -> dict[str, str]:
    values = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            values[name.strip()] = value.strip()
    return values
