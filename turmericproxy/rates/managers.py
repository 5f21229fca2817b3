"""Put the managers of the rate ledger together."""

from collections.abc import Callable
from concurrent.futures import Executor, ThreadPoolExecutor
from dataclasses import dataclass

from turmericproxy.configuration import Snapshot
from turmericproxy.core import Incarnation, read_boottime
from turmericproxy.rates.context import Links, RateContext
from turmericproxy.rates.debits import DebitClient
from turmericproxy.rates.host_lease_manager import HostLeaseManager
from turmericproxy.rates.leases import LEASE_SHARE
from turmericproxy.rates.ledger import Member
from turmericproxy.rates.ledger_manager import LedgerManager
from turmericproxy.rates.local_buckets import LocalBuckets
from turmericproxy.rates.regrant_manager import RegrantManager
from turmericproxy.rates.table import Platform
from turmericproxy.settings.schema import RateSettings

PAUSE_SHARE = 0.5
DEBIT_WORKERS = 16


@dataclass(frozen=True)
class RateManagers:
    """Hold the managers of one host and the buckets that they look after."""

    context: RateContext
    host: HostLeaseManager
    ledger: LedgerManager
    regrant: RegrantManager
    debit_client: DebitClient

    @property
    def local_buckets(self) -> LocalBuckets:
        """Return the buckets of this host."""
        return self.context.local_buckets


def create_managers(
    platform: Platform,
    links: Links,
    read_snapshot: Callable[[], Snapshot],
    settings: RateSettings,
    member: Member,
    incarnation: Incarnation,
    read_clock: Callable[[], float] = read_boottime,
    workers: Executor | None = None,
) -> RateManagers:
    """Return the managers of a host, with an empty set of buckets.

    Debits at several hosts are sent by ``workers``, or by threads of their own.
    """
    pause_limit = settings.regrant_after * LEASE_SHARE * PAUSE_SHARE
    local_buckets = LocalBuckets(pause_limit, read_clock)
    context = RateContext(
        member, incarnation, platform, links, local_buckets, settings, read_snapshot, read_clock
    )
    host = HostLeaseManager(context)
    ledger = LedgerManager(context, host)
    host.reload = ledger.reload
    return RateManagers(
        context,
        host,
        ledger,
        RegrantManager(context, host, ledger),
        DebitClient(context, workers or ThreadPoolExecutor(DEBIT_WORKERS, "debit")),
    )
