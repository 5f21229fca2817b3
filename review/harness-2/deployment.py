"""Run hosts as processes of their own, before stand-ins of the platform, servers and clients."""

import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
for folder in (ROOT / "target" / "deps", ROOT):
    sys.path.insert(0, str(folder))

from turmericproxy.standins.platform_wire_server import WireServer  # noqa: E402
from turmericproxy.standins.platform_wire_store import WireStore  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
# Exit codes of a case's program; ``run.sh`` turns them into 1, 0 and 2, and any other one into 2.
BROKEN, HELD, NOT_RUN = 10, 0, 11
READY_SECONDS = 20.0
# Delay after which the platform starts a process again.
RESTART_SECONDS = 0.5
# Range of the hosts' ports, below those that the kernel gives to clients.
PORTS, PORTS_PER_HOST = (15_000, 30_000), 20
MEMORY_CHECK_SECONDS = 0.03
# The figures of the users' sheet of Afinandina.
# In units of 1,048,576 bytes, the larger reading.
MEMORY_MB = 150
BOUNDS = {
    "stable_window_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_extra": 56,
    "quota_window_s": 8,
    "quota_overshoot": 0.1,
    "quota_slack": 110000,
    "recover_s": 12,
    "require_fence": "false",
    "lease_ms": 3000,
    "version_ms": 6000,
}
STREAM_HOST, STREAM_TARGET = "jepu9.example", "/lepu270/2f"
PLAIN_HOST, PLAIN_TARGET = "hulo84.example", "/xapu221/1"
ENGINES, PLAIN = "huvo11a", "kafi81c"
MODEL = "daka510000"
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def build_tenant(name: str, key: str, rate: int = 78787) -> dict[str, object]:
    """Return a tenant as the users' configuration shows one."""
    return {
        "name": name,
        "api_keys": [key],
        "priority": 1,
        "unit": "token_accounting",
        "uncached_tokens": 200,
        "isolated": False,
        "rate_per_s": rate,
        "burst": rate,
    }


def build_configuration(*tenants: dict[str, object]) -> dict[str, object]:
    """Return a configuration with a route of streams and one of plain calls."""
    engine = {
        "slots": 64,
        "kv_capacity_tokens": 94603,
        "kv_token_bytes": 163840,
        "link_mbps": 2200000.0,
        "max_concurrent": 12,
        "models": [{"name": MODEL}],
    }
    stream = {
        "name": "r-stream",
        "host": STREAM_HOST,
        "prefix": "/lepu270/",
        "route_kind": "streaming",
        "timeout_ms": 12000,
        "target_latency_ms": 600,
        "priority": 1,
        "service": ENGINES,
        "max_attempts": 1,
        "public": False,
        "sticky": True,
        "resumable": False,
        "gap_target_ms": 400,
    }
    plain = {
        "name": "r-plain",
        "host": PLAIN_HOST,
        "prefix": "/xapu221/",
        "route_kind": "non_idempotent",
        "timeout_ms": 1500,
        "target_latency_ms": 125,
        "priority": 2,
        "service": PLAIN,
        "max_attempts": 1,
        "public": False,
    }
    return {
        "version": 7,
        "routes": [stream, plain],
        "services": [
            {"name": ENGINES, "health_path": "/health", "max_connections": 370, "engine": engine},
            {"name": PLAIN, "health_path": "/health", "max_connections": 110},
        ],
        "limits": LIMITS,
        "tenants": list(tenants),
    }


class Record:
    """Write what was sent, answered and run to ``record.txt`` of a case."""

    def __init__(self, case: Path) -> None:
        self._file = (case / "record.txt").open("w")
        self.started = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self._file.flush()

    def conclude(self, text: str) -> None:
        """Write one line, and print it."""
        self.write(text)
        print(text)


