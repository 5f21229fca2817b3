"""Create the managers of a host's part of the rate ledger."""

from collections.abc import Callable
from concurrent.futures import Executor, ThreadPoolExecutor
from dataclasses import dataclass

from turmericproxy.configuration import Snapshot
from turmericproxy.core import Incarnation, read_boottime
from turmericproxy.rates.context import Links, RateContext
from turmericproxy.rates.debits import DebitClient
from turmericproxy.rates.host_lease_manager import HostLeaseManager
from turmericproxy.rates.leases import LEASE_FRACTION
from turmericproxy.rates.ledger import Member
from turmericproxy.rates.ledger_manager import LedgerManager
from turmericproxy.rates.local_buckets import LocalBuckets
from turmericproxy.rates.regrant_manager import RegrantManager
from turmericproxy.rates.table import Platform
from turmericproxy.settings.schema import RateSettings

# The longest tolerated pause of the process as a fraction of the lease.
PAUSE_LIMIT_FRACTION = 0.5
DEBIT_THREADS = 16


@dataclass(frozen=True)
class RateManagers:
    """Bundle the managers of one host."""

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
    debit_executor: Executor | None = None,
) -> RateManagers:
    """Create the managers of a host that has no buckets yet.

    ``debit_executor`` runs concurrent debits; the default is a pool of threads.
    """
    pause_limit = settings.regrant_after * LEASE_FRACTION * PAUSE_LIMIT_FRACTION
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
        DebitClient(context, debit_executor or ThreadPoolExecutor(DEBIT_THREADS, "debit")),
    )
