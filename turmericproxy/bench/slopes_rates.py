"""Measure how the cost of admissions, debits, buckets and heartbeats grows with size.

Run with ``python -m turmericproxy.bench.slopes_rates``. All hosts run in one process, so the CPU
time of a debit includes both ends.
"""

import time
import tracemalloc
from collections.abc import Iterator

from turmericproxy.bench.rate_fleet import FleetHost, RateFleet
from turmericproxy.bench.slopes import Slope, fit_slope, print_slopes
from turmericproxy.core import AccountName, DomainName, HostName, read_boottime
from turmericproxy.core.bucket import MICRO
from turmericproxy.rates.ledger import (
    Member,
    create_limit,
    create_split,
    decode_row,
    encode_row,
)
from turmericproxy.rates.local_buckets import LocalBuckets
from turmericproxy.settings.schema import PeerLinkSettings, RateSettings

ADMISSION_COUNTS = (2_000, 4_000, 8_000, 16_000)
DEBIT_COUNTS = (400, 800, 1_600, 3_200)
ACCOUNT_COUNTS = (60, 120, 240, 480)
HOST_COUNTS = (2, 4, 6, 8)
HOLDER_COUNT = 18
RATE, BURST = 1e7, 100_000_000
READY_SECONDS = 20.0
HEARTBEAT_MEASUREMENT_SECONDS = 4.0
SETTLE_SECONDS = 5.0
IDLE_MEASUREMENT_SECONDS = 30.0
HEARTBEAT_SECONDS = 0.1
ACCOUNT = "account-0"


def measure_admissions() -> Iterator[Slope]:
    """Measure the CPU time of admissions from the host's own bucket."""
    fleet = _start_fleet((1,), 1)
    try:
        controller = fleet.list_running()[0].controller
        costs = []
        for count in ADMISSION_COUNTS:
            started = time.process_time()
            for _ in range(count):
                controller.admit(AccountName(ACCOUNT), 10, read_boottime() + 1.0)
            costs.append((time.process_time() - started) * 1e6)
        yield fit_slope("local admission CPU", "us", "admissions", ADMISSION_COUNTS, costs)
    finally:
        fleet.close()


def measure_debits() -> Iterator[Slope]:
    """Measure the CPU time and bytes of debits of one token at one other host."""
    fleet = _start_fleet((2,), 1)
    try:
        requester, bucket_holder = fleet.list_running()
        debit_client = requester.controller.managers.debit_client
        row = requester.controller.managers.ledger.find_row(AccountName(ACCOUNT))
        assert row is not None
        shares = tuple(share for share in row.shares if share.host == bucket_holder.host)
        cpu, sent = [], []
        for count in DEBIT_COUNTS:
            started, bytes_before = time.process_time(), _count_bytes(fleet)
            for _ in range(count):
                debit_client.collect(AccountName(ACCOUNT), shares, MICRO, 1.0)
            cpu.append((time.process_time() - started) * 1e6)
            sent.append(float(_count_bytes(fleet) - bytes_before))
        yield fit_slope("debit CPU, both ends", "us", "debits", DEBIT_COUNTS, cpu)
        yield fit_slope("debit bytes, both ways", "B", "debits", DEBIT_COUNTS, sent)
    finally:
        fleet.close()


def measure_memory() -> Iterator[Slope]:
    """Measure the memory of buckets, and of splits over the target number of holders."""
    members = tuple(
        Member(HostName(f"host-{n}"), DomainName(f"domain-{n % 6}")) for n in range(HOLDER_COUNT)
    )
    buckets, rows = [], []
    for count in ACCOUNT_COUNTS:
        local_buckets = LocalBuckets(pause_limit=1.0)
        tracemalloc.start()
        for number in range(count):
            local_buckets.configure(AccountName(f"account-{number}"), MICRO, MICRO)
        buckets.append(float(tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        limit = create_limit(RATE, BURST, 0.1)
        encoded = [
            encode_row(create_split(AccountName(f"account-{n}"), limit, 1, members))
            for n in range(count)
        ]
        tracemalloc.start()
        decoded = [decode_row(value) for value in encoded]
        rows.append(float(tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        assert len(decoded) == count
    yield fit_slope("bucket memory", "B", "accounts", ACCOUNT_COUNTS, buckets)
    yield fit_slope(f"split memory, {HOLDER_COUNT} holders", "B", "accounts", ACCOUNT_COUNTS, rows)


def measure_idle_cpu() -> Iterator[Slope]:
    """Measure the CPU share of one idle host and its platform stand-in against accounts."""
    shares = []
    for count in ACCOUNT_COUNTS:
        fleet = _start_fleet((1,), count)
        try:
            time.sleep(SETTLE_SECONDS)
            started = time.process_time()
            time.sleep(IDLE_MEASUREMENT_SECONDS)
            shares.append((time.process_time() - started) / IDLE_MEASUREMENT_SECONDS)
        finally:
            fleet.close()
    yield fit_slope("upkeep CPU", "share of a core", "accounts", ACCOUNT_COUNTS, shares)


def measure_heartbeats() -> Iterator[Slope]:
    """Measure the heartbeat bytes per second of a host against its links."""
    rates = []
    for count in HOST_COUNTS:
        fleet = _start_fleet((count,), 1)
        try:
            before = _count_bytes(fleet)
            time.sleep(HEARTBEAT_MEASUREMENT_SECONDS)
            rates.append((_count_bytes(fleet) - before) / HEARTBEAT_MEASUREMENT_SECONDS / count)
        finally:
            fleet.close()
    links = tuple(count - 1 for count in HOST_COUNTS)
    name = f"bytes sent a host, a heartbeat each {HEARTBEAT_SECONDS} s"
    yield fit_slope(name, "B/s", "links", links, rates)


def main() -> None:
    """Print one line for each slope."""
    for measure in (
        measure_admissions,
        measure_debits,
        measure_memory,
        measure_heartbeats,
        measure_idle_cpu,
    ):
        print_slopes(measure())


def _start_fleet(hosts_per_domain: tuple[int, ...], accounts: int) -> RateFleet:
    links = PeerLinkSettings(heartbeat=HEARTBEAT_SECONDS, silence=1.0)
    fleet = RateFleet(RateSettings(), links)
    fleet.start(hosts_per_domain)
    for number in range(accounts):
        fleet.set_account(f"account-{number}", RATE, BURST)
    deadline = read_boottime() + READY_SECONDS
    while read_boottime() < deadline and not all(
        _is_ready(h, accounts) for h in fleet.list_running()
    ):
        time.sleep(0.05)
    return fleet


def _is_ready(host: FleetHost, accounts: int) -> bool:
    reports = host.controller.list_buckets()
    return len(reports) == accounts and all(report.is_open for report in reports)


def _count_bytes(fleet: RateFleet) -> int:
    return sum(host.links.count_sent_bytes() for host in fleet.list_running())


if __name__ == "__main__":
    main()
