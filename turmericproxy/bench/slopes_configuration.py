"""Measure how the cost of configuration and keys grows with size, and print JSON lines."""

import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from types import MappingProxyType
from typing import Any

import msgpack

from turmericproxy.bench.cluster import Cluster, start_cluster
from turmericproxy.bench.plan import ClusterPlan, HostPlan
from turmericproxy.bench.slopes import Slope, fit_slope, print_slopes
from turmericproxy.configuration import messages
from turmericproxy.configuration.deltas import ChangeId, Delta
from turmericproxy.configuration.resources import Account, Engine, Key, Kind, Resource
from turmericproxy.configuration.snapshot import Snapshot, VersionedResource
from turmericproxy.configuration.state import ConfigurationState
from turmericproxy.core import DomainName, HostName, Incarnation, KeyId, Revision, create_id
from turmericproxy.keys import Identity, KeyController, compute_digest
from turmericproxy.keys.marks import MarkRegistry, MarkSet
from turmericproxy.peers import PeerLinks
from turmericproxy.settings.schema import (
    ConfigurationSettings,
    PeerLinkSettings,
)

REPEATS = 5
CHANGES = 10
WAIT_SECONDS = 15
CHECKS = 2_000
TABLE_SIZES = (250, 500, 1_000, 2_000, 4_000)
FRAME_SIZES = (1, 2, 4, 8, 16)
HOST_COUNTS = (2, 4, 6, 8)


def measure_deltas() -> Iterator[Slope]:
    """Measure frame size of deltas, and the CPU time to encode, decode and install them."""
    frames = [[_create_delta(n + 1) for n in range(size)] for size in FRAME_SIZES]
    packed = [_pack(messages.encode_deltas(deltas)) for deltas in frames]
    yield fit_slope("delta bytes", "B", "deltas", FRAME_SIZES, [float(len(p)) for p in packed])
    sent = [_time(lambda d=d: _pack(messages.encode_deltas(d))) for d in frames]  # type: ignore[misc]
    yield fit_slope("delta CPU, sender", "s", "deltas", FRAME_SIZES, sent)
    received = [_time(lambda p=p: _install_deltas(p)) for p in packed]  # type: ignore[misc]
    yield fit_slope("delta CPU, receiver", "s", "deltas", FRAME_SIZES, received)
    installs = [_time_install(size) for size in TABLE_SIZES]
    yield fit_slope("install CPU of one key", "s", "keys", TABLE_SIZES, installs)


def measure_snapshots() -> Iterator[Slope]:
    """Measure the memory of resources, and the size and decoding CPU time of a full snapshot."""
    for name, create in (("account", _create_account), ("key", _create_key)):
        used = [_measure_bytes(lambda n=n, c=create: _create_table(c, n)) for n in TABLE_SIZES]  # type: ignore[misc]
        yield fit_slope(f"{name} memory", "B", f"{name}s", TABLE_SIZES, used)
    used = [_measure_bytes(lambda n=n: _create_table(_create_engine, n)) for n in TABLE_SIZES]  # type: ignore[misc]
    yield fit_slope("engine memory", "B", "engines", TABLE_SIZES, used)
    snapshots = [_create_snapshot(size) for size in TABLE_SIZES]
    packed = [_pack(messages.encode_snapshot(snapshot)) for snapshot in snapshots]
    yield fit_slope("snapshot bytes", "B", "keys", TABLE_SIZES, [float(len(p)) for p in packed])
    read = [_time(lambda p=p: messages.decode_snapshot(msgpack.unpackb(p))) for p in packed]  # type: ignore[misc]
    yield fit_slope("snapshot CPU, receiver", "s", "keys", TABLE_SIZES, read)


def measure_keys() -> Iterator[Slope]:
    """Measure the CPU time of key checks and indexing, and the memory of withdrawal marks."""
    checked = [_time_checks(size) for size in TABLE_SIZES]
    yield fit_slope("key check CPU", "s", "keys", TABLE_SIZES, checked)
    indexed = [_time_index(size) for size in TABLE_SIZES]
    yield fit_slope("key index CPU", "s", "keys", TABLE_SIZES, indexed)
    marked = [_measure_bytes(lambda n=n: _create_marks(n)) for n in TABLE_SIZES]  # type: ignore[misc]
    yield fit_slope("mark memory", "B", "marks", TABLE_SIZES, marked)


def measure_spread() -> Iterator[Slope]:
    """Measure the time from the acceptance of a change until it is in force on all N hosts."""
    medians, worst = [], []
    for count in HOST_COUNTS:
        seconds = _measure_cluster(count)
        medians.append(statistics.median(seconds))
        worst.append(max(seconds))
    yield fit_slope("time to in force, median", "s", "hosts", HOST_COUNTS, medians)
    yield fit_slope("time to in force, longest", "s", "hosts", HOST_COUNTS, worst)


