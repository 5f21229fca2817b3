"""Put hosts, servers and callers together, play faults on them, and let them recover."""

import asyncio
import copy
import logging
import signal
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

from tests.platform.support import CONFIGURATION
from tests.soak.callers import Caller
from tests.soak.faults import Fault, Trouble, draw_faults
from tests.soak.history import History, Kind, find_broken_promises
from tests.soak.hosts import GRACE_SECONDS, Host
from tests.soak.relay import Leg, Relay
from tests.soak.servers import Server
from turmericproxy.standins.platform_wire_store import WireStore

ACCOUNT, KEY = "sese880", "key-1"
# Enough near hosts that one passes notes on for the others, and some in small domains.
DOMAINS = ("a",) * 8 + ("b", "c")
FAULTS, LENGTH_SECONDS = 14, 9.0
# Seconds in which hosts that are back serve everything again, by the users' sheets.
RECOVERY_SECONDS = 12.0
RESTART_SECONDS = 0.3
START_SECONDS = 8.0
WEIGHTS_KEY = "version/m"
STORE_TROUBLES = {
    Trouble.REFUSING_STORE,
    Trouble.SLOW_STORE,
    Trouble.SILENT_STORE,
    Trouble.ANSWERLESS_STORE,
    Trouble.LOST_HISTORY,
}
SILENCE_SECONDS = 3.0
_LOGGER = logging.getLogger("soak")


class Stage:
    """Own everything that a seed plays with."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.seed = seed
        self.history = History(ACCOUNT)
        self._store = WireStore()
        self._folder = folder
        self._version = 1
        self._configuration = _create_configuration()
        self._hosts: list[Host] = []
        self._servers: list[Server] = []
        self._faults_left: set[asyncio.Task[None]] = set()

    async def play(self) -> list[str]:
        """Play a seed's faults and return the promises that were broken."""
        await self._start()
        callers = [
            asyncio.create_task(Caller(host, KEY, self.history, self.seed * 100 + n).run())
            for n, host in enumerate(self._hosts)
        ]
        try:
            await self._run_faults(draw_faults(self.seed, FAULTS, LENGTH_SECONDS))
            broken = await self._recover()
        finally:
            for task in callers:
                task.cancel()
            await asyncio.wait(callers)
        return find_broken_promises(self.history) + broken

    async def close(self) -> None:
        """End all processes and servers."""
        for host in self._hosts:
            host.is_meant_to_run = False
            host.kill()
        await asyncio.gather(*(host.wait_for_end(5) for host in self._hosts))
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
        broken = await self._ask_all(START_SECONDS)
        assert not broken, broken

    async def _run_faults(self, faults: Sequence[Fault]) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        while loop.time() < started + LENGTH_SECONDS or self._faults_left:
            while faults and loop.time() >= started + faults[0].at:
                fault, *faults = faults
                _LOGGER.info("%.1f s: %s", fault.at, fault)
                task = asyncio.create_task(self._run_fault(fault))
                self._faults_left.add(task)
                task.add_done_callback(self._faults_left.discard)
            self._keep_up()
            await asyncio.sleep(0.02)

    def _keep_up(self) -> None:
        for server in self._servers:
            server.refresh()
        for host in self._hosts:
            if host.is_meant_to_run and not host.is_running:
                raise AssertionError(f"{host.name} ended by itself")

    async def _recover(self) -> list[str]:
        """Return what is not as it should be some time after the last fault."""
        last = asyncio.get_running_loop().time() + RECOVERY_SECONDS
        broken = await self._ask_all(RECOVERY_SECONDS)
        while (lagging := self._list_lagging()) and asyncio.get_running_loop().time() < last:
            self._keep_up()
            await asyncio.sleep(0.05)
        return broken + [f"{name} has old weights" for name in lagging]

    def _list_lagging(self) -> list[str]:
        engines = [server.wire for server in self._servers if server.model]
        return [engine.instance for engine in engines if engine.version != self._version]

    async def _ask_all(self, seconds: float) -> list[str]:
        """Return the requests that hosts did not serve within some seconds."""
        loop = asyncio.get_running_loop()
        last = loop.time() + seconds
        waiting = [(host, kind) for host in self._hosts for kind in Kind]
        while waiting and loop.time() < last:
            waiting = [pair for pair in waiting if not await self._is_served(*pair)]
            self._keep_up()
        return [f"{host.name} serves no {kind.value}" for host, kind in waiting]

    async def _is_served(self, host: Host, kind: Kind) -> bool:
        call = await Caller(host, KEY, self.history, self.seed).ask(kind)
        return call is not None and call.status == 200 and call.is_whole

    async def _run_fault(self, fault: Fault) -> None:
        loop = asyncio.get_running_loop()
        if fault.trouble in STORE_TROUBLES:
            # Hosts notice a store that went silent after some seconds.
            ends = loop.time() + max(fault.seconds, SILENCE_SECONDS)
            self.history.store_troubles.append((loop.time(), ends))
        await _ACTS[fault.trouble](self, fault)

    def _pick_host(self, fault: Fault) -> Host:
        return self._hosts[fault.pick % len(self._hosts)]

    def _pick_server(self, fault: Fault) -> Server:
        return self._servers[fault.pick % len(self._servers)]

    async def _kill(self, hosts: Sequence[Host]) -> None:
        hosts = [host for host in hosts if host.is_meant_to_run]
        for host in hosts:
            host.is_meant_to_run = False
            host.kill()
        for host in hosts:
            await host.wait_for_end(5)
        await asyncio.sleep(RESTART_SECONDS)
        for host in hosts:
            host.start()
            host.is_meant_to_run = True

    async def _kill_host(self, fault: Fault) -> None:
        await self._kill([self._pick_host(fault)])

    async def _kill_all_hosts(self, fault: Fault) -> None:
        await self._kill(self._hosts)

    async def _stop_host(self, fault: Fault) -> None:
        host = self._pick_host(fault)
        if not host.is_meant_to_run:
            return
        host.is_meant_to_run = False
        host.signal(signal.SIGTERM)
        await host.wait_for_end(GRACE_SECONDS + 1)
        host.start()
        host.is_meant_to_run = True

    async def _reload_host(self, fault: Fault) -> None:
        self._pick_host(fault).reload()

    async def _pause_host(self, fault: Fault) -> None:
        await self._pick_host(fault).pause(fault.seconds)

    async def _refuse_at_store(self, fault: Fault) -> None:
        self._store.refusal = 503
        await asyncio.sleep(fault.seconds)
        self._store.refusal = None

    async def _silence_store(self, fault: Fault) -> None:
        self._store_relay.silence()

    async def _lose_commits(self, fault: Fault) -> None:
        self._store.lost_answers += 2

    async def _lose_history(self, fault: Fault) -> None:
        self._store.discard_history()

    async def _tear_row(self, fault: Fault) -> None:
        self._store.put("servers", f"torn-{fault.pick}", b'{"service": ["huvo11a')

    async def _crash_server(self, fault: Fault) -> None:
        await self._pick_server(fault).replace(is_crash=True)

    async def _drain_server(self, fault: Fault) -> None:
        server = self._pick_server(fault)
        leaving = server.wire
        server.drain()
        await asyncio.sleep(fault.seconds)
        if server.wire is leaving:
            await server.replace(is_crash=False)

    async def _fault_server(self, fault: Fault) -> None:
        faults = self._pick_server(fault).wire.faults
        names = ("refuse", "fail", "crash", "silent", "break_stream", "foreign")
        name = names[fault.pick % len(names)]
        setattr(faults, name, 3)
        await asyncio.sleep(fault.seconds)
        setattr(faults, name, 0)

    async def _reset_server(self, fault: Fault) -> None:
        self._pick_server(fault).relay.reset()

    async def _configure(self, fault: Fault) -> None:
        content = self._configuration
        content["version"] += 1 + fault.pick % 3
        extra = {**content["routes"][-1], "name": f"r-{fault.pick}", "prefix": f"/x{fault.pick}/"}
        content["routes"] = [*content["routes"], extra]
        self._store.put("op", "config", content)

    async def _name_weights(self, fault: Fault) -> None:
        self._version += 1
        self._store.put("op", WEIGHTS_KEY, {"model": "m", "version": self._version})


