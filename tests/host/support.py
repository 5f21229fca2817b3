"""Run complete hosts against stand-ins of the platform's store and servers."""

import asyncio
import copy
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from tests.platform.support import CONFIGURATION
from turmericproxy.bench.processes import pick_addresses
from turmericproxy.core import HostName
from turmericproxy.fleet.quotas import NO_TOLERANCE
from turmericproxy.host.site_daemon import SiteHost
from turmericproxy.host.site_settings import SiteHostSettings
from turmericproxy.platform.program import create_adapter
from turmericproxy.releases.orders import ReleaseBounds
from turmericproxy.standins.platform_wire_server import WireServer
from turmericproxy.standins.platform_wire_store import WireStore


@dataclass(frozen=True)
class Answer:
    """Answer received by a client; ``is_complete`` tells whether its whole body was received."""

    status: int
    fields: dict[str, str]
    body: bytes
    is_complete: bool


@dataclass
class HostEnvironment:
    """A store stand-in, server stand-ins and the hosts under test."""

    store: WireStore = field(default_factory=WireStore)
    servers: dict[str, WireServer] = field(default_factory=dict)
    hosts: list[SiteHost] = field(default_factory=list)
    settings: list[SiteHostSettings] = field(default_factory=list)
    releases: ReleaseBounds | None = None

    async def add_server(
        self, name: str, service: str, model: str | None = None, software: str = "v1"
    ) -> WireServer:
        server = WireServer(name, service, model, software=software)
        await server.start()
        self.servers[name] = server
        self.store.put("servers", name, server.describe())
        return server

    async def add_host(
        self,
        name: str,
        domain: str = "a",
        store: str | None = None,
        *,
        has_admission_control: bool = False,
    ) -> SiteHost:
        callers, readiness, links, metrics = pick_addresses(4)
        settings = SiteHostSettings(
            host=HostName(name),
            domain=domain,
            callers=callers,
            readiness=readiness,
            links=links,
            metrics=metrics,
            store=store or self.store.address,
            is_first_start=True,
            order_guard=1.0,
            version_seconds=6.0,
            retry_share=0.2,
            retry_reserve=56.0,
            grace=3.0,
            quota_tolerance=NO_TOLERANCE,
            has_admission_control=has_admission_control,
            releases=self.releases,
        )
        host = SiteHost(settings, create_adapter(settings.store))
        await host.start()
        self.hosts.append(host)
        self.settings.append(settings)
        return host

    def configure(self, **changes: object) -> None:
        content = copy.deepcopy({**CONFIGURATION, **changes})
        content["services"] = [s for s in content["services"] if "kv_store_addr" not in s]
        for route in content["routes"]:
            if route["name"] == "r-stream":
                route["backends"] = [{"service": "huvo11a", "weight": 1}]
        self.store.put("op", "config", content)

    async def send_request(
        self,
        target: str,
        *fields: str,
        host: str = "app.example",
        key: str | None = "key-1",
        body: bytes = b"",
        method: str = "POST",
        request_id: str = "r1",
        index: int = 0,
        wait_ms: int = 2000,
    ) -> Answer:
        lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", f"X-Attempt-Id: {request_id}"]
        lines += [f"X-Request-Deadline: {wait_ms}", f"Content-Length: {len(body)}", *fields]
        lines += [f"Authorization: Bearer {key}"] if key else []
        data = "\r\n".join([*lines, "Connection: close", "", ""]).encode() + body
        ip, _, port = self.settings[index].callers.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(data)
        try:
            received = await asyncio.wait_for(reader.read(-1), 15)
        except ConnectionResetError:
            received = b""
        writer.close()
        return read_answer(received)

    async def send_stream_request(self, target: str = "/lepu270/2f", **options: object) -> Answer:
        return await self.send_request(
            target,
            "X-Model: m",
            "X-Token-Count: 60,5",
            "X-Prompt-Prefix: aa:20,bb:20,cc:20",
            host="jepu9.example",
            **options,  # type: ignore[arg-type]
        )

    async def close(self) -> None:
        for host in self.hosts:
            await host.close()
        for server in self.servers.values():
            server.close()
        self.store.close()


def count_outcomes(answers: Iterable[Answer]) -> Counter[tuple[int, str | None]]:
    """Count answers by status and result code, so that a failed check tells why."""
    return Counter((answer.status, answer.fields.get("x-result-code")) for answer in answers)


def read_answer(received: bytes) -> Answer:
    if not received:
        return Answer(0, {}, b"", is_complete=False)
    head, _, rest = received.partition(b"\r\n\r\n")
    line, *lines = head.decode().split("\r\n")
    fields = {name.lower(): value for name, value in (f.split(": ", 1) for f in lines)}
    status = int(line.split()[1])
    if fields.get("transfer-encoding") != "chunked":
        return Answer(status, fields, rest, len(rest) == int(fields["content-length"]))
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        if size == b"0":
            return Answer(status, fields, body, is_complete=True)
        body += rest[: int(size, 16)]
        rest = rest[int(size, 16) + 2 :]
    return Answer(status, fields, body, is_complete=False)


async def start_environment() -> HostEnvironment:
    """Return an environment with two engines, two plain upstreams and no host."""
    environment = HostEnvironment()
    await environment.store.start()
    environment.configure()
    for name in ("e1", "e2"):
        await environment.add_server(name, "huvo11a", "m")
    for name in ("p1", "p2"):
        await environment.add_server(name, "kafi81c")
    return environment


def run_scenario(
    scenario: Callable[[HostEnvironment], Awaitable[None]],
    *,
    hosts: int = 1,
    domains: int = 1,
    start_seconds: float = 0.2,
    releases: ReleaseBounds | None = None,
) -> None:
    """Run a scenario with two engines, two plain upstreams and ``hosts`` hosts."""

    async def run() -> None:
        environment = await start_environment()
        environment.releases = releases
        for n in range(hosts):
            await environment.add_host(f"h{n}", chr(ord("a") + n % domains))
        await asyncio.sleep(start_seconds)
        try:
            await scenario(environment)
        finally:
            await environment.close()

    asyncio.run(run())
