"""Assign the addresses of a cluster and build the commands and settings of its processes."""

from dataclasses import dataclass
from typing import Any

from turmericproxy.bench.plan import ClusterPlan, EnginePlan, HostPlan, ServicePlan
from turmericproxy.bench.processes import SourceIdentifier, build_options, pick_addresses
from turmericproxy.bench.relay import Relay

HOST_LISTENERS = ("callers", "operators", "peers")


@dataclass(frozen=True)
class Layout:
    """Store the address of each listener, and the relay's address for it, if any."""

    plan: ClusterPlan
    addresses: dict[str, str]
    relay_addresses: dict[str, str]
    relay: Relay | None
    source_identifier: SourceIdentifier

    def get_address(self, name: str) -> str:
        """Return the address that a listener is bound to."""
        return self.addresses[name]

    def get_connect_address(self, name: str) -> str:
        """Return the address through which other processes connect to a listener."""
        return self.relay_addresses.get(name, self.addresses[name])

    def close(self) -> None:
        """Close the relay."""
        if self.relay:
            self.relay.close()

    def build_engine_command(self, engine: EnginePlan) -> list[str]:
        """Return the arguments that start an engine stand-in."""
        command = [
            "engine",
            "--name",
            engine.name,
            "--platform",
            self.get_connect_address("platform"),
        ]
        for model, version in engine.models.items():
            command += ["--model", f"{model}@{version}"]
        return command + build_options(engine.options)

    def build_settings(self, host: HostPlan, operator_digest: str) -> dict[str, Any]:
        """Return the settings of a host."""
        listen = {part: self.get_address(f"{host.name}.{part}") for part in HOST_LISTENERS}
        peers = [
            {
                "host": other.name,
                "domain": other.domain,
                "address": self.get_connect_address(f"{other.name}.peers"),
            }
            for other in self.plan.hosts
            if other.name != host.name
        ]
        return {
            "host": host.name,
            "domain": host.domain,
            "listen": listen,
            "platform": {"address": self.get_connect_address("platform")},
            "operator_key_digests": [operator_digest],
            "peers": peers,
            **host.settings,
        }

    def describe_hosts(self, leaving: tuple[str, ...]) -> list[dict[str, str]]:
        """Return the host list in the format of the platform's control endpoint."""
        return [
            {
                "host": host.name,
                "domain": host.domain,
                "callers": self.get_connect_address(f"{host.name}.callers"),
                "peers": self.get_connect_address(f"{host.name}.peers"),
                "state": "leaving" if host.name in leaving else "live",
            }
            for host in self.plan.hosts
        ]

    def describe_engine(self, engine: EnginePlan) -> dict[str, Any]:
        """Return the fields of an engine's resource."""
        return {
            "domain": engine.domain,
            "address": self.get_connect_address(engine.name),
            "models": list(engine.models),
            **engine.resource,
        }

    def describe_service(self, service: ServicePlan) -> dict[str, Any]:
        """Return the fields of a plain service's resource."""
        return {"domain": service.domain, "address": self.get_connect_address(service.name)}


def build_platform_command(plan: ClusterPlan) -> list[str]:
    """Return the arguments that start the platform stand-in."""
    return ["platform", *build_options(plan.platform_options)]


def build_service_command(service: ServicePlan) -> list[str]:
    """Return the arguments that start a service stand-in."""
    return ["service", "--name", service.name, *build_options(service.options)]


def create_layout(plan: ClusterPlan) -> Layout:
    """Assign an address to each listener, and start the relay if the plan has ``relays`` set."""
    names = ["platform", *(item.name for item in plan.engines)]
    names += [service.name for service in plan.services]
    names += [f"{host.name}.{part}" for host in plan.hosts for part in HOST_LISTENERS]
    addresses = dict(zip(names, pick_addresses(len(names)), strict=True))
    source_identifier = SourceIdentifier()
    if not plan.relays:
        return Layout(plan, addresses, {}, None, source_identifier)
    relay = Relay(source_identifier.identify)
    relay_addresses = {
        name: relay.open_target(name, address)
        for name, address in addresses.items()
        if not name.endswith(".operators")
    }
    return Layout(plan, addresses, relay_addresses, relay, source_identifier)
