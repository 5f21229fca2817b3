"""Interfaces between a host and the platform that it runs on."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from turmericproxy.placement.cache_poller import CacheEventSource
from turmericproxy.placement.entries import UpstreamEntry
from turmericproxy.rollout.interfaces import EngineControl
from turmericproxy.rollout.wanted import ModelVersion
from turmericproxy.store.interfaces import TableStore
from turmericproxy.tables.messages import Row, Write
from turmericproxy.traffic.interfaces import MessageCodec
from turmericproxy.traffic.site import Site

if TYPE_CHECKING:
    from turmericproxy.releases.orders import ReleaseOrder, ReleaseStatus


@dataclass(frozen=True)
class SiteAdapter:
    """Clients of the platform's services, and decoders of the rows of the two followed tables.

    ``singleton_fields`` are the header fields that a request may contain only once. The two
    decoders log an unusable row and return ``None``. ``create_release_status`` returns the row that
    shows operators the state of a rollout.
    """

    codec: MessageCodec
    store: TableStore
    control: EngineControl
    create_cache_events: Callable[[str], CacheEventSource]
    configuration_table: str
    upstream_table: str
    ready_path: str
    singleton_fields: tuple[str, ...]
    read_configuration_row: Callable[[Row], "Site | ModelVersion | ReleaseOrder | None"]
    read_upstream_row: Callable[[Row], UpstreamEntry | None]
    create_release_status: "Callable[[ReleaseStatus], Write]"
