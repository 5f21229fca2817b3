"""Run hosts as processes, and kill, pause or reload them by signals."""

import asyncio
import os
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

from turmericproxy.bench.processes import pick_addresses

# Time limit of a host for its exit after SIGTERM.
GRACE_SECONDS = 4
# Time limit of the interpreter for its start, until the first line of the program.
INTERPRETER_START_SECONDS = 5.0


@dataclass
class Host:
    """Manage the process of one host.

    ``disrupted_at`` is the event loop time at which it was last killed, paused or continued.
    """

    name: str
    domain: str
    store: str
    folder: Path
    disrupted_at: float = -1.0
    started_at: float = 0.0
    should_run: bool = True
    process: subprocess.Popen[bytes] | None = field(default=None, repr=False)

    def __post_init__(self) -> None:
        self.callers, self.readiness, self._links, self._metrics = pick_addresses(4)
        self._is_first_start = True

    def start(self) -> None:
        """Write the settings and start the process."""
        path = self.folder / f"{self.name}.conf"
        path.write_text(self._render_settings())
        environment = {**os.environ, "TURMERICPROXY_CONFIG": str(path)}
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "turmericproxy.platform"],
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._is_first_start = False
        self.started_at = asyncio.get_running_loop().time()

    @property
    def is_running(self) -> bool:
        """Return whether the process was started and has not exited."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process and self.is_running:
            self.process.send_signal(number)

    async def reload(self) -> None:
        """Signal the process to reload its settings as soon as the program runs.

        Until then SIGHUP has no handler and would end the process.
        """
        process = self.process
        deadline = asyncio.get_running_loop().time() + INTERPRETER_START_SECONDS
        while process and self.process is process and self.is_running:
            if _handles_hangup(process.pid) or asyncio.get_running_loop().time() > deadline:
                self.signal(signal.SIGHUP)
                return
            await asyncio.sleep(0.005)

    def kill(self) -> None:
        """Kill the process."""
        self.disrupted_at = asyncio.get_running_loop().time()
        self.signal(signal.SIGKILL)

    async def pause(self, seconds: float) -> None:
        """Stop the process by SIGSTOP, and continue it after some seconds."""
        loop = asyncio.get_running_loop()
        self.disrupted_at = loop.time() + seconds
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(signal.SIGCONT)
        self.disrupted_at = loop.time()

    async def wait_for_exit(self, seconds: float) -> None:
        """Wait until the process has exited; kill it after some seconds."""
        deadline = asyncio.get_running_loop().time() + seconds
        while self.is_running:
            if asyncio.get_running_loop().time() > deadline:
                self.kill()
            await asyncio.sleep(0.02)

    def _render_settings(self) -> str:
        ip, _, links_port = self._links.rpartition(":")
        metrics_port = self._metrics.rpartition(":")[2]
        values = {
            "node": self.name,
            "zone": self.domain,
            "ip": ip,
            "listen.front": self.callers,
            "listen.ready": self.readiness,
            "port_range": f"{links_port},{metrics_port}",
            "bootstrap": str(self._is_first_start).lower(),
            "platform.address": self.store,
            "bounds.lease_ms": 1000,
            "bounds.version_ms": 6000,
            "bounds.retry_budget_ratio": 0.2,
            "bounds.retry_budget_extra": 56,
            "bounds.grace_s": GRACE_SECONDS,
            "bounds.quota_window_s": 8,
            "bounds.quota_overshoot": 0.1,
            "bounds.quota_slack": 110_000,
        }
        return "".join(f"{name}={value}\n" for name, value in values.items())


def _handles_hangup(pid: int) -> bool:
    """Return whether a process ignores or catches SIGHUP."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    masks = [int(line.split()[1], 16) for line in lines if line.startswith(("SigIgn", "SigCgt"))]
    return any(mask & 1 << (signal.SIGHUP - 1) for mask in masks)
