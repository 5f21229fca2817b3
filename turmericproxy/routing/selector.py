"""Choose an engine or plain service for each request."""

import threading
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any, Protocol

from turmericproxy.cache.index import create_key
from turmericproxy.configuration import Route, Snapshot, UpstreamState
from turmericproxy.core import (
    DomainName,
    EngineName,
    HostName,
    ModelName,
    Refusal,
    RequestId,
    UpstreamName,
    read_boottime,
)
from turmericproxy.core.hashing import compute_rendezvous_weight
from turmericproxy.logs import Part, log_decision
from turmericproxy.routing.decisions import Decision, decide
from turmericproxy.routing.engine_registry import EngineRegistry
from turmericproxy.routing.plain import PlainSelector
from turmericproxy.routing.policies import create_policy
from turmericproxy.routing.polling import Pollers
from turmericproxy.routing.requests import (
    AttemptOutcome,
    EngineChoice,
    RoutingRequest,
    TokenCounts,
    UpstreamChoice,
)
from turmericproxy.routing.shares import AccountShares
from turmericproxy.routing.sharing import DispatchNote, WorkSharing
from turmericproxy.routing.transfers import Transfers
from turmericproxy.settings.schema import RoutingSettings, UpstreamSettings


class ConfigurationSource(Protocol):
    """Offer the configuration in force."""

    def snapshot(self) -> Snapshot:
        """Return the configuration in force."""

    def subscribe(self, callback: Callable[[Snapshot], None]) -> Any:
        """Call back with each new configuration."""


class Selector:
    """Choose by the policy of the host, and tell peers and the fleet's state of the choices."""

    def __init__(
        self,
        configuration: ConfigurationSource,
        links: Any,
        settings: RoutingSettings,
        upstream_settings: UpstreamSettings,
        host: HostName,
        domain: DomainName,
        read_clock: Callable[[], float] = read_boottime,
    ) -> None:
        self._configuration = configuration
        self._policy = create_policy(settings.policy)
        self._read_clock = read_clock
        self._lock = threading.Lock()
        self._shares = AccountShares()
        self._turn = 0
        self.engines = EngineRegistry(settings.index_blocks, read_clock)
        self.plain = PlainSelector(domain, host, read_clock)
        self._sharing = WorkSharing(links, self.engines)
        self._transfers = Transfers(
            self._sharing.add_kept,
            upstream_settings.connect_timeout,
            is_used=settings.kept_cache and settings.policy == "expected_time",
        )
        self._sharing.follow_kept(self._transfers.kept)
        self.engines.follow_stored(self._transfers.take_stored)
        self._pollers = Pollers(self.engines, self.plain, settings, upstream_settings)

    def start(self) -> None:
        """Start to poll the engines and to tell peers of dispatches."""
        self._sharing.start()
        self._transfers.start()
        self._configuration.subscribe(self._pollers.follow)
        self._pollers.follow(self._configuration.snapshot())

    def close(self) -> None:
        """End the threads."""
        self._pollers.close()
        self._transfers.close()
        self._sharing.close()

    def choose_engine(self, request: RoutingRequest) -> EngineChoice | Refusal:
        """Return the engine that takes the request, or say why none can."""
        now = self._read_clock()
        snapshot = self._configuration.snapshot()
        keys = [create_key(block) for block in request.blocks]
        views = [
            self.engines.view(engine, request.model, keys, now)
            for engine in snapshot.list_engines()
            if engine.state is UpstreamState.ACTIVE and request.model in engine.models
        ]
        kept = self._transfers.describe_chain(keys)
        decision = decide(self._policy, views, request, now, self._take_turn(), kept)
        if isinstance(decision, Refusal):
            return _log_refusal(request, decision)
        seconds = decision.taken.compute_seconds
        priority = self._rank(snapshot, request, seconds, now)
        choice = _create_choice(request, decision, priority)
        _log_choice(choice, decision)
        return choice

    def choose_version(
        self,
        model: ModelName,
        request_id: RequestId,
        excluded: frozenset[EngineName] = frozenset(),
    ) -> str | None:
        """Return the weights version for a request, by the share of engines that serve it.

        While engines change over, requests divide among the versions as the engines do.
        """
        snapshot = self._configuration.snapshot()
        wanted = snapshot.find_model(model)
        if wanted is None:
            return None
        now = self._read_clock()
        reported = [
            self.engines.list_versions(EngineName(engine.name), now).get(model)
            for engine in snapshot.list_engines()
            if model in engine.models
            and engine.state is UpstreamState.ACTIVE
            and engine.name not in excluded
        ]
        versions = sorted(version for version in reported if version)
        if not versions:
            return wanted.version
        return versions[compute_rendezvous_weight(request_id, "version") % len(versions)]

    def choose_upstream(
        self, route: Route, excluded: frozenset[UpstreamName] = frozenset()
    ) -> UpstreamChoice | Refusal:
        """Return the plain service that takes the next call of a route."""
        return self.plain.choose(self._configuration.snapshot(), route, excluded)

    @singledispatchmethod
    def record_dispatch(self, choice: EngineChoice | UpstreamChoice) -> None:
        """Count a request that is about to be sent; before, bring kept blocks to its engine."""
        raise TypeError(f"no dispatch for {type(choice).__name__}")

    @record_dispatch.register
    def _(self, choice: EngineChoice) -> None:
        request = choice.request
        keys = tuple(create_key(block) for block in request.blocks)
        self.engines.record_dispatch(choice, keys)
        with self._lock:
            tokens = request.prompt_tokens + request.max_tokens
            self._shares.add(request.account, tokens, self._read_clock())
        self._sharing.mark_changed(choice.engine)
        self._transfers.expect(choice)
        if choice.imports:
            # Until the import is done, a request that relies on the blocks would compute them.
            seconds = self._transfers.import_blocks(choice)
            self.engines.record_import(choice, seconds)
        self.engines.predict_blocks(choice.engine, keys)
        known = choice.imports.start if choice.imports else choice.cached_blocks
        self._sharing.add(DispatchNote(choice.engine, keys, known))

    @record_dispatch.register
    def _(self, choice: UpstreamChoice) -> None:
        self.plain.record_start(choice.upstream)

    def record_first_token(self, choice: EngineChoice, seconds: float) -> None:
        """Record that the first piece came, ``seconds`` after the attempt began."""
        self.engines.record_first_token(choice, seconds)
        self._sharing.mark_changed(choice.engine)
        # The engine has computed the whole prompt when its first piece comes.
        self._transfers.offer(choice.engine, choice.address, choice.request.blocks)

    @singledispatchmethod
    def record_finish(
        self,
        choice: EngineChoice | UpstreamChoice,
        kind: AttemptOutcome,
        usage: TokenCounts | None = None,
    ) -> None:
        """Record how an attempt ended, with the engine's usage if it was complete."""
        raise TypeError(f"no finish for {type(choice).__name__}")

    @record_finish.register
    def _(
        self, choice: EngineChoice, kind: AttemptOutcome, usage: TokenCounts | None = None
    ) -> None:
        self.engines.record_finish(choice, kind, usage)
        self._sharing.mark_changed(choice.engine)

    @record_finish.register
    def _(
        self, choice: UpstreamChoice, kind: AttemptOutcome, usage: TokenCounts | None = None
    ) -> None:
        self.plain.record_end(choice.upstream, kind)

    def describe_upstreams(self) -> dict[str, dict[str, object]]:
        """Return what the host knows of engines and plain services, by name."""
        return {**self.engines.describe(), **self.plain.describe()}

    def _take_turn(self) -> int:
        with self._lock:
            self._turn += 1
            return self._turn

    def _rank(
        self, snapshot: Snapshot, request: RoutingRequest, compute_seconds: float, now: float
    ) -> int:
        account = snapshot.find_account(request.account)
        if account is None:
            return 0
        hosts = self._sharing.count_hosts()
        with self._lock:
            return self._shares.rank(request.account, account.rate, hosts, compute_seconds, now)


