"""Admit a request with tokens of several hosts, or refuse it with the time until a retry."""

from dataclasses import dataclass

from turmericproxy.core import AccountName, HostName, Refusal, ResultCode, refuse
from turmericproxy.core.bucket import MICRO
from turmericproxy.logs import Part, log_decision
from turmericproxy.rates.context import RateContext
from turmericproxy.rates.debits import DebitClient, GrantPart
from turmericproxy.rates.ledger import LedgerRow, Share

MAX_ATTEMPTS = 3
MAX_ESTIMATE_AGE_SECONDS = 0.02
MIN_RETRY_SECONDS = 0.05


@dataclass(frozen=True)
class Grant:
    """Describe the tokens of an admitted request and the deductions that they consist of."""

    account: AccountName
    tokens: int
    parts: tuple[GrantPart, ...] = ()


class Admission:
    """Deduct the tokens of a request at this host and at the reachable hosts."""

    def __init__(self, context: RateContext, debit_client: DebitClient) -> None:
        self._context = context
        self._local_buckets = context.local_buckets
        self._debit_client = debit_client

    def admit_locally(self, account: AccountName, tokens: int) -> Grant | None:
        """Deduct all tokens from the bucket of this host, or none."""
        amount = tokens * MICRO
        deduction = self._local_buckets.deduct(account, amount, minimum=amount)
        if not deduction.amount:
            return None
        return Grant(account, tokens, (self._create_part(deduction.id, deduction.amount),))

    def admit_by_debits(self, row: LedgerRow, tokens: int, flight: float) -> Grant | Refusal:
        """Deduct tokens at this host and by debits, all within ``flight`` seconds.

        Two concurrent requests may each get only a part of the tokens. Both then give their parts
        back and try again.
        """
        amount = tokens * MICRO
        others = self._find_reachable(row)
        for _ in range(MAX_ATTEMPTS):
            available = self._estimate_available(row, others, amount, flight)
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
        """Return parts that sum up to the amount, or give all back and return none.

        Parts that arrive after more than ``flight`` seconds are given back too.
        """
        started = self._context.read_clock()
        local = self._local_buckets.deduct(row.account, amount, minimum=1)
        parts: tuple[GrantPart, ...] = ()
        if local.amount:
            parts = (self._create_part(local.id, local.amount),)
        parts += self._debit_client.collect(row.account, others, amount - local.amount, flight)
        is_sufficient = sum(part.amount for part in parts) >= amount
        if is_sufficient and self._context.read_clock() - started <= flight:
            return parts
        self._debit_client.give_back(row.account, parts, amount)
        return ()

    def _estimate_available(
        self, row: LedgerRow, others: tuple[Share, ...], amount: int, flight: float
    ) -> int:
        """Return the estimated tokens at all hosts; update old estimates if they are too low."""
        own = self._local_buckets.read_state(row.account).level
        available = own + sum(self._debit_client.estimate_levels(row.account, others).values())
        if available >= amount or not self._debit_client.refresh_estimates(
            row.account, others, MAX_ESTIMATE_AGE_SECONDS, flight
        ):
            return available
        own = self._local_buckets.read_state(row.account).level
        return own + sum(self._debit_client.estimate_levels(row.account, others).values())

    def _refuse(
        self, row: LedgerRow, others: tuple[Share, ...], amount: int, available: int
    ) -> Refusal:
        rate = (
            sum(share.rate for share in others) + self._local_buckets.read_state(row.account).rate
        )
        wait = (amount - available) / rate if rate else self._context.settings.regrant_after
        log_decision(Part.RATES, "refused", account=row.account, available=available, need=amount)
        return refuse(
            ResultCode.RATE_EXCEEDED,
            f"the client account has {available // MICRO} of {amount // MICRO} tokens left",
            retry_after=max(MIN_RETRY_SECONDS, wait),
        )

    def _find_reachable(self, row: LedgerRow) -> tuple[Share, ...]:
        reachable = {peer.host for peer in self._context.links.list_reachable()}
        return tuple(share for share in row.shares if share.host in reachable)

    def _create_part(self, deduction_id: str, amount: int) -> GrantPart:
        return GrantPart(HostName(self._context.member.host), deduction_id, amount)
