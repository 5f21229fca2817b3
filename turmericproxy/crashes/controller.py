"""Add up what ended engines, over all hosts, and decide which prompts to refuse."""

import copy
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

from turmericproxy.core import HostName, ModelName, RequestId
from turmericproxy.core.hashing import choose_by_hash
from turmericproxy.crashes.blocks import Block, BlockKey, BlockList, compute_block_seconds
from turmericproxy.crashes.collecting import EndCollector
from turmericproxy.crashes.detection import EndDetector
from turmericproxy.crashes.evidence import (
    MAX_NOTICES,
    MAX_PARTS_PER_MESSAGE,
    BlockNotice,
    BrokenPrompt,
    EndReport,
    EngineStart,
    ModelPart,
)
from turmericproxy.crashes.judgement import Suspicion
from turmericproxy.crashes.ledger import EngineEnd
from turmericproxy.crashes.reports import OwnReports
from turmericproxy.crashes.suspects import Suspects
from turmericproxy.logs import Part, log_event
from turmericproxy.metrics import Metrics
from turmericproxy.placement.registry import UpstreamRegistry

# Parts that wait for their assessment.
MAX_DIRTY_PARTS = 4096
# Time within which other hosts have told that a suspicious part was answered there. Requests reach
# all hosts alike, so that each has about as many answers as this one.
ANNOUNCEMENT_SECONDS = 0.5
# Hosts that must tell of a block which this host has no evidence for.
MIN_VOTERS = 2
MAX_VOTED_BLOCKS = 256
# Ends that this host must know of itself to believe one other host's block.
MIN_KNOWN_ENDS = 2


class CrashState(NamedTuple):
    """Hold what one host tells others about ends of engines, answered parts and blocks."""

    reports: tuple[EndReport, ...] = ()
    answered: tuple[ModelPart, ...] = ()
    blocks: tuple[BlockNotice, ...] = ()


