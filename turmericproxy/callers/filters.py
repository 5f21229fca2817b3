"""Decide, one filter after the other, whether and how a request goes on."""

from dataclasses import replace
from typing import TypeGuard

from turmericproxy.bookings import Claim, ClaimController, Outcome, StoredOutcome
from turmericproxy.callers.calls import Call, ChatCall, PlainCall, find_route, parse_call
from turmericproxy.callers.exchange import Answer, Exchange, Next, run_holding
from turmericproxy.callers.secrets import check_secrecy, read_key
from turmericproxy.configuration.controller import ConfigurationController
from turmericproxy.core import AccountName, Refusal, ResultCode, RunState, refuse
from turmericproxy.keys import KeyController
from turmericproxy.rates import RateController
from turmericproxy.routing import FairQueue, Selector
from turmericproxy.web import HttpResponse

OPEN_SCOPE_PREFIX = "route:"


class IdentificationFilter:
    """Find the client account by the key that came with the request."""

    def __init__(self, configuration: ConfigurationController, keys: KeyController) -> None:
        self._configuration = configuration
        self._keys = keys

    def __call__(self, exchange: Exchange, following: Next) -> Answer:
        key = read_key(exchange.request)
        route = find_route(exchange.request, self._configuration.snapshot())
        if route is not None and route.open:
            return following(replace(exchange, key=key))
        if key is None:
            return refuse(ResultCode.KEY_MISSING, "no key came with the request")
        identity = self._keys.identify(key)
        if isinstance(identity, Refusal):
            return identity
        if route is not None and not _is_allowed(route.accounts, identity.account):
            return refuse(
                ResultCode.ACCOUNT_NOT_ALLOWED, "the route is not open to this client account"
            )
        return following(replace(exchange, key=key, identity=identity))


def _is_allowed(accounts: tuple[str, ...] | None, account: str) -> bool:
    return accounts is None or account in accounts


class ParsingFilter:
    """Read the body and find out what is asked for."""

    def __init__(
        self, configuration: ConfigurationController, selector: Selector, body_limit: int
    ) -> None:
        self._configuration = configuration
        self._selector = selector
        self._body_limit = body_limit

    def __call__(self, exchange: Exchange, following: Next) -> Answer:
        call = parse_call(exchange.request, self._configuration.snapshot(), self._body_limit)
        if isinstance(call, Refusal):
            return call
        refusal = check_secrecy(call, exchange.key)
        if refusal:
            return refusal
        if isinstance(call, ChatCall):
            version = self._selector.choose_version(call.model, exchange.request_id)
            call = replace(call, version=version or call.version)
        return following(replace(exchange, call=call))


class AdmissionFilter:
    """Charge the request to its client account and give back what it did not use.

    A repeat that the rate refuses still gets the stored outcome of its first call: to say that it
    was not run would be read as if the first call had not run either.
    """

    def __init__(self, rates: RateController, claims: ClaimController) -> None:
        self._rates = rates
        self._claims = claims

    def __call__(self, exchange: Exchange, following: Next) -> Answer:
        call = get_call(exchange)
        if exchange.identity is None or call.cost == 0:
            return following(exchange)
        grant = self._rates.admit(exchange.identity.account, call.cost, exchange.deadline)
        if isinstance(grant, Refusal):
            return self._find_earlier(exchange, call) or grant

        def settle() -> None:
            unused = max(0, grant.tokens - exchange.usage.tokens)
            if unused:
                self._rates.give_back(grant, unused)

        return run_holding(following, exchange, settle)

    def _find_earlier(self, exchange: Exchange, call: Call) -> Answer | None:
        if not is_claimed(call):
            return None
        earlier = self._claims.look_up(
            get_claim_scope(exchange, call), call.idempotency_key or "", call.body_digest
        )
        if isinstance(earlier, StoredOutcome):
            return create_stored_answer(earlier.outcome)
        return earlier


class QueueFilter:
    """Take turns between client accounts for model requests."""

    def __init__(self, queue: FairQueue) -> None:
        self._queue = queue

    def __call__(self, exchange: Exchange, following: Next) -> Answer:
        call = get_call(exchange)
        if not isinstance(call, ChatCall) or exchange.identity is None:
            return following(exchange)
        ticket = self._queue.enter(exchange.identity.account, call.cost, exchange.deadline)
        if isinstance(ticket, Refusal):
            return ticket
        return run_holding(following, exchange, lambda: self._queue.leave(ticket))


class ClaimFilter:
    """Claim a call that may not be repeated, and store its outcome for repeats."""

    def __init__(self, claims: ClaimController) -> None:
        self._claims = claims

    def __call__(self, exchange: Exchange, following: Next) -> Answer:
        call = get_call(exchange)
        if not is_claimed(call):
            return following(exchange)
        scope = get_claim_scope(exchange, call)
        claim = self._claims.claim(scope, call.idempotency_key or "", call.body_digest)
        if isinstance(claim, Refusal):
            return claim
        if isinstance(claim, StoredOutcome):
            return create_stored_answer(claim.outcome)
        try:
            answer = following(replace(exchange, claim=claim))
        except Exception:
            self._claims.mark_unknown(claim)
            raise
        self._settle(claim, answer)
        return answer

    def _settle(self, claim: Claim, answer: Answer) -> None:
        if isinstance(answer, HttpResponse):
            assert isinstance(answer.body, bytes)
            outcome = Outcome(answer.status, tuple(answer.headers.items()), answer.body)
            self._claims.finish(claim, outcome)
        elif answer.run is RunState.UNKNOWN:
            self._claims.mark_unknown(claim)
        else:
            self._claims.release(claim)


def is_claimed(call: Call) -> TypeGuard[PlainCall]:
    """Return whether a call runs under a claim: it may not be repeated and has a key."""
    return isinstance(call, PlainCall) and not call.is_repeatable and bool(call.idempotency_key)


def get_claim_scope(exchange: Exchange, call: PlainCall) -> AccountName:
    """Return whose idempotency keys are compared: an account's, or an open route's."""
    if exchange.identity is not None:
        return exchange.identity.account
    return AccountName(f"{OPEN_SCOPE_PREFIX}{call.name}")


def create_stored_answer(outcome: Outcome) -> HttpResponse:
    """Return the answer that the first call of this key got."""
    headers = {**dict(outcome.headers), "Idempotent-Replayed": "true"}
    return HttpResponse(outcome.status, outcome.body, headers)


def get_call(exchange: Exchange) -> Call:
    """Return the parsed call; the parsing filter runs before every filter that asks."""
    assert exchange.call is not None
    return exchange.call
