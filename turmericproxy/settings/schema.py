"""Settings of a host and their constraints."""

from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, StringConstraints

from turmericproxy.configuration.resources import Address, Digest, Name
from turmericproxy.core.addresses import split_address


def _check_listen_address(address: str) -> str:
    split_address(address, may_choose_port=True)
    return address


ListenAddress = Annotated[str, AfterValidator(_check_listen_address)]


class Section(BaseModel):
    """Base of all sections; unknown fields are rejected."""

    model_config = ConfigDict(frozen=True, extra="forbid")


class PeerSettings(Section):
    """Host to which a link is opened without reading the host list of the platform."""

    host: Name
    domain: Name
    address: Address


class ListenSettings(Section):
    """Addresses that the host listens on."""

    callers: ListenAddress
    operators: ListenAddress
    peers: ListenAddress


class PlatformSettings(Section):
    """Address of the platform, and timeouts of calls to it, in seconds."""

    address: Address
    connect_timeout: float = Field(default=0.5, gt=0)
    timeout: float = Field(default=2.0, gt=0)


class LimitSettings(Section):
    """Limits on the requests of callers; times are in seconds.

    ``held_bytes`` bounds what the host holds of requests and unread answers. Without
    ``client_connections``, half of the process's descriptors that are not reserved are for clients.
    """

    body_bytes: int = Field(default=4 * 1024 * 1024, ge=1024)
    header_timeout: float = Field(default=10.0, gt=0)
    first_token_deadline: float = Field(default=10.0, gt=0)
    threads: int = Field(default=96, ge=4, le=2048)
    held_bytes: int = Field(default=512 * 1024 * 1024, ge=1024 * 1024)
    unread_answer_timeout: float = Field(default=60.0, gt=0)
    client_connections: int | None = Field(default=None, ge=1)


class UpstreamSettings(Section):
    """Timeouts of calls to upstreams, in seconds.

    An engine is silent if it has sent nothing for ``first_byte_timeout``, or for ``idle_timeout``
    after the head of its answer.
    """

    connect_timeout: float = Field(default=0.5, gt=0)
    first_byte_timeout: float = Field(default=2.0, gt=0)
    idle_timeout: float = Field(default=3.0, gt=0)


class PeerLinkSettings(Section):
    """Timing of the links between hosts, in seconds, and the number of incoming links.

    ``heartbeat`` is the interval between heartbeats. A host is unreachable if it has not answered
    one that was sent within the last ``silence`` seconds. An incoming link is closed if it has sent
    no heartbeat within ``introduction`` seconds. The default of ``incoming_links`` is twice the 330
    hosts of the largest fleet, since a host may dial again before its old link ends, and some more.
    """

    heartbeat: float = Field(default=0.5, gt=0)
    silence: float = Field(default=2.0, gt=0)
    call_timeout: float = Field(default=0.5, gt=0)
    introduction: float = Field(default=3.0, gt=0)
    incoming_links: int = Field(default=700, ge=1)


class ConfigurationSettings(Section):
    """Timing of configuration updates, in seconds.

    If ``maximum_age`` is set, a host refuses all keys once it has been connected neither to the
    platform nor to a peer that was connected to the platform for that long.
    """

    poll: float = Field(default=1.0, gt=0)
    maximum_age: float | None = Field(default=None, gt=0)


class BookingSettings(Section):
    """Time limit of claims and retention time of their idempotency keys, in seconds.

    ``retention`` starts at the last write; a request that repeats the key later is executed again.
    """

    claim_timeout: float = Field(default=2.5, gt=0)
    retention: float = Field(default=24 * 3600.0, ge=60)


class RateSettings(Section):
    """Timing of the rate buckets, in seconds.

    ``regrant_after`` is the time after which the share of a lost host is granted to others,
    ``debit_timeout`` the maximum time between the deduction of tokens at one host and their
    admission at another.
    """

    regrant_after: float = Field(default=10.0, gt=0)
    debit_timeout: float = Field(default=0.03, gt=0)


class RoutingSettings(Section):
    """Size of the prefix index in blocks, interval of load reports in seconds, and the policy.

    With ``kept_cache``, KV cache blocks are exported to the kept store and imported from it.
    """

    index_blocks: int = Field(default=40_000, ge=1000)
    load_poll: float = Field(default=0.2, gt=0)
    kept_cache: bool = True
    policy: Annotated[
        str, StringConstraints(pattern="^(expected_time|round_robin|least_loaded|hash_first)$")
    ] = "expected_time"


class ShutdownSettings(Section):
    """Timing of a shutdown, in seconds.

    New requests are served for ``grace`` after the start of draining and then refused;
    ``drain_timeout`` limits the wait for the running ones.
    """

    grace: float = Field(default=1.0, ge=0)
    drain_timeout: float = Field(default=120.0, gt=0)


class HostSettings(Section):
    """All settings of one host."""

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
