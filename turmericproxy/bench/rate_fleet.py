"""Run several rate controllers in one process over real links and the platform stand-in."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from turmericproxy.configuration import Account, Kind, Snapshot, replace_resource
from turmericproxy.core import DomainName, HostName, Incarnation, Revision, create_id
from turmericproxy.peers import PeerAddress, PeerLinks
from turmericproxy.rates import RateController
from turmericproxy.settings.schema import PeerLinkSettings, PlatformSettings, RateSettings
from turmericproxy.standins.platform import PlatformStandIn, create_platform
from turmericproxy.tables.client import PlatformClient
from turmericproxy.web import HttpClient, HttpRequest, HttpResponse, HttpServer

LOOPBACK = "127.0.0.1:0"


class ByteCountingLinks(PeerLinks):
    """Count the bytes that a host has sent to its peers."""

    def count_sent_bytes(self) -> int:
        """Return the bytes sent so far on the connections that are now open."""
        with self._lock:
            outbound = [link.connection for link in self._links.values() if link.connection]
        inbound = self._inbound.list_connections()
        return sum(connection.sent_bytes for connection in [*outbound, *inbound])


class InMemoryConfiguration:
    """Store a configuration snapshot that the benchmark replaces."""

    def __init__(self) -> None:
        self._snapshot = Snapshot()
        self._callbacks: list[Callable[[Snapshot], None]] = []

    def snapshot(self) -> Snapshot:
        """Return the configuration in force."""
        return self._snapshot

    def subscribe(self, callback: Callable[[Snapshot], None]) -> None:
        """Register a callback for each new revision."""
        self._callbacks.append(callback)

    def set_account(self, name: str, rate: float, burst: int) -> None:
        """Set a client account in a new revision, and notify the subscribers."""
        revision = Revision(self._snapshot.revision + 1)
        account = Account(name=name, rate=rate, burst=burst)
        self._snapshot = replace_resource(self._snapshot, Kind.ACCOUNT, name, account, revision)
        for callback in self._callbacks:
            callback(self._snapshot)


@dataclass
class FleetHost:
    """Store the components of one host."""

    host: HostName
    domain: DomainName
    incarnation: Incarnation
    links: ByteCountingLinks
    health: HttpServer
    configuration: InMemoryConfiguration
    platform: PlatformClient
    controller: RateController
    peer_address: PeerAddress
    caller_address: str
    has_ended: bool = False

    def start(self, peers: Iterable[PeerAddress]) -> None:
        """Set the peers and start the controller, which takes over its share of the ledger."""
        self.links.set_peers(peers)
        self.controller.start()

    def kill(self) -> None:
        """Stop the host abruptly, without its shutdown sequence."""
        self.has_ended = True
        self.links.close()
        self.health.close()
        self.controller.stop_threads()

    def close(self) -> None:
        """Shut the host down in order."""
        self.has_ended = True
        self.controller.close()
        self.links.close()
        self.health.close()


class RateFleet:
    """Run a platform stand-in and hosts with rate controllers."""

    def __init__(
        self,
        settings: RateSettings,
        link_settings: PeerLinkSettings | None = None,
        seed: int = 0,
    ) -> None:
        self.settings = settings
        self.link_settings = link_settings or PeerLinkSettings(heartbeat=0.2, silence=1.0)
        self.platform: PlatformStandIn = create_platform(LOOPBACK, seed=seed)
        self.hosts: dict[HostName, FleetHost] = {}
        self._accounts: dict[str, tuple[float, int]] = {}

    @property
    def platform_address(self) -> str:
        """Return the address of the platform stand-in."""
        return f"127.0.0.1:{self.platform.port}"

    def start(self, hosts_per_domain: Iterable[int]) -> None:
        """Start the platform stand-in and a number of hosts in each failure domain."""
        self.platform.start()
        for number, count in enumerate(hosts_per_domain):
            for position in range(count):
                name = HostName(f"host-{number}-{position}")
                self.hosts[name] = self._create_host(name, DomainName(f"domain-{number}"))
        self.publish_hosts()
        for host in self.hosts.values():
            host.start(self.list_peers())

    def add_host(self, name: HostName, domain: DomainName) -> FleetHost:
        """Start one more host, or a new incarnation of one that has ended."""
        host = self.hosts[name] = self._create_host(name, domain)
        for account, (rate, burst) in self._accounts.items():
            host.configuration.set_account(account, rate, burst)
        self.publish_hosts()
        for other in self.list_running():
            other.links.set_peers(self.list_peers())
        host.controller.start()
        return host

    def list_running(self) -> tuple[FleetHost, ...]:
        """Return the hosts that have not ended."""
        return tuple(host for host in self.hosts.values() if not host.has_ended)

    def list_peers(self) -> tuple[PeerAddress, ...]:
        """Return the peer addresses of all hosts."""
        return tuple(host.peer_address for host in self.hosts.values())

    def cut(self, one: Iterable[HostName], other: Iterable[HostName]) -> None:
        """Cut the links between two groups of hosts, until ``heal`` is called."""
        left, right = set(one), set(other)
        for host in self.list_running():
            hidden = right if host.host in left else left if host.host in right else set()
            host.links.set_peers(p for p in self.list_peers() if p.host not in hidden)

    def heal(self) -> None:
        """Restore all links between the hosts."""
        for host in self.list_running():
            host.links.set_peers(self.list_peers())

    def set_account(self, name: str, rate: float, burst: int) -> None:
        """Set a client account at every running host."""
        self._accounts[name] = (rate, burst)
        for host in self.list_running():
            host.configuration.set_account(name, rate, burst)

    def set_platform_faults(self, **faults: object) -> None:
        """Set faults of the platform stand-in."""
        self._call_platform("POST", "/control", faults)

    def read_platform_counts(self) -> dict[str, int]:
        """Return the request counters of the platform stand-in."""
        return dict(self._call_platform("GET", "/control", None))

    def publish_hosts(self) -> None:
        """Set the host list of the platform stand-in."""
        hosts = [
            {
                "host": host.host,
                "domain": host.domain,
                "callers": host.caller_address,
                "peers": host.peer_address.address,
            }
            for host in self.hosts.values()
        ]
        self._call_platform("PUT", "/control/hosts", {"hosts": hosts})

    def close(self) -> None:
        """Stop the hosts and the platform stand-in."""
        for host in self.hosts.values():
            if not host.has_ended:
                host.kill()
        self.platform.close()

    def _create_host(self, name: HostName, domain: DomainName) -> FleetHost:
        incarnation = Incarnation(create_id())
        links = ByteCountingLinks(name, domain, incarnation, LOOPBACK, self.link_settings)
        links.start()
        health = HttpServer(LOOPBACK, _answer_health, threads=2)
        health.start()
        configuration = InMemoryConfiguration()
        client = PlatformClient(PlatformSettings(address=self.platform_address), name)
        controller = RateController(
            client, links, configuration, self.settings, name, domain, incarnation
        )
        return FleetHost(
            name,
            domain,
            incarnation,
            links,
            health,
            configuration,
            client,
            controller,
            PeerAddress(name, domain, f"127.0.0.1:{links.port}"),
            f"127.0.0.1:{health.port}",
        )

    def _call_platform(self, method: str, path: str, body: object) -> dict[str, int]:
        client = HttpClient(self.platform_address)
        try:
            answer = client.call_json(method, path, body)
            assert isinstance(answer, tuple)
            return dict(answer[1])
        finally:
            client.close()


def _answer_health(_request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, b"ok")