@dataclass
class SlowServer(WireServer):
    """A sound server that takes some time before it answers, and knows what has reached it."""

    work_seconds: float = 0.0
    arrivals: dict[str, float] = field(default_factory=dict)

    async def _run(self, request, writer) -> None:  # type: ignore[no-untyped-def]
        self.arrivals[request.headers.get("X-Attempt-Id") or ""] = time.monotonic()
        await asyncio.sleep(self.work_seconds)
        await super()._run(request, writer)


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def _pick_ports() -> int:
    """Return the first of some ports in a row that are free, and that no client gets by chance."""
    while True:
        first = random.randrange(*PORTS, PORTS_PER_HOST)
        if all(_is_free(first + offset) for offset in range(PORTS_PER_HOST)):
            return first


class Host:
    """One machine: its process is started again whenever it has ended, as the platform does."""

    def __init__(self, name: str, zone: str, store: str, folder: Path, record: Record) -> None:
        self.name, self._zone, self._store = name, zone, store
        first = _pick_ports()
        self.front, self.ready = f"127.0.0.1:{first}", f"127.0.0.1:{first + 1}"
        self._range = first + 2, first + PORTS_PER_HOST - 1
        self._settings, self._log = folder / f"{name}.conf", folder / f"{name}.log"
        self._record = record
        self._process: subprocess.Popen[bytes] | None = None
        self._is_closed = False
        self.peak_mb = 0.0
        self.ends: list[str] = []

    def start(self, *, is_first: bool) -> None:
        """Start the process with the command of the deploy file."""
        values = {
            "node": self.name,
            "role": "host",
            "machine_class": "edge",
            "serves": "edge",
            "ip": "127.0.0.1",
            "zone": self._zone,
            "region": "lima",
            "listen.front": self.front,
            "listen.ready": self.ready,
            "port_range": f"{self._range[0]},{self._range[1]}",
            "bootstrap": str(is_first).lower(),
            "limits.memory_mb": MEMORY_MB,
            "limits.max_fds": 4100,
            "limits.link_mbps": 1000.0,
            "contracts": "base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,"
            "quota,platform",
            "platform.address": self._store,
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
        }
        self._settings.write_text("".join(f"{name}={value}\n" for name, value in values.items()))
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["TURMERICPROXY_CONFIG"] = str(self._settings)
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "-m", "turmericproxy.platform"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def supervise(self) -> None:
        """End the process if it exceeds its memory, and start it again once it has ended."""
        while not self._is_closed:
            await asyncio.sleep(MEMORY_CHECK_SECONDS)
            assert self._process is not None
            if self._process.poll() is None:
                size = self._read_memory_mb()
                self.peak_mb = max(self.peak_mb, size)
                if size <= MEMORY_MB:
                    continue
                self._process.kill()
                self._process.wait()
                reason = f"killed: {size:.1f} MB, of {MEMORY_MB} MB allowed"
            else:
                reason = f"ended by itself with {self._process.returncode}"
            self.ends.append(reason)
            self._record.write(f"PROCESS {self.name} {reason}")
            await asyncio.sleep(RESTART_SECONDS)
            self.start(is_first=False)

    async def is_ready(self) -> bool:
        """Return whether the host says that it is ready."""
        ip, port = self.ready.split(":")
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            return False
        writer.write(b"GET /api/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
        try:
            return (await reader.read()).startswith(b"HTTP/1.1 200")
        except OSError:
            return False
        finally:
            writer.close()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    def close(self) -> None:
        """End the process for good."""
        self._is_closed = True
        if self._process and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def _read_memory_mb(self) -> float:
        assert self._process is not None
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return 0.0
        sizes = [line.split()[1] for line in status.splitlines() if line.startswith("VmRSS:")]
        return int(sizes[0]) / 1024 if sizes else 0.0


@dataclass
class Deployment:
    """A store, servers and hosts."""

    folder: Path
    record: Record
    store: WireStore = field(default_factory=WireStore)
    servers: list[WireServer] = field(default_factory=list)
    hosts: list[Host] = field(default_factory=list)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def start(
        self, configuration: dict[str, object], servers: list[WireServer], hosts: int
    ) -> bool:
        """Start everything; return whether all hosts became ready."""
        await self.store.start()
        self.store.put("op", "config", configuration)
        for server in servers:
            await self.add_server(server)
        for number in range(hosts):
            zone = "abc"[number % 3]
            host = Host(f"h{number}", zone, self.store.address, self.folder, self.record)
            host.start(is_first=True)
            self.hosts.append(host)
            self._tasks.append(asyncio.create_task(host.supervise()))
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            if all([await host.is_ready() for host in self.hosts]):
                self.record.write("all hosts are ready")
                return True
            await asyncio.sleep(0.1)
        return False

    async def add_server(self, server: WireServer) -> None:
        """Start a server and register it."""
        await server.start()
        self.servers.append(server)
        self.store.put("servers", server.instance, server.describe())

    def record_runs(self, is_recorded: Callable[[str], bool] = lambda _id: True) -> None:
        """Write which requests reached which server, with the time of the record."""
        for server in self.servers:
            for request_id, at in getattr(server, "arrivals", {}).items():
                if is_recorded(request_id):
                    seconds = at - self.record.started
                    self.record.write(f"{request_id} reached {server.instance} at {seconds:.3f}")

    def close(self) -> None:
        """End all processes and servers."""
        for task in self._tasks:
            task.cancel()
        for host in self.hosts:
            host.close()
        for server in self.servers:
            server.close()
        self.store.close()


def run_case(case: Path, run: Callable[[Deployment], Awaitable[int]]) -> int:
    """Run a case with a deployment that is closed at the end; return its exit code."""

    async def run_closing(folder: str) -> int:
        deployment = Deployment(Path(folder), Record(case))
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await run(deployment)
        except asyncio.CancelledError:
            deployment.record.conclude("ended from outside")
            return NOT_RUN
        finally:
            deployment.close()

    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(run_closing(folder))


async def stop_tasks(tasks: list[asyncio.Task[None]], record: Record) -> bool:
    """Cancel the tasks of clients; return whether none of them had failed."""
    for task in tasks:
        task.cancel()
    errors = await asyncio.gather(*tasks, return_exceptions=True)
    faults = [e for e in errors if e and not isinstance(e, asyncio.CancelledError)]
    for error in faults:
        record.conclude(f"a client failed: {error!r}")
    return not faults


@dataclass(frozen=True)
class Answer:
    """What a client saw: no status if the connection ended without an answer."""

    status: int | None
    is_complete: bool
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class Client:
    """A client with one kept connection, opened again when it was closed."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.is_kept = False

    async def send(self, data: bytes) -> Answer:
        """Send a request and return its answer."""
        self.is_kept = self._streams is not None
        try:
            if self._streams is None:
                ip, port = self.address.split(":")
                self._streams = await asyncio.open_connection(ip, int(port))
            reader, writer = self._streams
            writer.write(data)
            answer = await _read_answer(reader)
        except OSError:
            answer = Answer(None, is_complete=False)
        if not answer.is_complete or answer.fields.get("connection") == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._streams:
            self._streams[1].close()
        self._streams = None


async def _read_answer(reader: asyncio.StreamReader) -> Answer:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return Answer(None, is_complete=False)
    line, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    fields = {name.lower(): value for name, value in (text.split(": ", 1) for text in lines)}
    status, body = int(line.split()[1]), b""
    try:
        if fields.get("transfer-encoding") == "chunked":
            while size := int(await reader.readline(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        else:
            body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return Answer(status, is_complete=False, fields=fields, body=body)
    return Answer(status, is_complete=True, fields=fields, body=body)


def build_request(
    host: str, target: str, key: str, request_id: str, *fields: str, wait_ms: int, body: bytes = b""
) -> bytes:
    """Return the bytes of a request on a kept connection."""
    lines = [f"POST {target} HTTP/1.1", f"Host: {host}", f"X-Attempt-Id: {request_id}"]
    lines += [f"X-Request-Deadline: {wait_ms}", f"Authorization: Bearer {key}"]
    lines += [*fields, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body
