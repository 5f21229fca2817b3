"""Filters that a request passes before it is relayed; each may refuse or answer it."""

from dataclasses import replace
from typing import TypeGuard

from turmericproxy.bookings import Claim, ClaimController, Outcome, StoredOutcome
from turmericproxy.callers.calls import Call, ChatCall, PlainCall, find_route, parse_call
from turmericproxy.callers.exchange import Answer, Exchange, Handler, run_and_release
from turmericproxy.callers.secrets import check_key_exposure, read_key
from turmericproxy.configuration.controller import ConfigurationController
from turmericproxy.core import AccountName, Refusal, ResultCode, RunState, refuse
from turmericproxy.keys import KeyController
from turmericproxy.rates import RateController
from turmericproxy.routing import FairQueue, Selector
from turmericproxy.web import HttpResponse

OPEN_SCOPE_PREFIX = "route:"


class IdentificationFilter:
    """Identify the client account by the request's key; open routes need no key."""

    def __init__(self, configuration: ConfigurationController, keys: KeyController) -> None:
        self._configuration = configuration
        self._keys = keys

    def __call__(self, exchange: Exchange, next_handler: Handler) -> Answer:
        key = read_key(exchange.request)
        route = find_route(exchange.request, self._configuration.snapshot())
        if route is not None and route.open:
            return next_handler(replace(exchange, key=key))
        if key is None:
            return refuse(ResultCode.KEY_MISSING, "the request has no key")
        identity = self._keys.identify(key)
        if isinstance(identity, Refusal):
            return identity
        if route is not None and not _is_allowed(route.accounts, identity.account):
            return refuse(
                ResultCode.ACCOUNT_NOT_ALLOWED, "the client account may not use this route"
            )
        return next_handler(replace(exchange, key=key, identity=identity))


def _is_allowed(accounts: tuple[str, ...] | None, account: str) -> bool:
    return accounts is None or account in accounts


class ParsingFilter:
    """Parse the request into a call, and choose the model version for a chat."""

    def __init__(
        self, configuration: ConfigurationController, selector: Selector, body_limit: int
    ) -> None:
        self._configuration = configuration
        self._selector = selector
        self._body_limit = body_limit

    def __call__(self, exchange: Exchange, next_handler: Handler) -> Answer:
        call = parse_call(exchange.request, self._configuration.snapshot(), self._body_limit)
        if isinstance(call, Refusal):
            return call
        refusal = check_key_exposure(call, exchange.key)
        if refusal:
            return refusal
        if isinstance(call, ChatCall):
            version = self._selector.choose_version(call.model, exchange.request_id)
            call = replace(call, version=version or call.version)
        return next_handler(replace(exchange, call=call))


class AdmissionFilter:
    """Charge the request's tokens to its client account and refund those that it did not use.

    A repeat that exceeds the rate still gets the stored outcome of its first call: a refusal as
    not run would suggest that the first call had not run either.
    """

    def __init__(self, rates: RateController, claims: ClaimController) -> None:
        self._rates = rates
        self._claims = claims

    def __call__(self, exchange: Exchange, next_handler: Handler) -> Answer:
        call = get_call(exchange)
        if exchange.identity is None or call.cost == 0:
            return next_handler(exchange)
        grant = self._rates.admit(exchange.identity.account, call.cost, exchange.deadline)
        if isinstance(grant, Refusal):
            return self._find_stored_answer(exchange, call) or grant

        def refund_unused() -> None:
            unused = max(0, grant.tokens - exchange.usage.tokens)
            if unused:
                self._rates.give_back(grant, unused)

        return run_and_release(next_handler, exchange, refund_unused)

    def _find_stored_answer(self, exchange: Exchange, call: Call) -> Answer | None:
        if not needs_claim(call):
            return None
        stored = self._claims.look_up(
            get_claim_scope(exchange, call), call.idempotency_key or "", call.body_digest
        )
        if isinstance(stored, StoredOutcome):
            return create_stored_answer(stored.outcome)
        return stored


class QueueFilter:
    """Queue chats for a running slot, shared fairly between client accounts."""

    def __init__(self, queue: FairQueue) -> None:
        self._queue = queue

    def __call__(self, exchange: Exchange, next_handler: Handler) -> Answer:
        call = get_call(exchange)
        if not isinstance(call, ChatCall) or exchange.identity is None:
            return next_handler(exchange)
        ticket = self._queue.enter(exchange.identity.account, call.cost, exchange.deadline)
        if isinstance(ticket, Refusal):
            return ticket
        return run_and_release(next_handler, exchange, lambda: self._queue.leave(ticket))


class ClaimFilter:
    """Claim the idempotency key of a non-repeatable call, and store the outcome for repeats."""

    def __init__(self, claims: ClaimController) -> None:
        self._claims = claims

    def __call__(self, exchange: Exchange, next_handler: Handler) -> Answer:
        call = get_call(exchange)
        if not needs_claim(call):
            return next_handler(exchange)
        scope = get_claim_scope(exchange, call)
        claim = self._claims.claim(scope, call.idempotency_key or "", call.body_digest)
        if isinstance(claim, Refusal):
            return claim
        if isinstance(claim, StoredOutcome):
            return create_stored_answer(claim.outcome)
        try:
            answer = next_handler(replace(exchange, claim=claim))
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


def needs_claim(call: Call) -> TypeGuard[PlainCall]:
    """Return whether a call needs a claim: it isn't repeatable and has an idempotency key."""
    return isinstance(call, PlainCall) and not call.is_repeatable and bool(call.idempotency_key)


def get_claim_scope(exchange: Exchange, call: PlainCall) -> AccountName:
    """Return the scope of the idempotency key: the client account, or the open route."""
    if exchange.identity is not None:
        return exchange.identity.account
    return AccountName(f"{OPEN_SCOPE_PREFIX}{call.name}")


def create_stored_answer(outcome: Outcome) -> HttpResponse:
    """Return the stored answer of the first call with the same idempotency key."""
    headers = {**dict(outcome.headers), "Idempotent-Replayed": "true"}
    return HttpResponse(outcome.status, outcome.body, headers)


def get_call(exchange: Exchange) -> Call:
    """Return the parsed call; ``ParsingFilter`` must have run."""
    assert exchange.call is not None
    return exchange.call
