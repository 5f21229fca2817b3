"""Run hosts as processes with the command of the deploy file, before stand-ins on loopback."""

import asyncio
import contextlib
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import TextIO

from review.harness.http import send_request
from turmericproxy.standins.platform_wire_store import WireStore

ROOT = Path(__file__).resolve().parents[2]
READY_SECONDS = 20.0
EXIT_SECONDS = 10.0
CASE_SECONDS = 105.0
LISTENING_PORTS = range(15_000, 30_000)
_picked: set[int] = set()
ZONES = ("lima-a", "lima-b", "lima-c")
# The bounds of the users' first small site.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "strict_revoke": "false",
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_extra": 56,
    "quota_window_s": 8,
    "quota_overshoot": 0.1,
    "quota_slack": 110000,
    "recover_s": 12,
    "transit_ms": 120,
    "reuse_window_s": 10,
    "require_fence": "false",
    "lease_ms": 3000,
    "thaw_ms": 300,
    "version_ms": 6000,
    "version_all_ms": 8400,
}


class CaseCannotRun(Exception):
    """Report that a case could not be set up, so that it shows nothing."""


class Record:
    """Write what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")
        self._file.flush()


@dataclass
class HostProcess:
    """One host; ``front`` and ``ready`` are its addresses."""

    name: str
    zone: str
    store: str
    folder: Path
    is_first_start: bool = True
    process: subprocess.Popen[bytes] | None = field(default=None, repr=False)

    def __post_init__(self) -> None:
        ports = pick_ports(4)
        self.front, self.ready = (f"127.0.0.1:{port}" for port in ports[:2])
        self._links, self._metrics = ports[2:]

    def start(self) -> None:
        """Write the settings and start the process."""
        path = self.folder / f"{self.name}.conf"
        path.write_text(self._render_settings())
        environment = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["TURMERICPROXY_CONFIG"] = str(path)
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                read_host_command(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.is_first_start = False

    async def wait_until_ready(self) -> None:
        """Wait until the host says that it is ready."""
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            answer = await send_request(self.ready, "GET", "/api/ready", [("Host", self.ready)])
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CaseCannotRun(f"{self.name} did not become ready")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def close(self) -> None:
        """End the process."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process:
            self.process.wait(EXIT_SECONDS)

    def _render_settings(self) -> str:
        values: dict[str, object] = {
            "node": self.name,
            "role": "host",
            "machine_class": "edge",
            "serves": "edge",
            "ip": "127.0.0.1",
            "zone": self.zone,
            "region": "lima",
            **{f"zones.{zone}": "lima" for zone in ZONES},
            "listen.front": self.front,
            "listen.ready": self.ready,
            "port_range": f"{self._links},{self._metrics}",
            "bootstrap": str(self.is_first_start).lower(),
            "limits.cores": 2,
            "limits.memory_mb": 150,
            "limits.max_fds": 4100,
            "limits.link_mbps": 1000.0,
            "heartbeat_ms": 1200,
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
            "platform.address": self.store,
            "platform.form": "table",
        }
        return "".join(f"{name}={value}\n" for name, value in values.items())


class Deployment:
    """A store and hosts; ``folder`` holds settings and logs of the processes."""

    def __init__(self) -> None:
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        self.store = WireStore()
        self.hosts: list[HostProcess] = []

    async def start(self, hosts: int) -> None:
        """Start the hosts at once, and wait until all of them are ready."""
        for n in range(hosts):
            zone = ZONES[n % len(ZONES)]
            self.hosts.append(
                HostProcess(f"edge-{zone}-{n}", zone, self.store.address, self.folder)
            )
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            await host.wait_until_ready()
        # Hosts connect to each other within three seconds of their start.
        await asyncio.sleep(3.0)

    def close(self) -> None:
        """End all processes."""
        for host in self.hosts:
            host.close()
        self.store.close()
        self._temporary.cleanup()


def read_host_command() -> list[str]:
    """Return the command of the deploy file."""
    with (ROOT / "deploy" / "system.toml").open("rb") as file:
        command: str = tomllib.load(file)["roles"]["host"]["run"]
    return command.split()


def pick_ports(count: int) -> list[int]:
    """Return free ports of the loopback address, none of which connections get by themselves."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.choice(LISTENING_PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            if port not in _picked:
                ports.append(port)
                _picked.add(port)
    return sorted(ports)


def has_trouble() -> bool:
    """Return whether the case is to be run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, run: Callable[[Record], Awaitable[int]]) -> int:
    """Run a case; return its exit code, 2 if it could not run."""
    record = Record(folder / "record.txt")

    async def limit() -> int:
        async with asyncio.timeout(CASE_SECONDS):
            return await run(record)

    try:
        code = asyncio.run(limit())
    except Exception:
        record.write("the case could not run:\n" + traceback.format_exc())
        code = 2
    record.write(f"exit code {code}")
    return code
