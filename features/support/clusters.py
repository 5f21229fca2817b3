"""Start the clusters that scenarios request by name, and share them within a feature."""

from collections.abc import Callable

from turmericproxy.bench.cluster import Cluster, start_cluster
from turmericproxy.bench.plan import (
    AccountPlan,
    ClusterPlan,
    EnginePlan,
    HostPlan,
    Options,
    RoutePlan,
    ServicePlan,
    create_small_plan,
)

QUICK_SETTINGS = {
    "upstreams": {"connect_timeout": 0.5, "first_byte_timeout": 2.0, "idle_timeout": 1.2},
    "links": {"heartbeat": 0.2, "silence": 1.0, "call_timeout": 0.3},
}
ACCOUNTS = (AccountPlan("afinaciones"), AccountPlan("satnica"))


def create_routed_plan(settings: Options = QUICK_SETTINGS, **changes: object) -> ClusterPlan:
    """Return a plan of two hosts, three engines and two services, with short deadlines."""
    engines = tuple(
        EnginePlan(name, domain, options={"record_bodies": True, "capacity_blocks": 64})
        for name, domain in (("engine-1", "north"), ("engine-2", "north"), ("engine-3", "south"))
    )
    return create_small_plan(
        hosts=(
            HostPlan("host-a", "north", settings),
            HostPlan("host-b", "south", settings),
        ),
        engines=engines,
        services=(ServicePlan("booking-1", "north"), ServicePlan("booking-2", "south")),
        accounts=ACCOUNTS,
        routes=(
            RoutePlan("bookings", ("booking-1",), {"timeout": 1.0}),
            RoutePlan("visits", ("booking-1", "booking-2"), {"timeout": 1.0, "repeatable": True}),
        ),
        **changes,
    )


def create_booking_plan() -> ClusterPlan:
    """Return a plan of four hosts in two failure domains and two booking services."""
    domains = {"host-a": "north", "host-b": "north", "host-c": "south", "host-d": "south"}
    return ClusterPlan(
        hosts=tuple(HostPlan(name, domain, QUICK_SETTINGS) for name, domain in domains.items()),
        services=(ServicePlan("booking-1", "north"), ServicePlan("booking-2", "south")),
        accounts=ACCOUNTS,
        routes=(RoutePlan("bookings", ("booking-1", "booking-2"), {"timeout": 1.0}),),
    )


SHORT_TIMEOUT_SETTINGS = {"limits": {"header_timeout": 1}}

NO_KEPT_STORE_SETTINGS = {**QUICK_SETTINGS, "routing": {"kept_cache": False}}

HOLDING_ENGINE = EnginePlan("engine-1", "north", options={"resume_hold": 60})

PLANS: dict[str, Callable[[], ClusterPlan]] = {
    "small": create_small_plan,
    "booking": create_booking_plan,
    "quick": create_routed_plan,
    # The engine keeps a request after its connection broke for longer than any scenario waits.
    "holding": lambda: create_small_plan(engines=(HOLDING_ENGINE,)),
    "impatient": lambda: create_small_plan(
        hosts=(HostPlan("host-a", "north", SHORT_TIMEOUT_SETTINGS),)
    ),
    # Nothing is imported, so an engine finds only those blocks cached that it computed itself.
    "unkept": lambda: create_routed_plan(NO_KEPT_STORE_SETTINGS),
    "relayed": lambda: create_routed_plan(relays=True),
}


class ClusterPool:
    """Manage the clusters that the scenarios of one feature share."""

    def __init__(self) -> None:
        self._clusters: dict[str, Cluster] = {}

    def get(self, name: str) -> Cluster:
        """Return the cluster of a named plan, started on first use."""
        if name not in self._clusters:
            self._clusters[name] = start_cluster(PLANS[name]())
        return self._clusters[name]

    def print_logs(self) -> None:
        """Print the last 1500 characters of every log."""
        for cluster in self._clusters.values():
            for path in sorted(cluster.folder.glob("*.log")):
                tail = path.read_text(errors="replace")[-1500:]
                print(f"--- {path.name}\n{tail}")

    def close(self) -> None:
        """Stop all clusters."""
        for cluster in self._clusters.values():
            cluster.close()
        self._clusters = {}