class CrashController:
    """Keep the evidence and the blocks of one host; ``list_reachable`` returns its peers."""

    def __init__(
        self,
        host: HostName,
        registry: UpstreamRegistry,
        list_reachable: Callable[[], list[HostName]],
        read_clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._host = host
        self._detector = EndDetector(registry)
        self._collector = EndCollector(
            self._detector, read_clock, self._record_end, self._record_report
        )
        self._suspects = Suspects()
        self._ledger = self._suspects.ledger
        self._own_reports = OwnReports(self._ledger.is_cleared_since)
        self.list_reachable = list_reachable
        self._read_clock = read_clock
        self._metrics = metrics
        self._unsent_answered: set[ModelPart] = set()
        self._unsent_notices: list[BlockNotice] = []
        self._dirty: dict[ModelPart, None] = {}
        self._votes: OrderedDict[BlockKey, dict[HostName, BlockNotice]] = OrderedDict()
        self._part_votes: dict[ModelPart, set[HostName]] = {}
        self._running: dict[object, tuple[ModelName, frozenset[str], Callable[[], None]]] = {}
        self.blocks = BlockList()
        self.on_change: Callable[[], None] = lambda: None
        # Until the stored blocks have been read, nothing is sent to engines.
        self.is_loaded = True
        self.must_read = False
        self.lifted: list[Block] = []
        self._told_by: set[HostName] = set()

    # Requests

    def create_trial(self) -> "CrashController":
        """Return a copy that can try a decision: the trials of blocks stay as they are."""
        trial = copy.copy(self)
        trial.blocks = copy.deepcopy(self.blocks)
        return trial

    def find_block(
        self, request_id: RequestId, model: ModelName, parts: Iterable[str]
    ) -> Block | None:
        """Return the block under which a prompt is refused, if any.

        Once the time of a block is over, one host lets one request through as a trial.
        """
        block = self.blocks.find(model, parts)
        if block is None:
            return None
        now = self._read_clock()
        if now >= block.until and self._is_elected(block) and block.start_trial(request_id, now):
            log_event(Part.ROUTING, "blocked part tried", block=block.name, request_id=request_id)
            return None
        return block

    def estimate_block_seconds(self, block: Block) -> float:
        """Return for how long a block will last."""
        seconds = block.until - self._read_clock()
        return seconds if seconds > 0 else compute_block_seconds(block.failed_trials)

    @contextmanager
    def watch(
        self, model: ModelName, parts: Iterable[str], abandon: Callable[[], None]
    ) -> Iterator[None]:
        """Call ``abandon`` if the prompt's parts become blocked meanwhile."""
        token = object()
        self._running[token] = (model, frozenset(parts), abandon)
        try:
            yield
        finally:
            del self._running[token]

    def record_answer(
        self, engine: EngineStart, model: ModelName, parts: Iterable[str], sent_at: float
    ) -> None:
        """Record that an answer came through, which shows that its parts end no engine."""
        now = self._read_clock()
        held = frozenset(parts)
        end = self._ledger.find(engine)
        if end and sent_at > end.at:
            # Its connections were refused or reset, but the engine goes on.
            self._ledger.remove(engine)
            log_event(Part.ROUTING, "engine has not ended", engine=engine.instance)
        self._unsent_answered |= self._suspects.record_answer(model, held, now)
        if len(self.blocks):
            self._narrow_blocks(model, held, sent_at)

    def record_broken(self, engine: EngineStart, prompt: BrokenPrompt) -> None:
        """Record a prompt whose answer broke off, and find out whether its engine ended."""
        self._collector.record_broken(engine, prompt)

    async def await_end(self, engine: EngineStart) -> bool:
        """Return whether an engine on which a prompt broke has ended, as far as is known soon."""
        return await self._collector.await_end(engine)

    # Other hosts

    def take_state(self) -> CrashState | None:
        """Return what is new since the last call, or ``None``."""
        self._collector.review()
        self._review()
        reports = self._own_reports.take_unsent(self._read_clock())
        if not (reports or self._unsent_answered or self._unsent_notices):
            return None
        answered = tuple(self._unsent_answered)[:MAX_PARTS_PER_MESSAGE]
        # The rest is sent with the next message.
        self._unsent_answered.difference_update(answered)
        notices = self._unsent_notices[:MAX_NOTICES]
        del self._unsent_notices[:MAX_NOTICES]
        return CrashState(reports, answered, tuple(notices))

    def create_state(self, *, is_introduction: bool) -> CrashState:
        """Return this host's own evidence and its blocks; for a new host, all that it keeps."""
        now, reports = self._read_clock(), self._own_reports
        own = reports.list_all(now) if is_introduction else reports.list_recent(now)
        return CrashState(own, (), tuple(self._create_notice(block) for block in self.blocks))

    def receive(self, host: HostName, state: CrashState) -> None:
        """Add what another host tells."""
        now = self._read_clock()
        for report in state.reports:
            self._receive_report(host, report, now)
        if state.answered:
            self._ledger.clear(state.answered, now)
            self._count_answered(host, state.answered)
        for notice in state.blocks:
            self._receive_notice(host, notice)

    def record_complete_state(self, host: HostName) -> None:
        """Record that another host has told all its blocks; some hosts are as good as the store."""
        if not self.is_loaded:
            self._told_by.add(host)
            self.is_loaded = len(self._told_by) >= MIN_VOTERS

    def _receive_report(self, host: HostName, report: EndReport, now: float) -> None:
        if self._detector.is_leaving(report.engine):
            return
        end = self._ledger.add(report, host, now)
        self._mark_dirty(end)
        if not end.is_credible:
            self._collector.check_reported(end)

    def _receive_notice(self, host: HostName, notice: BlockNotice) -> None:
        key = (notice.model, frozenset(notice.parts))
        if not notice.parts:
            return
        now = self._read_clock()
        block = self.blocks.get(key)
        if notice.seconds <= 0:
            self._votes.get(key, {}).pop(host, None)
            if block and now >= block.until:
                self.lift(block, "another host's trial was answered")
            elif block:
                # An operator may have removed it.
                self.request_read()
            return
        votes = self._votes.setdefault(key, {})
        votes[host] = notice
        if len(self._votes) > MAX_VOTED_BLOCKS:
            self._votes.popitem(last=False)
        if block:
            if notice.failed_trials > block.failed_trials:
                block.failed_trials = notice.failed_trials
                block.until = max(block.until, now + notice.seconds)
            block.is_stored |= notice.is_stored
            return
        if len(votes) >= MIN_VOTERS or self._has_evidence(key, host):
            self._adopt(key, max(votes.values(), key=lambda n: n.seconds), sorted(votes))

    def _has_evidence(self, key: BlockKey, voter: HostName) -> bool:
        """Return whether more than the word of one host speaks for its block."""
        model, parts = key
        for part in parts:
            suspicion = self._assess(ModelPart(model, part))
            if suspicion is None or suspicion.begun_ends < MIN_KNOWN_ENDS:
                return False
            if not suspicion.reporters - {voter}:
                return False
        return True

    def _adopt(self, key: BlockKey, notice: BlockNotice, voters: list[HostName]) -> None:
        seconds = min(notice.seconds, compute_block_seconds(notice.failed_trials))
        block = Block(*key, self._read_clock() + seconds, notice.failed_trials, notice.is_stored)
        self._add_block(block, source="hosts", voters=voters)

    def restore(self, block: Block) -> None:
        """Add a block that was read from the store."""
        if self.blocks.find(block.model, block.parts) is None:
            self._add_block(block, source="store")

    # Evidence

    def _record_end(self, engine: EngineStart) -> None:
        """Record that this host has found out by itself that an engine ended."""
        end = self._ledger.find(engine)
        if end and not end.is_observed:
            end.is_observed = True
            self._mark_dirty(end)

    def _record_report(self, report: EndReport) -> None:
        """Add the broken prompts of an ended engine to the evidence, and tell the other hosts."""
        now, engine = self._read_clock(), report.engine
        is_first = self._ledger.find(engine) is None
        end = self._ledger.add(report, self._host, now)
        end.is_observed = True
        self._own_reports.add(report, now)
        self._mark_dirty(end)
        begun = [prompt.request_id for prompt in report.prompts if prompt.has_begun]
        if is_first:
            self._metrics.count("ended_engines")
        for block in self.blocks:
            if block.trial in begun:
                self._fail_trial(block)
        if is_first or begun:
            log_event(
                Part.ROUTING,
                "engine ended",
                engine=engine.instance,
                started_at=engine.started_at,
                broken=report.prompt_count,
                begun_requests=begun,
            )

    def _mark_dirty(self, end: EngineEnd) -> None:
        if not end.is_credible:
            return
        for part in end.suspect_parts:
            if len(self._dirty) < MAX_DIRTY_PARTS:
                self._dirty[part] = None

    def _review(self) -> None:
        """Assess the parts with new evidence."""
        dirty, self._dirty = self._dirty, {}
        suspicions = {part: s for part in dirty if (s := self._assess(part))}
        # The strongest first: what it explains no longer speaks against the others.
        for part in sorted(suspicions, key=lambda p: suspicions[p].chance):
            suspicion = self._assess(part)
            if suspicion is None or self._is_covered(part):
                continue
            if suspicion.is_sufficient and suspicion.is_confirmed_by(self._host):
                self._block(part, suspicion)
            elif suspicion.begun_ends > 1:
                # Answers on other parts may still add to the evidence.
                self._dirty[part] = None

    def _is_covered(self, part: ModelPart) -> bool:
        return self.blocks.find(part.model, (part.part_id,)) is not None

    def _assess(self, part: ModelPart) -> Suspicion | None:
        return self._suspects.assess(
            part,
            self._read_clock() - ANNOUNCEMENT_SECONDS,
            len(self.list_reachable()),
            ANNOUNCEMENT_SECONDS,
            self._is_explained,
        )

    def _is_explained(self, part: ModelPart, end: EngineEnd) -> bool:
        """Return whether a prompt that is refused by now was under way when an engine ended."""
        return any(
            part.part_id not in block.parts
            and any(block.matches(b.prompt.model, b.prompt.parts) for b in end.begun.values())
            for block in self.blocks
        )

    # Blocks

    def _block(self, part: ModelPart, suspicion: Suspicion) -> None:
        block = Block(
            part.model,
            self._suspects.list_inseparable(part, suspicion),
            self._read_clock() + compute_block_seconds(0),
            blamed_until=suspicion.ends[-1].at,
        )
        self._add_block(
            block,
            source="evidence",
            engines=[end.engine.instance for end in suspicion.ends],
            requests=[blamed.prompt.request_id for blamed in suspicion.prompts],
            hosts=sorted(suspicion.reporters),
            chance=suspicion.chance,
        )

    def _add_block(self, block: Block, *, source: str, **fields: Any) -> None:
        block.changed_at = self._read_clock()
        self.blocks.add(block)
        self.announce(block)
        self._metrics.count("blocked_parts", source=source)
        log_event(
            Part.ROUTING,
            "part blocked",
            block=block.name,
            seconds=round(block.until - self._read_clock(), 1),
            source=source,
            **fields,
        )
        for model, parts, abandon in list(self._running.values()):
            if block.matches(model, parts):
                abandon()
        self.on_change()

    def lift(self, block: Block, reason: str, *, is_row_removed: bool = True) -> None:
        """Send prompts with the parts of a block again; the other hosts follow.

        While its row is still to be removed, they aren't told, since they look there.
        """
        if self.blocks.remove(block.key) is None:
            return
        self._votes.pop(block.key, None)
        parts = [ModelPart(block.model, part) for part in block.parts]
        self._forget_votes(parts)
        self._ledger.clear(parts, self._read_clock())
        log_event(Part.ROUTING, "block lifted", block=block.name, reason=reason)
        if is_row_removed:
            self.announce_lifted(block)
        else:
            self.lifted.append(block)
            self.on_change()

    def announce_lifted(self, block: Block) -> None:
        """Tell the other hosts that a block is no longer in force."""
        self._unsent_notices.append(self._create_notice(block)._replace(seconds=0.0))

    def request_read(self) -> None:
        """Have the table of blocks read if there are any, since it may have changed."""
        if len(self.blocks):
            self.must_read = True
            self.on_change()

    def announce(self, block: Block) -> None:
        """Tell the other hosts the present state of a block."""
        self._unsent_notices.append(self._create_notice(block))

    def _narrow_blocks(self, model: ModelName, parts: frozenset[str], sent_at: float) -> None:
        """Apply an answer to the blocks: none of its parts ends engines."""
        for block in self.blocks:
            if block.model != model or not block.parts & parts:
                continue
            if block.parts > parts & block.parts:
                self._replace_block(block, block.parts - parts)
            elif (block.trial and sent_at >= block.trial_at) or sent_at > block.blamed_until:
                self.lift(block, "a prompt with its parts was answered", is_row_removed=False)

    def _count_answered(self, host: HostName, parts: Iterable[ModelPart]) -> None:
        """Narrow blocks by parts that several other hosts saw answered."""
        for part in parts:
            for block in self.blocks:
                if block.model != part.model or part.part_id not in block.parts:
                    continue
                voters = self._part_votes.setdefault(part, set())
                voters.add(host)
                if len(voters) >= MIN_VOTERS and len(block.parts) > 1:
                    self._replace_block(block, block.parts - {part.part_id})

    def _forget_votes(self, parts: Iterable[ModelPart]) -> None:
        """Forget which hosts saw parts answered: a later block may have another cause."""
        for part in parts:
            self._part_votes.pop(part, None)

    def _replace_block(self, block: Block, parts: frozenset[str]) -> None:
        self.blocks.remove(block.key)
        self._forget_votes(ModelPart(block.model, part) for part in block.parts)
        self.lifted.append(block)
        narrowed = Block(block.model, parts, block.until, block.failed_trials)
        self._add_block(narrowed, source="narrowed", previous=block.name)

    def _fail_trial(self, block: Block) -> None:
        """Extend a block whose trial has ended an engine."""
        block.extend(self._read_clock())
        self.announce(block)
        log_event(Part.ROUTING, "block extended", block=block.name, trials=block.failed_trials)
        self.on_change()

    def _create_notice(self, block: Block) -> BlockNotice:
        seconds = max(0.001, block.until - self._read_clock())
        return BlockNotice(
            block.model, tuple(sorted(block.parts)), seconds, block.failed_trials, block.is_stored
        )

    def _is_elected(self, block: Block) -> bool:
        return choose_by_hash(block.name, [self._host, *self.list_reachable()]) == self._host

    def close(self) -> None:
        """Cancel the probes under way."""
        self._collector.close()
