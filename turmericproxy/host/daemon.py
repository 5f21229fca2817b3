"""Start the components of one host in order and close them in reverse order."""

from dataclasses import asdict

from turmericproxy.bookings import ClaimController
from turmericproxy.callers import CallerApi
from turmericproxy.callers.api import CallerDependencies
from turmericproxy.configuration.controller import ConfigurationController
from turmericproxy.core import DomainName, HostName, Incarnation, create_id
from turmericproxy.edge.causes import CauseReporter
from turmericproxy.keys import KeyController
from turmericproxy.logs import Part, log_event
from turmericproxy.metrics import Metrics
from turmericproxy.operators import create_operator_server
from turmericproxy.peers import PeerAddress, PeerLinks
from turmericproxy.peers.membership import MembershipController
from turmericproxy.rates import RateController
from turmericproxy.routing import FairQueue, Selector
from turmericproxy.settings import HostSettings
from turmericproxy.tables.client import PlatformClient
from turmericproxy.weights import WeightController

# Fractions of the threads that running and waiting chats may occupy.
RUNNING_CHATS_FRACTION = 0.6
WAITING_CHATS_FRACTION = 0.25


def create_queue(threads: int) -> FairQueue:
    """Return a queue for chats that always leaves some threads free for plain calls."""
    return FairQueue(
        running=max(1, int(threads * RUNNING_CHATS_FRACTION)),
        waiting=max(1, int(threads * WAITING_CHATS_FRACTION)),
    )


class HostDaemon:
    """Own the components of one host."""

    def __init__(self, settings: HostSettings) -> None:
        host, domain = HostName(settings.host), DomainName(settings.domain)
        incarnation = Incarnation(create_id())
        self.settings = settings
        self.metrics = Metrics()
        self.platform = PlatformClient(settings.platform, host)
        self.links = PeerLinks(
            host,
            domain,
            incarnation,
            settings.listen.peers,
            settings.links,
            CauseReporter(lambda cause: self.metrics.count("limited_clients", cause=cause.value)),
        )
        self.membership = MembershipController(
            self.platform,
            self.links,
            host,
            domain,
            (
                PeerAddress(HostName(peer.host), DomainName(peer.domain), peer.address)
                for peer in settings.peers
            ),
        )
        self.configuration = ConfigurationController(
            self.platform, self.links, settings.configuration
        )
        self.keys = KeyController(
            self.configuration,
            self.links,
            settings.configuration,
            settings.links.silence,
        )
        self.rates = RateController(
            self.platform,
            self.links,
            self.configuration,
            settings.rates,
            host,
            domain,
            incarnation,
        )
        self.claims = ClaimController(
            self.platform, host, incarnation, self._is_alive, settings.bookings
        )
        self.selector = Selector(
            self.configuration,
            self.links,
            settings.routing,
            settings.upstreams,
            host,
            domain,
            tables=self.platform,
        )
        self.queue = create_queue(settings.limits.threads)
        self.weights = WeightController(self.configuration, settings.upstreams, host)
        self.callers = CallerApi(settings, self._collect_caller_dependencies())
        self.operators = create_operator_server(
            settings,
            self.configuration,
            self.keys,
            {
                "peers": self._describe_peers,
                "buckets": self._describe_buckets,
                "upstreams": self.selector.describe_upstreams,
            },
            self.metrics.render_text,
        )

    def _collect_caller_dependencies(self) -> CallerDependencies:
        return CallerDependencies(
            configuration=self.configuration,
            keys=self.keys,
            rates=self.rates,
            claims=self.claims,
            selector=self.selector,
            queue=self.queue,
            metrics=self.metrics,
        )

    def start(self) -> None:
        """Start all components, the one for callers last; it is ready with the configuration."""
        self.links.start()
        self.membership.start()
        self.configuration.start()
        self.keys.start()
        self.rates.start()
        self.claims.start()
        self.selector.start()
        self.weights.start()
        self.operators.start()
        self.callers.start()
        log_event(Part.HOST, "started", incarnation=self.links.incarnation)

    def close(self) -> None:
        """Drain callers, release held resources and close all components."""
        is_drained = self.callers.drain()
        self.callers.close()
        self.weights.close()
        self.selector.close()
        self.claims.close()
        self.rates.close()
        self.operators.close()
        self.keys.close()
        self.configuration.close()
        self.membership.close()
        self.links.close()
        self.platform.close()
        log_event(Part.HOST, "stopped", drained=is_drained)

    def _describe_buckets(self) -> object:
        return [asdict(bucket) for bucket in self.rates.list_buckets()]

    def _describe_peers(self) -> object:
        return [
            {"host": peer.host, "domain": peer.domain, "incarnation": peer.incarnation}
            for peer in self.links.list_reachable()
        ]

    def _is_alive(self, host: HostName, incarnation: Incarnation) -> bool | None:
        """Return whether a host still runs an incarnation, ``None`` if the host is unreachable."""
        for peer in self.links.list_reachable():
            if peer.host == host:
                return peer.incarnation == incarnation
        return None