def _create_choice(request: RoutingRequest, decision: Decision, priority: int) -> EngineChoice:
    taken = decision.taken
    terms = {
        "queue": round(taken.queue_seconds, 4),
        "import": round(taken.import_seconds, 4),
        "compute": round(taken.compute_seconds, 4),
        "distance": round(taken.view.distance, 4),
        "overhead": round(taken.view.overhead, 4),
    }
    return EngineChoice(
        request=request,
        engine=taken.view.engine,
        address=taken.view.address,
        version=request.version,
        expected_seconds=taken.expected_seconds,
        cached_blocks=taken.cached_blocks,
        missing_tokens=taken.missing_tokens,
        priority=priority,
        imports=taken.imports,
        terms=terms,
    )


def _log_choice(choice: EngineChoice, decision: Decision) -> None:
    log_decision(
        Part.ROUTING,
        "engine chosen",
        request_id=choice.request.request_id,
        account=choice.request.account,
        engine=choice.engine,
        expected=round(choice.expected_seconds, 4),
        cached_blocks=choice.cached_blocks,
        blocks=len(choice.request.blocks),
        priority=choice.priority,
        terms=choice.terms,
        others={
            other.view.engine: round(other.expected_seconds, 4)
            for other in decision.candidates
            if other is not decision.taken
        },
    )


def _log_refusal(request: RoutingRequest, refusal: Refusal) -> Refusal:
    log_decision(
        Part.ROUTING,
        "no engine chosen",
        request_id=request.request_id,
        account=request.account,
        code=int(refusal.code),
        reason=refusal.reason,
        retry_after=refusal.retry_after,
    )
    return refusal
