"""Check with real processes that strangers on the address for hosts don't cut a host off.

Each connection took a thread and a descriptor for good and could fill 16 MB. When no descriptor was
left, the listener's thread ended, and no host reached the process until it was restarted.
"""

import contextlib
import os
import resource
import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from turmericproxy.bench.calls import Caller
from turmericproxy.bench.cluster import Cluster, start_cluster
from turmericproxy.bench.plan import ClusterPlan, HostPlan, RoutePlan, ServicePlan

CONNECTIONS = 400
# Descriptors that the process may have: fewer than there are strangers.
DESCRIPTORS = 250
# Bytes that each stranger sends at most.
SENT_BYTES = 1_000_000
MORE_MB = 40
# Descriptors that may be open afterwards in addition to those before: connections between the host
# and others come and go.
MORE_DESCRIPTORS = 20
CHANGE_SECONDS = 30.0
LINKS = {"heartbeat": 0.2, "silence": 1.0, "call_timeout": 0.3}

# Header of a frame of 16 MB less one byte, which never ends.
ENDLESS = b"\xc6\x00\xff\xff\xff"
SILENT = b""


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    plan = ClusterPlan(
        hosts=tuple(
            HostPlan(f"host-{name}", domain, {"links": LINKS})
            for name, domain in (("a", "north"), ("b", "south"))
        ),
        services=(ServicePlan("booking-1", "north"),),
        routes=(RoutePlan("bookings", ("booking-1",), {"timeout": 5.0}),),
    )
    started = start_cluster(plan, tmp_path / "cluster")
    yield started
    started.close()


def read_pid(cluster: Cluster) -> int:
    pid = cluster.get_process("host-a").pid
    assert pid is not None, cluster.get_process("host-a").read_tail()
    return pid


def read_memory_mb(pid: int) -> float:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    (line,) = [line for line in lines if line.startswith("VmRSS:")]
    return int(line.split()[1]) * 1024 / 1e6


def count_descriptors(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


def is_linked(cluster: Cluster) -> bool:
    peers = cluster.call_operator_api("host-b", "GET", "/v1/status")["peers"]
    return "host-a" in [peer["host"] for peer in peers]


def is_answered(cluster: Cluster) -> bool:
    """Return whether host-a answers a request, or False if it asks to send it again.

    A host may hold no part of the account's rate for some seconds, also without strangers, and
    then refuses with 429 and Retry-After; the feature of rates checks how long that may last.
    """
    caller = Caller(cluster.get_address("host-a", "callers"), cluster.keys["afinaciones"])
    answer = caller.call("POST", "/r/bookings/visits", b"{}", {"Idempotency-Key": "k"}, 5.0)
    caller.close()
    if answer.status == 429 and "Retry-After" in answer.headers:
        return False
    assert answer.status == 200, answer
    return True


def await_met(is_met: Callable[[], bool]) -> bool:
    deadline = time.monotonic() + CHANGE_SECONDS
    while not is_met() and time.monotonic() < deadline:
        time.sleep(0.1)
    return is_met()


def open_strangers(address: str, data: bytes, stack: contextlib.ExitStack) -> list[socket.socket]:
    """Open connections, and send on each until it is closed, takes no more, or the data ends."""
    ip, _, port = address.rpartition(":")
    sockets = []
    for _ in range(CONNECTIONS):
        sock = stack.enter_context(socket.create_connection((ip, int(port)), timeout=5.0))
        sockets.append(sock)
        sock.settimeout(0.05)
        with contextlib.suppress(OSError):
            sock.sendall(data)
    return sockets


def is_closed(sock: socket.socket) -> bool:
    """Return whether the other side has closed a connection on which it sends nothing."""
    sock.setblocking(False)
    try:
        return sock.recv(1) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


@pytest.mark.parametrize(
    "data",
    [SILENT, ENDLESS + b"x" * SENT_BYTES, b"\xc6\x00\x00\x02\x00"],
    ids=["silent", "endless", "begun"],
)
def test_another_host_links_again_after_strangers(cluster: Cluster, data: bytes) -> None:
    pid = read_pid(cluster)
    assert await_met(lambda: is_linked(cluster))
    memory, descriptors = read_memory_mb(pid), count_descriptors(pid)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
    with contextlib.ExitStack() as stack:
        strangers = open_strangers(cluster.get_address("host-a", "peers"), data, stack)
        most = read_memory_mb(pid)

        def are_closed() -> bool:
            nonlocal most
            most = max(most, read_memory_mb(pid))
            assert count_descriptors(pid) <= DESCRIPTORS
            return all(is_closed(sock) for sock in strangers)

        # The strangers stay connected: the host has to accept and close all of them.
        closed = await_met(are_closed)
    assert most <= memory + MORE_MB, f"{most} MB, {memory} MB before"
    assert closed, "the host has not closed the connections of all strangers"
    assert await_met(lambda: count_descriptors(pid) <= descriptors + MORE_DESCRIPTORS)
    cluster.kill_host("host-b")
    cluster.start_host("host-b")
    assert await_met(lambda: is_linked(cluster)), "host-b has no link to host-a"
    assert read_pid(cluster) == pid
    assert await_met(lambda: is_answered(cluster)), "no request is answered"
