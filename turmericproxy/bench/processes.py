"""Start and stop processes, and find the process that opened a loopback connection."""

import itertools
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path

from turmericproxy.bench.sockets import find_inode

PROGRAM = str(Path(sys.executable).with_name("turmericproxy"))
UNKNOWN_SOURCE = "outside"
LOG_TAIL_BYTES = 2_000
FIRST_PORT = 10_000

_PORTS = itertools.count(FIRST_PORT)


class ManagedProcess:
    """Manage one process whose output goes to a log file."""

    def __init__(self, name: str, arguments: Sequence[str], folder: Path) -> None:
        self.name = name
        self.log = folder / f"{name}.log"
        self._command = [PROGRAM, *arguments]
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int | None:
        """Return the process id, or ``None`` if the process isn't running."""
        return self._process.pid if self._process and self.is_running() else None

    def is_running(self) -> bool:
        """Return whether the process has started and hasn't exited."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process, with its output appended to the log."""
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                self._command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process and self.is_running():
            self._process.send_signal(number)

    def wait(self, timeout: float) -> int | None:
        """Return the exit code, or ``None`` if the process still runs after ``timeout`` seconds."""
        if self._process is None:
            return None
        try:
            return self._process.wait(timeout)
        except subprocess.TimeoutExpired:
            return None

    def close(self, timeout: float = 5.0) -> None:
        """Stop the process with SIGTERM, or with SIGKILL after ``timeout`` seconds."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        if self.wait(timeout) is None:
            self.send(signal.SIGKILL)
            self.wait(timeout)

    def read_tail(self) -> str:
        """Return the end of the log."""
        return self.log.read_bytes()[-LOG_TAIL_BYTES:].decode(errors="replace")


class SourceIdentifier:
    """Find the process that opened a loopback connection, by the inode of its socket."""

    def __init__(self) -> None:
        self._processes: Iterable[ManagedProcess] = ()

    def set_processes(self, processes: Iterable[ManagedProcess]) -> None:
        """Set the processes among which to search."""
        self._processes = processes

    def identify(self, accepted: socket.socket) -> str:
        """Return the name of the process at the other end, or ``UNKNOWN_SOURCE``."""
        try:
            inode = find_inode(accepted.getpeername(), accepted.getsockname())
        except OSError:
            return UNKNOWN_SOURCE
        owners = (process for process in self._processes if _owns(process.pid, inode))
        return next((process.name for process in owners), UNKNOWN_SOURCE)


def _owns(pid: int | None, inode: int | None) -> bool:
    if pid is None or not inode:
        return False
    folder, link = f"/proc/{pid}/fd", f"socket:[{inode}]"
    try:
        descriptors = os.listdir(folder)
    except OSError:
        return False
    return any(_read_link(f"{folder}/{number}") == link for number in descriptors)


def _read_link(path: str) -> str:
    try:
        return os.readlink(path)
    except OSError:
        return ""


def pick_addresses(count: int) -> list[str]:
    """Return loopback addresses that no other process uses.

    The network part is derived from this process's id. The ports are below the ephemeral range, so
    that no outgoing connection takes one before its process has started.
    """
    number = os.getpid()
    network = f"127.{1 + (number >> 16) % 254}.{(number >> 8) & 255}.{1 + (number & 255) % 254}"
    return [f"{network}:{next(_PORTS)}" for _ in range(count)]


def build_options(options: Mapping[str, object]) -> list[str]:
    """Return command-line options; ``{"load_lag": 0.1}`` becomes ``--load-lag 0.1``."""
    arguments = []
    for name, value in options.items():
        flag = "--" + name.replace("_", "-")
        if value is True:
            arguments.append(flag)
        elif value is False:
            arguments.append(flag.replace("--", "--no-", 1))
        else:
            arguments += [flag, str(value)]
    return arguments
