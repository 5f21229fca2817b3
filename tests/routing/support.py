"""Build configurations, requests and a clock for routing tests."""

from hashlib import blake2b
from types import MappingProxyType

from turmericproxy.configuration import (
    Account,
    Engine,
    Kind,
    Model,
    Snapshot,
    UpstreamState,
    VersionedResource,
)
from turmericproxy.core import (
    AccountName,
    DomainName,
    EngineName,
    HostName,
    Incarnation,
    ModelName,
    RequestId,
    Revision,
)
from turmericproxy.routing import RoutingRequest, Selector
from turmericproxy.routing.engines import LoadReport
from turmericproxy.settings.schema import RoutingSettings, UpstreamSettings


class Clock:
    """Return a time that the test sets."""

    def __init__(self, now: float = 100.0) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now


class FixedConfiguration:
    """Provide one snapshot."""

    def __init__(self, current: Snapshot) -> None:
        self.current = current

    def snapshot(self) -> Snapshot:
        return self.current

    def subscribe(self, callback) -> None:
        pass


def create_snapshot(engines: int = 3, leaving: tuple[int, ...] = (), slots: int = 32) -> Snapshot:
    """Return a configuration with one model, one account and some engines."""

    def table(*resources):
        entries = {r.name: VersionedResource(r, Revision(1)) for r in resources}
        return MappingProxyType(entries)

    states = {True: UpstreamState.LEAVING, False: UpstreamState.ACTIVE}
    fleet = [
        Engine(
            name=f"engine-{i}",
            domain=f"domain-{i % 3}",
            address=f"127.0.0.1:{i + 1}",
            models=("notes",),
            state=states[i in leaving],
            slots=slots,
        )
        for i in range(engines)
    ]
    return Snapshot(
        Revision(1),
        {
            Kind.ENGINE: table(*fleet),
            Kind.MODEL: table(Model(name="notes", version="v1")),
            Kind.ACCOUNT: table(Account(name="lima", rate=10_000, burst=50_000)),
        },
    )


def create_selector(snapshot: Snapshot, clock: Clock, policy: str = "expected_time") -> Selector:
    """Return a selector without peers, whose threads are not started."""
    return Selector(
        FixedConfiguration(snapshot),
        None,
        RoutingSettings(policy=policy),
        UpstreamSettings(),
        HostName("host-0"),
        DomainName("domain-0"),
        clock,
    )


def create_request(
    number: int, blocks: tuple[str, ...] = (), deadline: float = 1e9, **changes
) -> RoutingRequest:
    """Return a request of 1,000 tokens after its full blocks."""
    values = {
        "request_id": RequestId(f"request-{number}"),
        "account": AccountName("lima"),
        "model": ModelName("notes"),
        "version": "v1",
        "blocks": blocks,
        "prompt_tokens": 2000 * len(blocks) + 1000,
        "max_tokens": 100,
        "deadline": deadline,
    }
    return RoutingRequest(**{**values, **changes})


def create_chain(*names: str) -> tuple[str, ...]:
    """Return the block hashes of a chain of blocks with these names."""
    paths = ("/".join(names[: i + 1]) for i in range(len(names)))
    return tuple(blake2b(path.encode(), digest_size=16).hexdigest() for path in paths)


def report_load(selector: Selector, engine: int, clock: Clock, **changes) -> None:
    """Record the load report of an idle engine, with some fields changed."""
    values = {
        "incarnation": Incarnation("first"),
        "running": 0,
        "queued": 0,
        "queued_tokens": 0,
        "versions": {"notes": "v1"},
        "received_at": clock(),
    }
    report = LoadReport(**{**values, **changes})
    selector.engines.record_report(EngineName(f"engine-{engine}"), report, 0.001)
