"""Collect what peers are to be told of, and take in what they tell."""

import asyncio
from dataclasses import replace

from turmericproxy.core import HostName, ModelName
from turmericproxy.core.ids import InstanceId
from turmericproxy.fleet.batches import Batch, PlacedPrompt
from turmericproxy.fleet.messages import Hello
from turmericproxy.fleet.quotas import QuotaController
from turmericproxy.host.cache_following import CacheFollowing
from turmericproxy.placement.prefixes import PartKey
from turmericproxy.placement.registry import UpstreamRegistry
from turmericproxy.rollout.wanted import WantedVersions
from turmericproxy.traffic.dispatching import Dispatcher

# Tokens that a part is taken for when a peer tells only that it is kept.
KEPT_PART_TOKENS = 2000


class FleetUpdates:
    """Make batches for peers and apply theirs."""

    def __init__(
        self,
        registry: UpstreamRegistry,
        dispatcher: Dispatcher,
        quotas: QuotaController,
        caches: CacheFollowing,
        wanted: WantedVersions,
    ) -> None:
        self._registry = registry
        self._dispatcher = dispatcher
        self._quotas = quotas
        self._caches = caches
        self._wanted = wanted
        self._told_finding: bool | None = None
        self._changing: list[tuple[InstanceId, float]] = []
        self._versions: list[tuple[InstanceId, ModelName, int]] = []
        self._gone: list[tuple[InstanceId, str]] = []

    def announce_load(self, instance: InstanceId, seconds: float) -> None:
        """Tell that an engine loads weights for some seconds."""
        self._changing.append((instance, seconds))

    def announce_version(self, instance: InstanceId, model: ModelName, version: int) -> None:
        """Tell that an engine has loaded a version."""
        self._versions.append((instance, model, version))

    def announce_superseded(self, instance: InstanceId, address: str) -> None:
        """Tell that another upstream answered at an upstream's address."""
        self._gone.append((instance, address))

    def create_introduction(self) -> Batch:
        """Return all state, for a host that has just started."""
        return replace(
            self.create_state(),
            levels=self._quotas.list_levels(),
            versions=self._registry.list_versions(),
            is_kept_store_reachable=self._caches.get_own_reachability(),
        )

    def create_state(self) -> Batch:
        """Return all work and spending."""
        work, spent = self._registry.list_own_work(), self._quotas.list_spent()
        return Batch(work=work, spent=spent, is_full_state=True)

    def create_update(self) -> Batch | None:
        """Return what has changed since the last call."""
        work, spent = self._registry.take_changed_work(), self._quotas.take_changed_totals()
        placed, kept = self._dispatcher.take_placements()
        changing, self._changing = self._changing, []
        versions, self._versions = self._versions, []
        gone, self._gone = self._gone, []
        finding = self._caches.get_own_reachability()
        is_news = finding is not self._told_finding
        self._told_finding = finding
        if not any((work, spent, placed, kept, changing, versions, gone, is_news)):
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
            superseded=tuple(gone),
            is_kept_store_reachable=finding if is_news else None,
        )

    def receive(self, hello: Hello, batch: Batch) -> None:
        """Take in a batch of a peer; a version that an engine has was named."""
        now = asyncio.get_running_loop().time()
        for instance, model, version in batch.versions:
            self._registry.record_version(instance, model, version)
            self._wanted.record(model, version, now)
        if batch.is_full_state:
            self._registry.forget_peer(hello.host)
        self._registry.set_peer_work(hello.host, batch.work)
        for prompt in batch.placed_prompts:
            state = self._registry.find(prompt.instance)
            if state:
                parts = [(PartKey(prompt.space, part), tokens) for part, tokens in prompt.parts]
                state.prefixes.add(parts, now + prompt.seconds)
        self._dispatcher.kept_prefixes.add(
            (PartKey(space, part), KEPT_PART_TOKENS) for space, part in batch.kept_parts
        )
        for instance, seconds in batch.loading:
            self._registry.mark_loading(instance, now + seconds)
        for instance, address in batch.superseded:
            self._registry.supersede(instance, address)
        if batch.is_kept_store_reachable is not None:
            self._caches.receive_reachability(batch.is_kept_store_reachable)
        if batch.levels:
            self._quotas.inherit_levels(batch.levels)
        if batch.spent:
            self._quotas.record_peer_spending(hello.host, hello.incarnation, batch.spent)

    def lose(self, host: HostName) -> None:
        """Drop what a peer told that can't be heard any more."""
        self._registry.forget_peer(host)
        self._quotas.forget_peer(host)