def _harm_store(leg: Leg) -> Callable[[Stage, Fault], Awaitable[None]]:
    async def harm(stage: Stage, fault: Fault) -> None:
        stage._store_relay.harm(leg)
        await asyncio.sleep(fault.seconds)
        stage._store_relay.harm(Leg.OPEN)

    return harm


def _harm_server(leg: Leg) -> Callable[[Stage, Fault], Awaitable[None]]:
    async def harm(stage: Stage, fault: Fault) -> None:
        relay = stage._pick_server(fault).relay
        relay.harm(leg)
        await asyncio.sleep(fault.seconds)
        relay.harm(Leg.OPEN)

    return harm


_ACTS: dict[Trouble, Callable[[Stage, Fault], Awaitable[None]]] = {
    Trouble.KILL_HOST: Stage._kill_host,
    Trouble.KILL_ALL_HOSTS: Stage._kill_all_hosts,
    Trouble.STOP_HOST: Stage._stop_host,
    Trouble.RELOAD_HOST: Stage._reload_host,
    Trouble.PAUSE_HOST: Stage._pause_host,
    Trouble.REFUSING_STORE: Stage._refuse_at_store,
    Trouble.SLOW_STORE: _harm_store(Leg.SLOW),
    Trouble.SILENT_STORE: Stage._silence_store,
    Trouble.ANSWERLESS_STORE: _harm_store(Leg.HOLDS_ANSWERS),
    Trouble.LOST_COMMITS: Stage._lose_commits,
    Trouble.LOST_HISTORY: Stage._lose_history,
    Trouble.TORN_ROW: Stage._tear_row,
    Trouble.CRASHED_SERVER: Stage._crash_server,
    Trouble.DRAINED_SERVER: Stage._drain_server,
    Trouble.FAULTY_SERVER: Stage._fault_server,
    Trouble.ANSWERLESS_SERVER: _harm_server(Leg.HOLDS_ANSWERS),
    Trouble.RESET_SERVER: Stage._reset_server,
    Trouble.SLOW_SERVER: _harm_server(Leg.SLOW),
    Trouble.NEW_CONFIGURATION: Stage._configure,
    Trouble.NEW_WEIGHTS: Stage._name_weights,
}


def _create_configuration() -> dict[str, object]:
    content = copy.deepcopy(CONFIGURATION)
    content["services"] = [s for s in content["services"] if "kv_store_addr" not in s]
    for route in content["routes"]:
        if route["name"] == "r-stream":
            route["backends"] = [{"service": "huvo11a", "weight": 1}]
    return content


async def play_seed(seed: int, folder: Path | None = None) -> list[str]:
    """Play one seed and return the promises that were broken."""
    with tempfile.TemporaryDirectory() as scratch:
        stage = Stage(seed, folder or Path(scratch))
        try:
            return await stage.play()
        finally:
            await stage.close()
