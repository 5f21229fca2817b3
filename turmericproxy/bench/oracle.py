"""Replay a workload through routers with exact knowledge of all caches, to bound the hit rate."""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from turmericproxy.bench.shapes import Shape
from turmericproxy.bench.workload import Call, CallKind, create_messages
from turmericproxy.cache.blocks import TOKENS_PER_BLOCK, count_tokens, hash_blocks, render_prompt

Chain = tuple[str, ...]


@dataclass
class _Engine:
    """Model an engine: its LRU cache of blocks, and the time at which its queue is empty."""

    capacity: int
    blocks: OrderedDict[str, None] = field(default_factory=OrderedDict)
    idle_at: float = 0.0

    def count_cached_blocks(self, chain: Chain) -> int:
        count = 0
        while count < len(chain) and chain[count] in self.blocks:
            count += 1
        return count

    def insert(self, chain: Chain) -> None:
        for block in reversed(chain):
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.capacity:
            self.blocks.popitem(last=False)


@dataclass(frozen=True)
class ReplayedCall:
    """Store the fields of a call that a replay needs."""

    at: float
    chain: Chain
    prompt_tokens: int


RankingFunction = Callable[[_Engine, ReplayedCall, float], tuple[float, ...]]


def _rank_by_match(engine: _Engine, call: ReplayedCall, rate: float) -> tuple[float, ...]:
    return -engine.count_cached_blocks(call.chain), engine.idle_at


def _rank_by_time(engine: _Engine, call: ReplayedCall, rate: float) -> tuple[float, ...]:
    uncached_tokens = call.prompt_tokens - TOKENS_PER_BLOCK * engine.count_cached_blocks(call.chain)
    return max(0.0, engine.idle_at - call.at) + uncached_tokens / rate, len(engine.blocks)


def _rank_by_work(engine: _Engine, call: ReplayedCall, rate: float) -> tuple[float, ...]:
    uncached_tokens = call.prompt_tokens - TOKENS_PER_BLOCK * engine.count_cached_blocks(call.chain)
    return 0.3 * max(0.0, engine.idle_at - call.at) + uncached_tokens / rate, len(engine.blocks)


RANKINGS: dict[str, RankingFunction] = {
    "longest match": _rank_by_match,
    "least time": _rank_by_time,
    "least work": _rank_by_work,
}


def create_replay(shape: Shape, calls: Sequence[Call]) -> list[ReplayedCall]:
    """Return the chats of a workload in the form that ``replay`` takes."""
    replayed = []
    for call in calls:
        if call.kind is CallKind.CHAT:
            prompt = render_prompt(create_messages(call))
            chain = hash_blocks(prompt, call.account, shape.model, "1")
            replayed.append(ReplayedCall(call.at, chain, count_tokens(prompt)))
    return replayed


def find_best_hit_rate(shape: Shape, calls: Sequence[ReplayedCall]) -> float:
    """Return the highest hit rate of a replay over all rankings."""
    return max(replay(shape, calls, rank) for rank in RANKINGS.values())


def replay(shape: Shape, calls: Sequence[ReplayedCall], rank: RankingFunction) -> float:
    """Return the hit rate when each call goes to the engine with the lowest rank."""
    engines = [_Engine(shape.capacity_blocks) for _ in range(shape.engines)]
    hits = total = 0
    for call in calls:
        engine = min(engines, key=lambda engine: rank(engine, call, shape.prefill_rate))
        matched = engine.count_cached_blocks(call.chain)
        uncached_tokens = call.prompt_tokens - TOKENS_PER_BLOCK * matched
        engine.idle_at = max(engine.idle_at, call.at) + uncached_tokens / shape.prefill_rate
        engine.insert(call.chain)
        hits += matched
        total += len(call.chain)
    return hits / total if total else 0.0
