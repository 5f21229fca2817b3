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
from turmericproxy.routing.block_table import BlockTable, Tables
from turmericproxy.routing.crash_guard import CrashGuard
from turmericproxy.routing.decisions import Decision, decide
from turmericproxy.routing.engine_registry import EngineRegistry
from turmericproxy.routing.policies import create_policy
from turmericproxy.routing.polling import Pollers
from turmericproxy.routing.requests import (
    AttemptOutcome,
    EngineChoice,
    RoutingRequest,
    TokenCounts,
    UpstreamChoice,
)
from turmericproxy.routing.services import ServiceSelector
from turmericproxy.routing.shares import AccountPriorities
from turmericproxy.routing.sharing import DispatchRecord, WorkSharing
from turmericproxy.routing.transfers import Transfers
from turmericproxy.settings.schema import RoutingSettings, UpstreamSettings


class ConfigurationSource(Protocol):
    """Provide the configuration in force."""

    def snapshot(self) -> Snapshot:
        """Return the configuration in force."""

    def subscribe(self, callback: Callable[[Snapshot], None]) -> Any:
        """Call ``callback`` with each new configuration."""


class Selector:
    """Choose engines and services, and record dispatches and outcomes for later choices.

    Dispatches to engines are also sent to peers.
    """

    def __init__(
        self,
        configuration: ConfigurationSource,
        links: Any,
        settings: RoutingSettings,
        upstream_settings: UpstreamSettings,
        host: HostName,
        domain: DomainName,
        read_clock: Callable[[], float] = read_boottime,
        tables: Tables | None = None,
    ) -> None:
        self._configuration = configuration
        self._policy = create_policy(settings.policy)
        self._read_clock = read_clock
        self._lock = threading.Lock()
        self._priorities = AccountPriorities()
        self._choice_count = 0
        self.engines = EngineRegistry(settings.index_blocks, read_clock)
        self.services = ServiceSelector(domain, host, read_clock)
        self._sharing = WorkSharing(links, self.engines)
        self._transfers = Transfers(
            self._sharing.announce_exported,
            upstream_settings.connect_timeout,
            is_enabled=settings.kept_cache and settings.policy == "expected_time",
        )
        self._sharing.set_kept_blocks(self._transfers.kept)
        self.engines.set_stored_callback(self._transfers.record_stored)
        self._pollers = Pollers(self.engines, self.services, settings, upstream_settings)
        table = BlockTable(tables, read_clock) if tables is not None else None
        self.crashes = CrashGuard(links, self._find_address, read_clock, table)

    def start(self) -> None:
        """Start polling engines and services, exporting blocks and sending dispatches to peers."""
        self._sharing.start()
        self._transfers.start()
        self.crashes.start()
        self._configuration.subscribe(self._pollers.update)
        self._pollers.update(self._configuration.snapshot())

    def close(self) -> None:
        """Stop the threads."""
        self.crashes.close()
        self._pollers.close()
        self._transfers.close()
        self._sharing.close()

    def _find_address(self, name: EngineName) -> str | None:
        engines = self._configuration.snapshot().list_engines()
        return next((engine.address for engine in engines if engine.name == name), None)

    def choose_engine(self, request: RoutingRequest) -> EngineChoice | Refusal:
        """Return the engine for the request, or a refusal with the reason if there is none."""
        now = self._read_clock()
        snapshot = self._configuration.snapshot()
        keys = [create_key(block) for block in request.blocks]
        views = [
            self.engines.view(engine, request.model, keys, now)
            for engine in snapshot.list_engines()
            if engine.state is UpstreamState.ACTIVE and request.model in engine.models
        ]
        kept = self._transfers.describe_chain(keys)
        decision = decide(self._policy, views, request, now, self._count_choice(), kept)
        if isinstance(decision, Refusal):
            return _log_refusal(request, decision)
        seconds = decision.chosen.compute_seconds
        priority = self._compute_priority(snapshot, request, seconds, now)
        choice = _create_choice(request, decision, priority)
        _log_choice(choice, decision)
        return choice

    def choose_version(
        self,
        model: ModelName,
        request_id: RequestId,
        excluded: frozenset[EngineName] = frozenset(),
    ) -> str | None:
        """Return the weights version for a request, or ``None`` if the model is unknown.

        While engines switch versions, each version gets a fraction of the requests that equals
        its fraction of the engines.
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
        """Return the plain service for the next call of a route."""
        return self.services.choose(self._configuration.snapshot(), route, excluded)

    @singledispatchmethod
    def record_dispatch(self, choice: EngineChoice | UpstreamChoice) -> None:
        """Record a request that is about to be sent, after importing kept blocks to its engine."""
        raise TypeError(f"no recording of dispatches for {type(choice).__name__}")

    @record_dispatch.register
    def _(self, choice: EngineChoice) -> None:
        request = choice.request
        keys = tuple(create_key(block) for block in request.blocks)
        self.engines.record_dispatch(choice, keys)
        with self._lock:
            tokens = request.prompt_tokens + request.max_tokens
            self._priorities.record_tokens(request.account, tokens, self._read_clock())
        self._sharing.announce_work(choice.engine)
        self._transfers.export_when_stored(choice)
        if choice.imports:
            # Blocks are predicted only after the import: a request that relies on them earlier
            # would have to compute them.
            seconds = self._transfers.import_blocks(choice)
            self.engines.record_import(choice, seconds)
        self.engines.predict_cached(choice.engine, keys)
        cached_blocks = choice.imports.start if choice.imports else choice.cached_blocks
        self._sharing.announce_dispatch(DispatchRecord(choice.engine, keys, cached_blocks))

    @record_dispatch.register
    def _(self, choice: UpstreamChoice) -> None:
        self.services.record_start(choice.upstream)

    def record_first_token(self, choice: EngineChoice, seconds: float) -> None:
        """Record that the first token arrived ``seconds`` after the attempt began."""
        self.engines.record_first_token(choice, seconds)
        self._sharing.announce_work(choice.engine)
        # The engine has computed the whole prompt before its first token.
        self._transfers.request_export(choice.engine, choice.address, choice.request.blocks)

    @singledispatchmethod
    def record_finish(
        self,
        choice: EngineChoice | UpstreamChoice,
        outcome: AttemptOutcome,
        usage: TokenCounts | None = None,
    ) -> None:
        """Record the outcome of an attempt, with the engine's usage if the answer was complete."""
        raise TypeError(f"no recording of outcomes for {type(choice).__name__}")

    @record_finish.register
    def _(
        self, choice: EngineChoice, outcome: AttemptOutcome, usage: TokenCounts | None = None
    ) -> None:
        self.engines.record_finish(choice, outcome, usage)
        self._sharing.announce_work(choice.engine)

    @record_finish.register
    def _(
        self, choice: UpstreamChoice, outcome: AttemptOutcome, usage: TokenCounts | None = None
    ) -> None:
        self.services.record_end(choice.upstream, outcome)

    def describe_upstreams(self) -> dict[str, dict[str, object]]:
        """Return the estimated state of engines and plain services, by name."""
        return {**self.engines.describe(), **self.services.describe()}

    def _count_choice(self) -> int:
        with self._lock:
            self._choice_count += 1
            return self._choice_count

    def _compute_priority(
        self, snapshot: Snapshot, request: RoutingRequest, compute_seconds: float, now: float
    ) -> int:
        account = snapshot.find_account(request.account)
        if account is None:
            return 0
        hosts = self._sharing.count_hosts()
        with self._lock:
            return self._priorities.compute(
                request.account, account.rate, hosts, compute_seconds, now
            )


def _create_choice(request: RoutingRequest, decision: Decision, priority: int) -> EngineChoice:
    chosen = decision.chosen
    terms = {
        "queue": round(chosen.queue_seconds, 4),
        "import": round(chosen.import_seconds, 4),
        "compute": round(chosen.compute_seconds, 4),
        "distance": round(chosen.view.round_trip_seconds, 4),
        "overhead": round(chosen.view.overhead_seconds, 4),
    }
    return EngineChoice(
        request=request,
        engine=chosen.view.engine,
        address=chosen.view.address,
        version=request.version,
        expected_seconds=chosen.expected_seconds,
        cached_blocks=chosen.cached_blocks,
        uncached_tokens=chosen.uncached_tokens,
        priority=priority,
        imports=chosen.imports,
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
            if other is not decision.chosen
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
