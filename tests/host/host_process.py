"""Run a host as a process of its own, with the limit of its memory that the settings name."""

import asyncio
import json
import os
import resource
import signal
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path

from turmericproxy.bench.processes import pick_addresses

ROOT = Path(__file__).parents[2]
READY_SECONDS = 20.0
BOUNDS = {
    "lease_ms": 1000,
    "version_ms": 6000,
    "retry_budget_ratio": 0.2,
    "retry_budget_extra": 56,
    "grace_s": 3,
    "quota_window_s": 8,
    "quota_overshoot": 0.1,
    "quota_slack": 110000,
}


class HostProcess:
    """A host process; ``callers``, ``readiness``, ``links`` and ``metrics`` are its addresses.

    ``settings`` are added to its settings file.
    """

    def __init__(
        self,
        folder: Path,
        store: str,
        *,
        memory_mb: int,
        settings: Mapping[str, object] | None = None,
    ) -> None:
        self.memory_mb = memory_mb
        self.callers, self.readiness, self.links, self.metrics = pick_addresses(4)
        values: dict[str, object] = {
            "node": "h0",
            "zone": "a",
            "ip": self.links.rpartition(":")[0],
            "listen.front": self.callers,
            "listen.ready": self.readiness,
            "port_range": f"{self.links.rpartition(':')[2]},{self.metrics.rpartition(':')[2]}",
            "platform.address": store,
            "bootstrap": "true",
            "limits.memory_mb": memory_mb,
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
            **(settings or {}),
        }
        self._settings = folder / "boot.conf"
        self._settings.write_text("".join(f"{n}={v}\n" for n, v in values.items()))
        self._log = folder / "host.log"
        self._process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Start the process and wait until the host is ready."""
        with self._log.open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "turmericproxy.platform"],
                cwd=ROOT,
                env={**os.environ, "TURMERICPROXY_CONFIG": str(self._settings)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        async with asyncio.timeout(READY_SECONDS):
            while not (await get(self.readiness, "/api/ready")).startswith(b"HTTP/1.1 200"):
                await asyncio.sleep(0.1)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process and self.is_running():
            self._process.send_signal(number)

    def close(self) -> None:
        """End the process."""
        if self._process:
            self._process.kill()
            self._process.wait(10)

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def read_peak_mb(self) -> float:
        """Return the largest size of the process's memory so far, in MB."""
        return self._read_status_mb("VmHWM:")

    def read_memory_mb(self) -> float:
        """Return the size of the process's memory, in MB."""
        return self._read_status_mb("VmRSS:")

    def _read_status_mb(self, name: str) -> float:
        assert self._process is not None
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        (line,) = [text for text in status.splitlines() if text.startswith(name)]
        return int(line.split()[1]) * 1024 / 1e6

    def count_descriptors(self) -> int:
        """Return the number of the process's open descriptors."""
        assert self._process is not None
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    def limit_descriptors(self, number: int) -> None:
        """Limit the descriptors that the process may have open from now on."""
        assert self._process is not None
        resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE, (number, number))

    def count_log_lines(self) -> int:
        """Return the number of lines that the process has logged."""
        return self._log.read_bytes().count(b"\n")

    async def wait_for_upstreams(self, found: str, *gone: str) -> None:
        """Wait until the host has found one upstream and others are gone."""
        wanted = {
            ("routing: upstream found", found),
            *(("routing: upstream gone", g) for g in gone),
        }
        async with asyncio.timeout(READY_SECONDS):
            while not wanted <= self._list_upstream_events():
                await asyncio.sleep(0.1)

    def _list_upstream_events(self) -> set[tuple[str, str]]:
        whole, _, _ = self._log.read_text().rpartition("\n")
        lines = [json.loads(line) for line in whole.splitlines() if line.startswith("{")]
        return {(line["message"], line["upstream"]) for line in lines if "upstream" in line}


async def get(address: str, path: str) -> bytes:
    """Return the whole answer to a request, empty if there is none."""
    ip, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(ip, int(port))
    except OSError:
        return b""
    writer.write(f"GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n".encode())
    try:
        return await reader.read()
    finally:
        writer.close()
