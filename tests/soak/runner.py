"""Run hosts, servers and callers, inject faults, and check that all recover."""

import asyncio
import copy
import logging
import random
import signal
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

from tests.host.test_untrusted_clients import CROWDS, Crowd
from tests.platform.support import CONFIGURATION
from tests.soak.callers import Caller
from tests.soak.faults import Fault, FaultKind, draw_faults
from tests.soak.history import History, Kind, Stop, find_violations
from tests.soak.hosts import GRACE_SECONDS, Host
from tests.soak.relay import Relay, RelayMode
from tests.soak.servers import Server
from turmericproxy.standins.platform_wire_store import WireStore

ACCOUNT, KEY = "sese880", "key-1"
# In domain a one host relays messages to the others; domains b and c have one host each.
DOMAINS = ("a",) * 8 + ("b", "c")
CALLERS_PER_HOST = 3
CRASHING_INTERVAL_SECONDS = 0.1
UNTRUSTED_CONNECTIONS = 20
FAULT_COUNT, FAULT_PHASE_SECONDS = 14, 9.0
# Required time within which hosts serve all kinds of request again after the last fault.
RECOVERY_SECONDS = 12.0
RESTART_DELAY_SECONDS = 0.3
# Time after the start of a stopped host until it is reloaded, while it imports its modules.
RELOAD_DELAY_SECONDS = 0.3
START_TIMEOUT_SECONDS = 8.0
WANTED_VERSION_KEY = "version/m"
STORE_FAULTS = {
    FaultKind.REFUSING_STORE,
    FaultKind.SLOW_STORE,
    FaultKind.BLACKHOLED_STORE,
    FaultKind.ANSWERLESS_STORE,
    FaultKind.LOST_HISTORY,
}
# Hosts need up to this time to detect a store that stopped answering.
STORE_LOSS_DETECTION_SECONDS = 3.0
_LOGGER = logging.getLogger("soak")


