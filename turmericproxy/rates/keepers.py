"""Put the keepers of the rate ledger together."""

from collections.abc import Callable
from concurrent.futures import Executor, ThreadPoolExecutor
from dataclasses import dataclass

from turmericproxy.configuration import Snapshot
from turmericproxy.core import Incarnation, read_boottime
from turmericproxy.rates.context import Links, RateContext
from turmericproxy.rates.debits import DebitClient
from turmericproxy.rates.holdings import Holdings
from turmericproxy.rates.host_keeper import HostKeeper
from turmericproxy.rates.leases import LEASE_SHARE
from turmericproxy.rates.ledger import Member
from turmericproxy.rates.ledger_keeper import LedgerKeeper
from turmericproxy.rates.regrant_keeper import RegrantKeeper
from turmericproxy.rates.table import Platform
from turmericproxy.settings.schema import RateSettings

PAUSE_SHARE = 0.5
DEBIT_WORKERS = 16


@dataclass(frozen=True)
class Keepers:
    """Hold the keepers of one host and the buckets that they look after."""

    context: RateContext
    host: HostKeeper
    ledger: LedgerKeeper
    regrant: RegrantKeeper
    debit_client: DebitClient

    @property
    def holdings(self) -> Holdings:
        """Return the buckets of this host."""
        return self.context.holdings


def create_keepers(
    platform: Platform,
    links: Links,
    read_snapshot: Callable[[], Snapshot],
    settings: RateSettings,
    member: Member,
    incarnation: Incarnation,
    read_clock: Callable[[], float] = read_boottime,
    workers: Executor | None = None,
) -> Keepers:
    """Return the keepers of a host, with an empty set of buckets.

    Debits at several hosts are sent by ``workers``, or by threads of their own.
    """
    pause_limit = settings.regrant_after * LEASE_SHARE * PAUSE_SHARE
    holdings = Holdings(pause_limit, read_clock)
    context = RateContext(
        member, incarnation, platform, links, holdings, settings, read_snapshot, read_clock
    )
    host = HostKeeper(context)
    ledger = LedgerKeeper(context, host)
    host.reload = ledger.reload
    return Keepers(
        context,
        host,
        ledger,
        RegrantKeeper(context, host, ledger),
        DebitClient(context, workers or ThreadPoolExecutor(DEBIT_WORKERS, "debit")),
    )
