"""Run the controllers of several hosts in one process, connected by real sockets."""

import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass

from turmericproxy.configuration.controller import ConfigurationController
from turmericproxy.core import DomainName, HostName, Incarnation, create_id
from turmericproxy.keys import KeyController
from turmericproxy.peers import PeerAddress, PeerLinks
from turmericproxy.settings.schema import (
    ConfigurationSettings,
    PeerLinkSettings,
    PlatformSettings,
)
from turmericproxy.standins.platform import PlatformStandIn
from turmericproxy.tables.client import PlatformClient
from turmericproxy.web import HttpClient

LINK_SETTINGS = PeerLinkSettings(heartbeat=0.1, silence=1.0)
PLATFORM_TIMEOUT_SECONDS = 0.4
NO_FAULTS = {
    "down": False,
    "slow": 0.0,
    "lose_answers": 0.0,
    "lose_next": 0,
    "late_next": 0,
    "refuse_hosts": [],
}


def wait_until(is_met: Callable[[], bool], timeout: float = 5.0) -> None:
    """Poll a condition until it is met; fail after ``timeout`` seconds."""
    deadline = time.monotonic() + timeout
    while not is_met():
        assert time.monotonic() < deadline, "the condition was not met before the timeout"
        time.sleep(0.01)


@dataclass
class LocalHost:
    """Represent one host by the controllers and links that the tests use."""

    name: HostName
    platform: PlatformClient
    links: PeerLinks
    configuration: ConfigurationController
    keys: KeyController

    def start(self) -> None:
        self.links.start()
        self.configuration.start()
        self.keys.start()

    def close(self) -> None:
        self.keys.close()
        self.configuration.close()
        self.links.close()
        self.platform.close()

    @property
    def address(self) -> PeerAddress:
        return PeerAddress(self.name, self.links.domain, f"127.0.0.1:{self.links.port}")


def create_host(
    name: str, platform_address: str, settings: ConfigurationSettings | None = None
) -> LocalHost:
    """Create a host of domain ``d1`` that listens on a free port; it isn't started."""
    settings = settings or ConfigurationSettings(poll=0.1)
    platform = PlatformClient(
        PlatformSettings(address=platform_address, timeout=PLATFORM_TIMEOUT_SECONDS),
        HostName(name),
    )
    links = PeerLinks(
        HostName(name), DomainName("d1"), Incarnation(create_id()), "127.0.0.1:0", LINK_SETTINGS
    )
    configuration = ConfigurationController(platform, links, settings)
    keys = KeyController(configuration, links, settings)
    return LocalHost(HostName(name), platform, links, configuration, keys)


def link_chain(hosts: list[LocalHost]) -> None:
    """Set the peers of each host to its neighbours in the list."""
    for index, host in enumerate(hosts):
        neighbours = hosts[max(0, index - 1) : index] + hosts[index + 1 : index + 2]
        host.links.set_peers([other.address for other in neighbours])


class Fleet:
    """Represent a platform stand-in and hosts that are linked in a chain."""

    def __init__(self, platform: PlatformStandIn, hosts: list[LocalHost]) -> None:
        self.hosts = hosts
        self._initial_count = len(hosts)
        self.address = f"127.0.0.1:{platform.port}"
        self._control = HttpClient(self.address)

    def set_faults(self, **faults: object) -> None:
        """Set faults of the platform stand-in; the others stay as they are."""
        answer = self._control.call_json("POST", "/control", faults)
        assert isinstance(answer, tuple) and answer[0] == 200, answer

    def reset(self) -> None:
        """Clear all faults, and close the hosts that a test added."""
        self.set_faults(**NO_FAULTS)
        while len(self.hosts) > self._initial_count:
            self.hosts.pop().close()
        wait_until(lambda: all(h.configuration.measure_age() < 5 for h in self.hosts))
        self.wait_for_revision(max(h.configuration.snapshot().revision for h in self.hosts))

    @property
    def revision(self) -> int:
        """Return the highest revision in force."""
        return max(host.configuration.snapshot().revision for host in self.hosts)

    def wait_for_revision(self, revision: int, timeout: float = 5.0) -> None:
        """Wait until every host has this revision or a later one in force."""
        wait_until(
            lambda: all(h.configuration.snapshot().revision >= revision for h in self.hosts),
            timeout,
        )

    def wait_for_links(self) -> None:
        """Wait until every host reaches at least one peer."""
        wait_until(lambda: all(h.links.list_reachable() for h in self.hosts))


@contextmanager
def run_fleet(
    count: int, settings: ConfigurationSettings | None = None, seed: int = 1
) -> Iterator[Fleet]:
    """Run a platform stand-in and ``count`` hosts, each linked to its neighbours only."""
    platform = PlatformStandIn("127.0.0.1:0", 10_000, 10_000, 10_000, seed)
    platform.start()
    address = f"127.0.0.1:{platform.port}"
    hosts = [create_host(f"h{n}", address, settings) for n in range(count)]
    fleet = Fleet(platform, hosts)
    try:
        for host in hosts:
            host.start()
        link_chain(hosts)
        if count > 1:
            fleet.wait_for_links()
        yield fleet
    finally:
        components = [*fleet.hosts, platform]
        with ThreadPoolExecutor(len(components)) as pool:
            list(pool.map(lambda component: component.close(), components))