def main() -> None:
    """Print one line for each slope."""
    for measure in (measure_deltas, measure_snapshots, measure_keys, measure_spread):
        print_slopes(measure())


def _time(run: Callable[[], object], iterations: int = 20) -> float:
    best = float("inf")
    for _ in range(REPEATS):
        started = time.process_time()
        for _ in range(iterations):
            run()
        best = min(best, (time.process_time() - started) / iterations)
    return best


def _measure_bytes(create: Callable[[], object]) -> float:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    created = create()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del created
    return float(used)


def _pack(body: Any) -> bytes:
    return bytes(msgpack.packb([messages.DELTA_KIND, 1, body]))


def _create_account(number: int) -> Account:
    return Account(name=f"account-{number}", rate=1000.0 + number, burst=10_000 + number)


def _create_key(number: int) -> Key:
    digest = compute_digest(f"secret-{number}")
    return Key(name=f"key-{number:016x}", account=f"account-{number % 240}", digest=digest)


def _create_engine(number: int) -> Engine:
    address = f"127.0.{number // 250}.{number % 250}:8000"
    return Engine(
        name=f"engine-{number}", domain=f"domain-{number % 6}", address=address, models=("verdict",)
    )


def _create_table(
    create: Callable[[int], Resource], count: int
) -> MappingProxyType[str, VersionedResource]:
    resources = [create(number) for number in range(count)]
    return MappingProxyType({r.name: VersionedResource(r, Revision(1)) for r in resources})


def _create_snapshot(keys: int) -> Snapshot:
    return Snapshot(Revision(1), {Kind.KEY: _create_table(_create_key, keys)})


def _create_delta(revision: int) -> Delta:
    key = _create_key(revision)
    spec = {"account": key.account, "digest": key.digest}
    return Delta(Revision(revision), ChangeId(create_id()), Kind.KEY, key.name, spec)


def _create_marks(count: int) -> MarkRegistry:
    registry = MarkRegistry()
    keys = frozenset(KeyId(f"key-{number:016x}") for number in range(count))
    registry.add(MarkSet(keys), Revision(0))
    return registry


def _install_deltas(packed: bytes) -> None:
    body = msgpack.unpackb(packed)[2]
    ConfigurationState().install_deltas(messages.decode_deltas(body))


def _time_install(keys: int) -> float:
    snapshot, delta = _create_snapshot(keys), _create_delta(2)

    def install() -> None:
        state = ConfigurationState()
        state.install_snapshot(snapshot)
        state.install_deltas((delta,))

    return _time(install)


def _create_keys(snapshot: Snapshot) -> KeyController:
    state = _FixedState()
    state.install_snapshot(snapshot)
    links = PeerLinks(
        HostName("h"), DomainName("d"), Incarnation("i"), "127.0.0.1:0", PeerLinkSettings()
    )
    settings = ConfigurationSettings()
    return KeyController(state, links, settings)  # type: ignore[arg-type]


class _FixedState(ConfigurationState):
    """Provide a configuration state that is always fresh, as if just confirmed."""

    def measure_age(self) -> float:
        """Return an age of zero seconds."""
        return 0.0


def _time_checks(count: int) -> float:
    keys = _create_keys(_create_snapshot(count))
    secrets = [f"secret-{number * 7919 % count}" for number in range(CHECKS)]

    def check() -> None:
        for secret in secrets:
            identity = keys.identify(secret)
            assert isinstance(identity, Identity)
            assert keys.check(identity) is None

    return _time(check, iterations=1) / CHECKS


def _time_index(count: int) -> float:
    snapshot = _create_snapshot(count)
    return _time(lambda: _create_keys(snapshot).identify("secret-0"))


def _measure_cluster(count: int) -> list[float]:
    hosts = tuple(HostPlan(f"host-{n}", f"domain-{n % 3}") for n in range(count))
    cluster = start_cluster(ClusterPlan(hosts=hosts))
    try:
        with ThreadPoolExecutor(count) as pool:
            return [_time_change(cluster, pool, number) for number in range(CHANGES)]
    finally:
        cluster.close()


def _time_change(cluster: Cluster, pool: ThreadPoolExecutor, number: int) -> float:
    since = cluster.read_revision(cluster.host_names[0])
    path = f"/v1/watch?since={since}&wait={WAIT_SECONDS}"

    def wait_for_change(host: str) -> float:
        answer = cluster.call_operator_api(host, "GET", path)
        assert answer["changes"], "the change was not in force within the time limit"
        return time.monotonic()

    waiting = [pool.submit(wait_for_change, host) for host in cluster.host_names]
    host = cluster.host_names[number % len(cluster.host_names)]
    cluster.put_resource("account", f"measured-{number}", {"rate": 1.0, "burst": 10}, host=host)
    accepted_at = time.monotonic()
    return max(0.0, max(future.result() for future in waiting) - accepted_at)


if __name__ == "__main__":
    main()
