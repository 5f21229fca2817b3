"""Define the settings of a host and their checks."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StringConstraints

from turmericproxy.configuration.resources import Address, Digest, Name


class Section(BaseModel):
    """Refuse unknown fields in every section."""

    model_config = ConfigDict(frozen=True, extra="forbid")


class PeerSettings(Section):
    """Name another host that is dialled without asking the platform."""

    host: Name
    domain: Name
    address: Address


class ListenSettings(Section):
    """Give the addresses that the host listens on."""

    callers: Address
    operators: Address
    peers: Address


class PlatformSettings(Section):
    """Say where the platform's service is, and how long to wait for it, in seconds."""

    address: Address
    connect_timeout: float = Field(default=0.5, gt=0)
    timeout: float = Field(default=2.0, gt=0)


class LimitSettings(Section):
    """Bound what one caller can ask of the host; times are in seconds."""

    body_bytes: int = Field(default=4 * 1024 * 1024, ge=1024)
    header_timeout: float = Field(default=10.0, gt=0)
    first_token_deadline: float = Field(default=10.0, gt=0)
    threads: int = Field(default=96, ge=4, le=2048)


class UpstreamSettings(Section):
    """Set the deadlines on calls to upstreams, in seconds."""

    connect_timeout: float = Field(default=0.5, gt=0)
    first_byte_timeout: float = Field(default=2.0, gt=0)
    idle_timeout: float = Field(default=3.0, gt=0)


class PeerLinkSettings(Section):
    """Set the pace of the links between hosts, in seconds."""

    heartbeat: float = Field(default=0.5, gt=0)
    silence: float = Field(default=2.0, gt=0)
    call_timeout: float = Field(default=0.5, gt=0)


class ConfigurationSettings(Section):
    """Set how the host follows the configuration, in seconds.

    With ``maximum_age`` set, a host that has reached neither the platform nor a peer that did
    for that long refuses keys.
    """

    poll: float = Field(default=1.0, gt=0)
    maximum_age: float | None = Field(default=None, gt=0)


class BookingSettings(Section):
    """Set how long a claim may take and how long its key is remembered, in seconds.

    ``retention`` counts from the last write; a key that comes after it runs again.
    """

    claim_timeout: float = Field(default=2.5, gt=0)
    retention: float = Field(default=24 * 3600.0, ge=60)


class RateSettings(Section):
    """Set how buckets are lapsed and granted again, in seconds."""

    regrant_after: float = Field(default=10.0, gt=0)
    debit_timeout: float = Field(default=0.03, gt=0)


class RoutingSettings(Section):
    """Set the bounds of the prefix index and the pace of load reports.

    With ``kept_cache``, blocks are exported to the store of kept KV cache and imported from it.
    """

    index_blocks: int = Field(default=40_000, ge=1000)
    load_poll: float = Field(default=0.2, gt=0)
    kept_cache: bool = True
    policy: Annotated[
        str, StringConstraints(pattern="^(expected_time|round_robin|least_loaded|hash_first)$")
    ] = "expected_time"


class ShutdownSettings(Section):
    """Set how a host drains, in seconds."""

    grace: float = Field(default=1.0, ge=0)
    drain_timeout: float = Field(default=120.0, gt=0)


class HostSettings(Section):
    """Hold all settings of one host."""

    host: Name
    domain: Name
    listen: ListenSettings
    platform: PlatformSettings
    operator_key_digests: tuple[Digest, ...] = Field(min_length=1)
    peers: tuple[PeerSettings, ...] = ()
    limits: LimitSettings = LimitSettings()
    upstreams: UpstreamSettings = UpstreamSettings()
    links: PeerLinkSettings = PeerLinkSettings()
    configuration: ConfigurationSettings = ConfigurationSettings()
    bookings: BookingSettings = BookingSettings()
    rates: RateSettings = RateSettings()
    routing: RoutingSettings = RoutingSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
    log_level: Annotated[str, StringConstraints(pattern="^(debug|info|warning|error)$")] = "info"