class SoakRun:
    """Run the faults of one seed against hosts and servers that it starts and stops."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.seed = seed
        self.history = History(ACCOUNT)
        self._store = WireStore()
        self._folder = folder
        self._version = 1
        self._configuration = _create_configuration()
        self._hosts: list[Host] = []
        self._servers: list[Server] = []
        self._active_faults: set[asyncio.Task[None]] = set()

    async def run(self) -> list[str]:
        """Inject the faults of the seed and return the violations of guarantees."""
        await self._start()
        callers = [
            asyncio.create_task(Caller(host, KEY, self.history, self.seed * 100 + n).run())
            for n, host in enumerate(self._hosts * CALLERS_PER_HOST)
        ]
        try:
            await self._inject_faults(draw_faults(self.seed, FAULT_COUNT, FAULT_PHASE_SECONDS))
            violations = await self._recover()
        finally:
            for task in callers:
                task.cancel()
            await asyncio.wait(callers)
        return find_violations(self.history) + violations

    async def close(self) -> None:
        """End the active faults, and stop all hosts and servers."""
        for task in self._active_faults:
            task.cancel()
        for host in self._hosts:
            host.should_run = False
            host.kill()
        await asyncio.gather(*(host.wait_for_exit(5) for host in self._hosts))
        for server in self._servers:
            server.close()
        self._store_relay.close()
        self._store.close()

    async def _start(self) -> None:
        await self._store.start()
        self._store_relay = Relay(self._store.address)
        await self._store_relay.start()
        self._store.put("op", "config", self._configuration)
        kinds = (("huvo11a", "m"), ("kafi81c", None))
        for service, model in kinds:
            for domain in "abc":
                server = Server(service, model, domain, self._store, self.history)
                await server.start()
                self._servers.append(server)
        for n, domain in enumerate(DOMAINS):
            host = Host(f"h{n}", domain, self._store_relay.address, self._folder)
            host.start()
            self._hosts.append(host)
        violations = await self._wait_until_served(START_TIMEOUT_SECONDS)
        assert not violations, violations

    async def _inject_faults(self, faults: Sequence[Fault]) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while loop.time() < started_at + FAULT_PHASE_SECONDS or self._active_faults:
            while faults and loop.time() >= started_at + faults[0].start_seconds:
                fault, *faults = faults
                _LOGGER.info("%.1f s: %s", fault.start_seconds, fault)
                task = asyncio.create_task(self._inject_fault(fault))
                self._active_faults.add(task)
                task.add_done_callback(self._active_faults.discard)
            self._update_and_check()
            await asyncio.sleep(0.02)

    def _update_and_check(self) -> None:
        """Update the registrations of servers; fail if a host exited unexpectedly."""
        for server in self._servers:
            server.refresh()
        for host in self._hosts:
            if host.should_run and not host.is_running:
                code = host.process.returncode if host.process else None
                raise AssertionError(f"{host.name} exited unexpectedly with code {code}")

    async def _recover(self) -> list[str]:
        """Return what has not recovered within the time limit."""
        deadline = asyncio.get_running_loop().time() + RECOVERY_SECONDS
        violations = await self._wait_until_served(RECOVERY_SECONDS)
        while (
            outdated := self._list_outdated_engines()
        ) and asyncio.get_running_loop().time() < deadline:
            self._update_and_check()
            await asyncio.sleep(0.05)
        return violations + [f"{name} still has old weights" for name in outdated]

    def _list_outdated_engines(self) -> list[str]:
        engines = [server.wire for server in self._servers if server.model]
        return [engine.instance for engine in engines if engine.version != self._version]

    async def _wait_until_served(self, seconds: float) -> list[str]:
        """Send requests until hosts serve all kinds; return what is not served in time."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        pending = [(host, kind) for host in self._hosts for kind in Kind]
        while pending and loop.time() < deadline:
            pending = [pair for pair in pending if not await self._is_served(*pair)]
            self._update_and_check()
        return [f"{host.name} does not serve {kind.value}" for host, kind in pending]

    async def _is_served(self, host: Host, kind: Kind) -> bool:
        call = await Caller(host, KEY, self.history, self.seed).send(kind)
        return call is not None and call.status == 200 and call.is_complete

    async def _inject_fault(self, fault: Fault) -> None:
        loop = asyncio.get_running_loop()
        if fault.kind in STORE_FAULTS:
            # Include the time in which hosts detect the fault.
            ends_at = loop.time() + max(fault.duration_seconds, STORE_LOSS_DETECTION_SECONDS)
            self.history.store_faults.append((loop.time(), ends_at))
        await _FAULT_HANDLERS[fault.kind](self, fault)

    def _pick_host(self, fault: Fault) -> Host:
        return self._hosts[fault.pick % len(self._hosts)]

    def _pick_server(self, fault: Fault) -> Server:
        return self._servers[fault.pick % len(self._servers)]

    async def _kill_and_restart(self, hosts: Sequence[Host]) -> None:
        hosts = [host for host in hosts if host.should_run]
        for host in hosts:
            host.should_run = False
            host.kill()
        for host in hosts:
            await host.wait_for_exit(5)
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        for host in hosts:
            host.start()
            host.should_run = True

    async def _kill_host(self, fault: Fault) -> None:
        await self._kill_and_restart([self._pick_host(fault)])

    async def _kill_all_hosts(self, fault: Fault) -> None:
        await self._kill_and_restart(self._hosts)

    async def _stop_host(self, fault: Fault) -> None:
        host = self._pick_host(fault)
        if not host.should_run:
            return
        host.should_run = False
        stopped_at = asyncio.get_running_loop().time()
        host.signal(signal.SIGTERM)
        await host.wait_for_exit(GRACE_SECONDS + 1)
        exited_at = asyncio.get_running_loop().time()
        self.history.stops.append(Stop(host.name, stopped_at, exited_at))
        host.start()
        host.should_run = True
        await asyncio.sleep(RELOAD_DELAY_SECONDS)
        await host.reload()

    async def _reload_host(self, fault: Fault) -> None:
        await self._pick_host(fault).reload()

    async def _pause_host(self, fault: Fault) -> None:
        await self._pick_host(fault).pause(fault.duration_seconds)

    async def _refuse_store_calls(self, fault: Fault) -> None:
        self._store.refusal = 503
        await asyncio.sleep(fault.duration_seconds)
        self._store.refusal = None

    async def _blackhole_store(self, fault: Fault) -> None:
        self._store_relay.blackhole()

    async def _lose_commit_answers(self, fault: Fault) -> None:
        self._store.lost_answers += 2

    async def _lose_history(self, fault: Fault) -> None:
        self._store.discard_history()

    async def _write_truncated_row(self, fault: Fault) -> None:
        self._store.put("servers", f"torn-{fault.pick}", b'{"service": ["huvo11a')

    async def _crash_server(self, fault: Fault) -> None:
        await self._pick_server(fault).replace(is_crash=True)

    async def _drain_server(self, fault: Fault) -> None:
        server = self._pick_server(fault)
        draining = server.wire
        server.drain()
        await asyncio.sleep(fault.duration_seconds)
        if server.wire is draining:
            await server.replace(is_crash=False)

    async def _enable_server_fault(self, fault: Fault) -> None:
        faults = self._pick_server(fault).wire.faults
        names = ("refuse", "fail", "crash", "silent", "break_stream", "foreign")
        name = names[fault.pick % len(names)]
        setattr(faults, name, 3)
        await asyncio.sleep(fault.duration_seconds)
        setattr(faults, name, 0)

    async def _reset_server(self, fault: Fault) -> None:
        self._pick_server(fault).reset()

    async def _silence_server(self, fault: Fault) -> None:
        self._pick_server(fault).wire.fall_silent(fault.duration_seconds)

    async def _silence_service(self, fault: Fault) -> None:
        service = self._pick_server(fault).service
        for server in self._servers:
            if server.service == service:
                server.wire.fall_silent(fault.duration_seconds)

    async def _send_events_slowly(self, fault: Fault) -> None:
        await asyncio.gather(
            *(server.send_events_slowly(fault.duration_seconds) for server in self._servers)
        )

    async def _send_crashing_prompts(self, fault: Fault) -> None:
        rng, loop = random.Random(fault.pick), asyncio.get_running_loop()
        ends_at, sending = loop.time() + fault.duration_seconds, []
        while loop.time() < ends_at:
            caller = Caller(rng.choice(self._hosts), KEY, self.history, rng.randrange(1000))
            kind = rng.choice((Kind.STREAM, Kind.RESUMABLE_STREAM))
            sending.append(asyncio.create_task(caller.send(kind, ends_engines=True)))
            await asyncio.sleep(CRASHING_INTERVAL_SECONDS)
        await asyncio.gather(*sending)

    async def _send_without_limits(self, fault: Fault) -> None:
        crowd = Crowd(self._pick_host(fault).callers, [])
        name = sorted(CROWDS)[fault.pick % len(CROWDS)]
        try:
            async with asyncio.timeout(fault.duration_seconds):
                await crowd.join(CROWDS[name], UNTRUSTED_CONNECTIONS)
                await asyncio.sleep(fault.duration_seconds)
        except TimeoutError:
            pass
        finally:
            crowd.close()

    async def _change_configuration(self, fault: Fault) -> None:
        content = self._configuration
        content["version"] += 1 + fault.pick % 3
        extra = {**content["routes"][-1], "name": f"r-{fault.pick}", "prefix": f"/x{fault.pick}/"}
        content["routes"] = [*content["routes"], extra]
        self._store.put("op", "config", content)

    async def _change_wanted_version(self, fault: Fault) -> None:
        self._version += 1
        self._store.put("op", WANTED_VERSION_KEY, {"model": "m", "version": self._version})


