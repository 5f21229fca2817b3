"""Create network partitions in a cluster through its relay."""

from collections.abc import Callable

from turmericproxy.bench.cluster import Cluster
from turmericproxy.bench.plan import ClusterPlan, EnginePlan, HostPlan, ServicePlan

Member = HostPlan | EnginePlan | ServicePlan


def list_all_members(plan: ClusterPlan) -> tuple[Member, ...]:
    """Return all hosts, engines and services."""
    return *plan.hosts, *plan.engines, *plan.services


def list_members(plan: ClusterPlan, domain: str) -> list[str]:
    """Return the names of the hosts, engines and services of a failure domain."""
    members = list_all_members(plan)
    return [member.name for member in members if member.domain == domain]


def list_domains(plan: ClusterPlan) -> list[str]:
    """Return the names of the failure domains, sorted."""
    members = list_all_members(plan)
    return sorted({member.domain for member in members})


def cut_domains(cluster: Cluster, first: str, second: str) -> None:
    """Cut all connections between two failure domains."""
    _change_between(cluster, first, second, cluster.relay.cut)


def heal_domains(cluster: Cluster, first: str, second: str) -> None:
    """Restore the connections between two failure domains."""
    _change_between(cluster, first, second, cluster.relay.heal)


def cut_domain(cluster: Cluster, domain: str, platform: bool = True) -> None:
    """Cut a failure domain off from all others and, with ``platform``, from the platform."""
    for other in list_domains(cluster.plan):
        if other != domain:
            cut_domains(cluster, domain, other)
    if platform:
        for member in list_members(cluster.plan, domain):
            cut_platform(cluster, member)


def cut_platform(cluster: Cluster, member: str) -> None:
    """Cut all connections between one process and the platform."""
    for pattern in _list_platform_links(member):
        cluster.relay.cut(pattern)


def heal_platform(cluster: Cluster, member: str) -> None:
    """Restore the connections between one process and the platform."""
    for pattern in _list_platform_links(member):
        cluster.relay.heal(pattern)


def heal_all(cluster: Cluster) -> None:
    """Remove all partitions."""
    cluster.relay.heal("*")


def _list_platform_links(member: str) -> tuple[str, ...]:
    return f"{member}->platform", f"platform->{member}.*"


def _change_between(
    cluster: Cluster, first: str, second: str, change: Callable[[str], None]
) -> None:
    for a in list_members(cluster.plan, first):
        for b in list_members(cluster.plan, second):
            for source, target in ((a, b), (b, a)):
                change(f"{source}->{target}")
                change(f"{source}->{target}.*")
