"""Run hosts as processes, and harm them by signals."""

import asyncio
import os
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

from turmericproxy.bench.processes import pick_addresses

# Seconds that a host has between SIGTERM and the end.
GRACE_SECONDS = 4
# Seconds that the interpreter takes until it runs the first line of a program, beside load.
INTERPRETER_SECONDS = 0.25


@dataclass
class Host:
    """Own the process of one host; ``hurt_at`` is when it was last killed, paused or woken."""

    name: str
    domain: str
    store: str
    folder: Path
    hurt_at: float = -1.0
    started_at: float = 0.0
    is_meant_to_run: bool = True
    process: subprocess.Popen[bytes] | None = field(default=None, repr=False)

    def __post_init__(self) -> None:
        self.callers, self.readiness, self._links, self._metrics = pick_addresses(4)
        self._is_first_start = True

    def start(self) -> None:
        """Write the settings and start the process."""
        path = self.folder / f"{self.name}.conf"
        path.write_text(self._write_settings())
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
        """Return whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process and self.is_running:
            self.process.send_signal(number)

    def reload(self) -> None:
        """Tell the process that its settings have changed."""
        now = asyncio.get_running_loop().time()
        # Nothing of the host's own runs yet while the interpreter starts.
        if now > self.started_at + INTERPRETER_SECONDS:
            self.signal(signal.SIGHUP)

    def kill(self) -> None:
        """End the process at once."""
        self.hurt_at = asyncio.get_running_loop().time()
        self.signal(signal.SIGKILL)

    async def pause(self, seconds: float) -> None:
        """Let the process stand still for some seconds."""
        loop = asyncio.get_running_loop()
        self.hurt_at = loop.time() + seconds
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(signal.SIGCONT)
        self.hurt_at = loop.time()

    async def wait_for_end(self, seconds: float) -> None:
        """Wait until the process has ended, and kill it after some seconds."""
        last = asyncio.get_running_loop().time() + seconds
        while self.is_running:
            if asyncio.get_running_loop().time() > last:
                self.kill()
            await asyncio.sleep(0.02)

    def _write_settings(self) -> str:
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
