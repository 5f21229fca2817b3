"""Admit a request with tokens of several hosts, or say honestly when to come back."""

from dataclasses import dataclass

from turmericproxy.core import AccountName, HostName, Refusal, ResultCode, refuse
from turmericproxy.core.bucket import MICRO
from turmericproxy.logs import Part, log_decision
from turmericproxy.rates.context import RateContext
from turmericproxy.rates.debits import DebitClient, GrantPart
from turmericproxy.rates.ledger import LedgerRow, Share

ATTEMPTS = 3
FRESH_SECONDS = 0.02
LEAST_RETRY_SECONDS = 0.05


@dataclass(frozen=True)
class Grant:
    """Hold the tokens that a request was admitted with, and the hosts that deducted them."""

    account: AccountName
    tokens: int
    parts: tuple[GrantPart, ...] = ()


class Admission:
    """Collect the tokens of one request here and at the hosts that can be reached."""

    def __init__(self, context: RateContext, debit_client: DebitClient) -> None:
        self._context = context
        self._local_buckets = context.local_buckets
        self._debit_client = debit_client

    def admit_locally(self, account: AccountName, tokens: int) -> Grant | None:
        """Deduct all tokens from the own bucket, or none."""
        amount = tokens * MICRO
        taken = self._local_buckets.take(account, amount, least=amount)
        if not taken.amount:
            return None
        return Grant(account, tokens, (self._create_part(taken.id, taken.amount),))

    def admit_by_debits(self, row: LedgerRow, tokens: int, flight: float) -> Grant | Refusal:
        """Deduct tokens here and by debits, all within ``flight`` seconds.

        Requests that collect at the same time may each find a part of the tokens. Both give their
        parts back and try again.
        """
        amount = tokens * MICRO
        others = self._find_reachable(row)
        for _ in range(ATTEMPTS):
            available = self._measure_available(row, others, amount, flight)
            if available < amount:
                break
            parts = self._collect(row, others, amount, flight)
            if parts:
                log_decision(
                    Part.RATES, "admitted by debits", account=row.account, parts=len(parts)
                )
                return Grant(row.account, tokens, parts)
        return self._refuse(row, others, amount, min(available, amount))

    def _collect(
        self, row: LedgerRow, others: tuple[Share, ...], amount: int, flight: float
    ) -> tuple[GrantPart, ...]:
        """Return parts that make up the amount in time, or nothing after giving all back."""
        started = self._context.read_clock()
        local = self._local_buckets.take(row.account, amount, least=1)
        parts: tuple[GrantPart, ...] = ()
        if local.amount:
            parts = (self._create_part(local.id, local.amount),)
        parts += self._debit_client.collect(row.account, others, amount - local.amount, flight)
        is_whole = sum(part.amount for part in parts) >= amount
        if is_whole and self._context.read_clock() - started <= flight:
            return parts
        self._debit_client.give_back(row.account, parts, amount)
        return ()

    def _measure_available(
        self, row: LedgerRow, others: tuple[Share, ...], amount: int, flight: float
    ) -> int:
        """Return the tokens that seem to be there; ask anew before saying that they are too few."""
        own = self._local_buckets.measure(row.account).level
        available = own + sum(self._debit_client.estimate_levels(row.account, others).values())
        if available >= amount or not self._debit_client.refresh(
            row.account, others, FRESH_SECONDS, flight
        ):
            return available
        own = self._local_buckets.measure(row.account).level
        return own + sum(self._debit_client.estimate_levels(row.account, others).values())

    def _refuse(
        self, row: LedgerRow, others: tuple[Share, ...], amount: int, available: int
    ) -> Refusal:
        rate = sum(share.rate for share in others) + self._local_buckets.measure(row.account).rate
        wait = (amount - available) / rate if rate else self._context.settings.regrant_after
        log_decision(Part.RATES, "refused", account=row.account, available=available, need=amount)
        return refuse(
            ResultCode.RATE_EXCEEDED,
            f"the client account has {available // MICRO} of {amount // MICRO} tokens left",
            retry_after=max(LEAST_RETRY_SECONDS, wait),
        )

    def _find_reachable(self, row: LedgerRow) -> tuple[Share, ...]:
        reachable = {peer.host for peer in self._context.links.list_reachable()}
        return tuple(share for share in row.shares if share.host in reachable)

    def _create_part(self, taken_id: str, amount: int) -> GrantPart:
        return GrantPart(HostName(self._context.member.host), taken_id, amount)
