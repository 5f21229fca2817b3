"""Admit requests within the rate and burst of their client account over all hosts."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from turmericproxy.configuration import Snapshot
from turmericproxy.core import (
    AccountName,
    DomainName,
    HostName,
    Incarnation,
    Refusal,
    ResultCode,
    read_boottime,
    refuse,
)
from turmericproxy.core.bucket import MICRO
from turmericproxy.core.loops import Loop
from turmericproxy.logs import Part
from turmericproxy.rates.admission import Admission, Grant
from turmericproxy.rates.context import Links
from turmericproxy.rates.ledger import Member, create_limit
from turmericproxy.rates.managers import RateManagers, create_managers
from turmericproxy.rates.table import Platform
from turmericproxy.settings.schema import RateSettings

RUN_INTERVAL_SECONDS = 0.5
TICK_INTERVAL_SECONDS = 0.1
# Hosts retry a conflicting write after a random delay, so that they don't conflict again.
CONFLICT_RETRY_SECONDS = 0.05


class Configuration(Protocol):
    """Define the calls to the configuration that this package needs."""

    def snapshot(self) -> Snapshot:
        """Return the configuration in force."""

    def subscribe(self, callback: Callable[[Snapshot], None]) -> None:
        """Call ``callback`` with the snapshot of each new revision."""


@dataclass(frozen=True)
class BucketReport:
    """Describe a bucket of this host; ``rate`` is in tokens a second, the others in tokens."""

    account: AccountName
    rate: float
    depth: float
    level: float
    is_open: bool


class RateController:
    """Admit requests and manage this host's part of the rate ledger."""

    def __init__(
        self,
        platform: Platform,
        links: Links,
        configuration: Configuration,
        settings: RateSettings,
        host: HostName,
        domain: DomainName,
        incarnation: Incarnation,
    ) -> None:
        self._configuration = configuration
        self._settings = settings
        self._member = Member(host, domain)
        self._managers = managers = create_managers(
            platform, links, configuration.snapshot, settings, self._member, incarnation
        )
        self._local_buckets = managers.local_buckets
        self._debit_client = managers.debit_client
        self._admission = Admission(managers.context, managers.debit_client)
        self._ledger_loop = Loop(Part.RATES, "rates-ledger", self._run_ledger)
        self._loops = (
            Loop(Part.RATES, "rates-tick", self._record_tick),
            Loop(Part.RATES, "rates-host", self._run_host_lease),
            self._ledger_loop,
        )

    @property
    def managers(self) -> RateManagers:
        """Return the managers of this host's part of the ledger."""
        return self._managers

    def start(self) -> None:
        """Start the threads that take over and maintain this host's part of the ledger."""
        self._configuration.subscribe(lambda _snapshot: self._ledger_loop.wake())
        self._managers.ledger.wake = self._ledger_loop.wake
        for loop in self._loops:
            loop.start()

    def close(self) -> None:
        """Stop admitting, and store the levels of the buckets for the next incarnation."""
        self.stop_threads()
        self._managers.host.close()
        self._debit_client.close()

    def stop_threads(self) -> None:
        """Stop all threads without a final write, so that the lease expires."""
        for loop in self._loops:
            loop.stop()
        for loop in self._loops:
            loop.close()

    def admit(self, account: AccountName, tokens: int, deadline: float) -> Grant | Refusal:
        """Deduct tokens for a request at this host and others, or refuse it with a retry delay.

        ``deadline`` is in seconds of CLOCK_BOOTTIME.
        """
        limits = self._configuration.snapshot().find_account(account)
        if limits is None:
            return refuse(ResultCode.ACCOUNT_NOT_ALLOWED, f"no client account {account}")
        if tokens <= 0:
            return Grant(account, 0)
        local_grant = self._admission.admit_locally(account, tokens)
        if local_grant:
            return local_grant
        row = self._managers.ledger.find_row(account)
        row = row or self._managers.ledger.fetch_from_peers(account)
        if row is None:
            return refuse(
                ResultCode.RATE_EXCEEDED,
                "no host that holds tokens of the client account is known yet",
                retry_after=RUN_INTERVAL_SECONDS,
            )
        if tokens * MICRO > row.limit.burst:
            return refuse(
                ResultCode.REQUEST_OVER_BURST,
                f"{tokens} tokens exceed the burst of {row.limit.burst // MICRO}",
            )
        latest = create_limit(limits.rate, limits.burst, self._settings.debit_timeout).flight
        flight = min(min(row.limit.flight, latest) / MICRO, deadline - read_boottime())
        answer = self._admission.admit_by_debits(row, tokens, flight)
        if isinstance(answer, Refusal) and self._debit_client.is_outdated(row):
            self._managers.ledger.mark_stale(account)
        return answer

    def give_back(self, grant: Grant, unused: int) -> None:
        """Give back tokens that a request did not use, at most once for a grant."""
        if unused > 0:
            self._debit_client.give_back(grant.account, grant.parts, unused * MICRO)

    def list_buckets(self) -> tuple[BucketReport, ...]:
        """Return the buckets of this host, ordered by client account."""
        is_open = self._local_buckets.is_open()
        return tuple(
            BucketReport(name, b.rate / MICRO, b.depth / MICRO, b.level / MICRO, is_open)
            for name, b in sorted(self._local_buckets.list_all().items())
        )

    def _record_tick(self) -> float:
        self._local_buckets.record_tick()
        return TICK_INTERVAL_SECONDS

    def _run_host_lease(self) -> float:
        self._managers.host.run_once()
        if self._local_buckets.is_open():
            return self._managers.host.renewal_interval
        return RUN_INTERVAL_SECONDS / 2

    def _run_ledger(self) -> float:
        had_conflict = self._managers.ledger.run_once()
        self._managers.regrant.run_once()
        self._local_buckets.discard_old_deductions()
        return random.uniform(0, CONFLICT_RETRY_SECONDS) if had_conflict else RUN_INTERVAL_SECONDS
