"""Collect local state changes for peers and apply the batches received from them."""

import asyncio
from typing import Any

from turmericproxy.core import HostName, ModelName
from turmericproxy.core.ids import InstanceId
from turmericproxy.crashes.controller import CrashController, CrashState
from turmericproxy.fleet.batches import Batch, PlacedPrompt
from turmericproxy.fleet.messages import Hello
from turmericproxy.fleet.quotas import QuotaController
from turmericproxy.host.cache_following import CachePollerManager
from turmericproxy.limits.controller import LimitController
from turmericproxy.limits.messages import LimitState
from turmericproxy.placement.prefixes import PartKey
from turmericproxy.placement.registry import UpstreamRegistry
from turmericproxy.placement.removals import RemovalScheduler
from turmericproxy.rollout.wanted import WantedVersions
from turmericproxy.traffic.dispatching import Dispatcher
from turmericproxy.traffic.optional_controllers import AdmissionController, ReleaseController

# Assumed size of a part in the kept store; peers send only its id.
ASSUMED_KEPT_PART_TOKENS = 2000


class FleetUpdates:
    """Create batches for peers and apply the batches received from them."""

    def __init__(
        self,
        registry: UpstreamRegistry,
        dispatcher: Dispatcher,
        quotas: QuotaController,
        cache_pollers: CachePollerManager,
        wanted: WantedVersions,
        crashes: CrashController,
        limits: LimitController,
    ) -> None:
        self._registry = registry
        self._dispatcher = dispatcher
        self._quotas = quotas
        self._cache_pollers = cache_pollers
        self._wanted = wanted
        self._crashes = crashes
        self._limits = limits
        # Set once the tables of the store are followed.
        self.removals: RemovalScheduler | None = None
        # Set where the deployment asks for admission control.
        self.admission: AdmissionController | None = None
        # Set where rollouts of software are in force.
        self.releases: ReleaseController | None = None
        self._sent_reachability: bool | None = None
        self._sent_kept_epoch: int | None = None
        self._loading: list[tuple[InstanceId, float]] = []
        self._versions: list[tuple[InstanceId, ModelName, int]] = []
        self._superseded: list[tuple[InstanceId, str]] = []

    def announce_load(self, instance: InstanceId, seconds: float) -> None:
        """Add to the next batch that an engine loads weights for some seconds."""
        self._loading.append((instance, seconds))

    def announce_version(self, instance: InstanceId, model: ModelName, version: int) -> None:
        """Add to the next batch that an engine has loaded a version."""
        self._versions.append((instance, model, version))

    def announce_superseded(self, instance: InstanceId, address: str) -> None:
        """Add to the next batch that another upstream has taken an upstream's address."""
        self._superseded.append((instance, address))

    def create_introduction(self) -> Batch:
        """Return the state that a newly started host needs."""
        return self.create_state()._replace(
            levels=self._quotas.list_levels(),
            versions=self._registry.list_versions(),
            is_kept_store_reachable=self._cache_pollers.get_own_reachability(),
            leaving=self._registry.list_leaving(),
            kept_epoch=self._cache_pollers.get_kept_epoch(),
            release_notices=self.releases.list_known() if self.releases else (),
            speeds=self._registry.list_speeds(),
            removed=self.removals.list_notices() if self.removals else (),
            **_list_crash_fields(self._crashes.create_state(is_introduction=True)),
        )

    def create_state(self) -> Batch:
        """Return all of this host's work and quota spending."""
        work, spent = self._registry.list_own_work(), self._quotas.list_spent()
        crashes = _list_crash_fields(self._crashes.create_state(is_introduction=False))
        limits = _list_limit_fields(self._limits.create_state())
        return Batch(work=work, spent=spent, is_full_state=True, **crashes, **limits)

    def create_update(self) -> Batch | None:
        """Return the changes since the last call, or ``None`` if there are none."""
        work, spent = self._registry.take_changed_work(), self._quotas.take_changed_totals()
        placed, kept = self._dispatcher.take_placements()
        changing, self._loading = self._loading, []
        versions, self._versions = self._versions, []
        superseded, self._superseded = self._superseded, []
        leaving, evicted = self._registry.take_leaving(), self._cache_pollers.take_evicted()
        kept_epoch = self._cache_pollers.get_kept_epoch()
        crashes, limits = self._crashes.take_state(), self._limits.take_state()
        is_reachable = self._cache_pollers.get_own_reachability()
        has_changed = is_reachable is not self._sent_reachability
        is_restarted = kept_epoch != self._sent_kept_epoch
        self._sent_reachability, self._sent_kept_epoch = is_reachable, kept_epoch
        speeds = self._registry.take_speeds()
        notices, reports = self.releases.take_messages() if self.releases else ((), ())
        removed = self.removals.take_notices() if self.removals else ()
        upstreams = (changing, versions, superseded, leaving, evicted, speeds, removed)
        announced = (*upstreams, has_changed, is_restarted, notices, reports)
        if not any((work, spent, placed, kept, crashes, limits, *announced)):
            return None
        return Batch(
            work=work,
            placed_prompts=tuple(
                PlacedPrompt(
                    instance,
                    keys[0].space,
                    tuple((part.part_id, part.tokens) for part in prompt.shared_parts),
                    seconds,
                )
                for instance, keys, prompt, seconds in placed
            ),
            kept_parts=tuple((key.space, key.part_id) for key in kept),
            spent=spent,
            versions=tuple(versions),
            loading=tuple(changing),
            superseded=tuple(superseded),
            is_kept_store_reachable=is_reachable if has_changed else None,
            leaving=leaving,
            evicted=tuple((instance, key.space, key.part_id) for instance, key in evicted),
            kept_epoch=kept_epoch if is_restarted else None,
            release_notices=notices,
            release_reports=reports,
            speeds=speeds,
            removed=removed,
            **_list_crash_fields(crashes or CrashState()),
            **_list_limit_fields(limits or LimitState()),
        )

    def receive(self, hello: Hello, batch: Batch) -> None:
        """Apply a batch from a peer."""
        now = asyncio.get_running_loop().time()
        self._apply_upstream_changes(batch, now)
        self._pass_on(hello, batch)
        if batch.is_full_state:
            self._begin_full_state(hello.host)
        self._registry.set_peer_work(hello.host, batch.work)
        for prompt in batch.placed_prompts:
            state = self._registry.find(prompt.instance)
            if state:
                parts = [(PartKey(prompt.space, part), tokens) for part, tokens in prompt.parts]
                state.prefixes.add(parts, now + prompt.seconds)
        if batch.kept_parts:
            self._dispatcher.kept_prefixes.add(
                (PartKey(space, part), ASSUMED_KEPT_PART_TOKENS) for space, part in batch.kept_parts
            )
        if batch.evicted:
            self._cache_pollers.receive_evicted(
                (instance, PartKey(space, part)) for instance, space, part in batch.evicted
            )
        if batch.kept_epoch is not None:
            self._cache_pollers.receive_kept_epoch(batch.kept_epoch)
        if batch.is_kept_store_reachable is not None:
            self._cache_pollers.receive_reachability(batch.is_kept_store_reachable)
        if batch.levels:
            self._quotas.inherit_levels(batch.levels)
        if batch.spent or batch.is_full_state:
            self._quotas.record_peer_spending(
                hello.host, hello.incarnation, batch.spent, is_complete=batch.is_full_state
            )

    def _begin_full_state(self, host: HostName) -> None:
        """Discard what a peer reported before the full state that it has sent."""
        self._registry.forget_peer(host)
        if self.admission:
            self.admission.record_peer_state(host)
        self._crashes.record_complete_state(host)

    def _pass_on(self, hello: Hello, batch: Batch) -> None:
        """Pass on what belongs to crashes, limits and rollouts of software."""
        self._crashes.receive(
            hello.host, CrashState(batch.ended, batch.answered_parts, batch.blocks)
        )
        self._limits.receive(
            hello.host, LimitState(batch.limits, batch.permit_reports, batch.permit_grants)
        )
        if self.releases and (batch.release_notices or batch.release_reports):
            self.releases.receive(
                hello.host, hello.incarnation, batch.release_notices, batch.release_reports
            )

    def _apply_upstream_changes(self, batch: Batch, now: float) -> None:
        """Apply what a peer has learnt about upstreams.

        Engines load only versions that an operator has requested, so each reported version is
        recorded as wanted.
        """
        for instance, model, version in batch.versions:
            self._registry.record_version(instance, model, version)
            self._wanted.record(model, version, now)
        for instance, seconds in batch.loading:
            self._registry.mark_loading(instance, now + seconds)
        for instance, address in batch.superseded:
            self._registry.supersede(instance, address)
        for instance, started_at in batch.leaving:
            self._registry.mark_leaving(instance, started_at)
        self._registry.receive_speeds(batch.speeds, now)
        if batch.removed and self.removals:
            self.removals.receive_notices(batch.removed)

    def forget_peer(self, host: HostName) -> None:
        """Discard the state received from a lost peer."""
        if self.admission:
            self.admission.record_lost_peer(host)
        self._registry.forget_peer(host)
        self._quotas.forget_peer(host)
        self._limits.forget_peer(host)


def _list_crash_fields(state: CrashState) -> dict[str, Any]:
    return {"ended": state.reports, "answered_parts": state.answered, "blocks": state.blocks}


def _list_limit_fields(state: LimitState) -> dict[str, Any]:
    return {
        "limits": state.notices,
        "permit_reports": state.reports,
        "permit_grants": state.grants,
    }