def _set_store_mode(mode: RelayMode) -> Callable[[SoakRun, Fault], Awaitable[None]]:
    async def apply_mode(soak: SoakRun, fault: Fault) -> None:
        soak._store_relay.set_mode(mode)
        await asyncio.sleep(fault.duration_seconds)
        soak._store_relay.set_mode(RelayMode.FORWARD)

    return apply_mode


def _set_server_mode(mode: RelayMode) -> Callable[[SoakRun, Fault], Awaitable[None]]:
    async def apply_mode(soak: SoakRun, fault: Fault) -> None:
        relay = soak._pick_server(fault).relay
        relay.set_mode(mode)
        await asyncio.sleep(fault.duration_seconds)
        relay.set_mode(RelayMode.FORWARD)

    return apply_mode


_FAULT_HANDLERS: dict[FaultKind, Callable[[SoakRun, Fault], Awaitable[None]]] = {
    FaultKind.KILL_HOST: SoakRun._kill_host,
    FaultKind.KILL_ALL_HOSTS: SoakRun._kill_all_hosts,
    FaultKind.STOP_HOST: SoakRun._stop_host,
    FaultKind.RELOAD_HOST: SoakRun._reload_host,
    FaultKind.PAUSE_HOST: SoakRun._pause_host,
    FaultKind.REFUSING_STORE: SoakRun._refuse_store_calls,
    FaultKind.SLOW_STORE: _set_store_mode(RelayMode.SLOW),
    FaultKind.BLACKHOLED_STORE: SoakRun._blackhole_store,
    FaultKind.ANSWERLESS_STORE: _set_store_mode(RelayMode.HOLD_ANSWERS),
    FaultKind.LOST_COMMIT_ANSWERS: SoakRun._lose_commit_answers,
    FaultKind.LOST_HISTORY: SoakRun._lose_history,
    FaultKind.TRUNCATED_ROW: SoakRun._write_truncated_row,
    FaultKind.CRASHED_SERVER: SoakRun._crash_server,
    FaultKind.DRAINED_SERVER: SoakRun._drain_server,
    FaultKind.FAULTY_SERVER: SoakRun._enable_server_fault,
    FaultKind.ANSWERLESS_SERVER: _set_server_mode(RelayMode.HOLD_ANSWERS),
    FaultKind.RESET_SERVER: SoakRun._reset_server,
    FaultKind.SLOW_SERVER: _set_server_mode(RelayMode.SLOW),
    FaultKind.SILENT_SERVER: SoakRun._silence_server,
    FaultKind.SILENT_SERVICE: SoakRun._silence_service,
    FaultKind.SLOW_EVENTS: SoakRun._send_events_slowly,
    FaultKind.CRASHING_PROMPTS: SoakRun._send_crashing_prompts,
    FaultKind.UNTRUSTED_CLIENTS: SoakRun._send_without_limits,
    FaultKind.NEW_CONFIGURATION: SoakRun._change_configuration,
    FaultKind.NEW_WEIGHTS: SoakRun._change_wanted_version,
}


def _create_configuration() -> dict[str, object]:
    content = copy.deepcopy(CONFIGURATION)
    content["services"] = [s for s in content["services"] if "kv_store_addr" not in s]
    for route in content["routes"]:
        if route["name"] == "r-stream":
            route["backends"] = [{"service": "huvo11a", "weight": 1}]
    return content


async def run_seed(seed: int, folder: Path | None = None) -> list[str]:
    """Run one seed and return the violations of guarantees."""
    with tempfile.TemporaryDirectory() as temporary_folder:
        soak = SoakRun(seed, folder or Path(temporary_folder))
        try:
            return await soak.run()
        finally:
            await soak.close()
