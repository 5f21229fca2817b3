"""Collect the ends of engines that hosts report, with the prompts that broke with them."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from turmericproxy.core import HostName, RequestId
from turmericproxy.crashes.evidence import BrokenPrompt, EndReport, EngineStart, ModelPart

# Ends that are remembered. Those that only one other host tells of are dropped first.
MAX_ENDS = 256
# Prompts that are remembered of one end: those that had begun, and others.
MAX_BEGUN_PROMPTS = 64
MAX_OTHER_PROMPTS = 64
# Hosts that must report an end which this host hasn't observed itself.
MIN_REPORTERS = 2
# Parts whose last answer is remembered; the oldest are dropped.
MAX_CLEARED_PARTS = 4096


@dataclass
class BlamedPrompt:
    """Hold a broken prompt, when it was sent, and the hosts that reported it."""

    prompt: BrokenPrompt
    sent_at: float
    reporters: set[HostName]

    def holds(self, part: ModelPart) -> bool:
        """Return whether the prompt holds a part."""
        return self.prompt.model == part.model and part.part_id in self.prompt.parts


@dataclass
class EngineEnd:
    """Hold what is known of the end of an engine; times are of the event loop.

    ``is_observed`` tells that this host has found out by itself that the engine ended.
    """

    engine: EngineStart
    at: float
    is_observed: bool = False
    reporters: set[HostName] = field(default_factory=set)
    begun: dict[RequestId, BlamedPrompt] = field(default_factory=dict)
    others: dict[RequestId, BlamedPrompt] = field(default_factory=dict)
    begun_parts: set[ModelPart] = field(default_factory=set)
    other_parts: set[ModelPart] = field(default_factory=set)
    prompt_count: int = 0

    @property
    def is_credible(self) -> bool:
        """Return whether the end is known from more than the word of one other host."""
        return self.is_observed or len(self.reporters) >= MIN_REPORTERS

    @property
    def suspects(self) -> dict[RequestId, BlamedPrompt]:
        """Return the prompts that may have caused the end.

        An engine ends once it has begun the answer; the others count if no such prompt is known.
        """
        return self.begun or self.others

    def add(self, report: EndReport, reporter: HostName, now: float) -> None:
        """Add what one host reports, perhaps not for the first time."""
        known = {
            r
            for group in (self.begun, self.others)
            for r, b in group.items()
            if reporter in b.reporters
        }
        if reporter not in self.reporters or any(p.request_id not in known for p in report.prompts):
            self.prompt_count += max(0, report.prompt_count)
        self.reporters.add(reporter)
        for prompt in report.prompts:
            group = self.begun if prompt.has_begun else self.others
            limit = MAX_BEGUN_PROMPTS if prompt.has_begun else MAX_OTHER_PROMPTS
            if blamed := group.get(prompt.request_id):
                blamed.reporters.add(reporter)
            elif len(group) < limit:
                group[prompt.request_id] = BlamedPrompt(prompt, now - prompt.seconds, {reporter})
                parts = self.begun_parts if prompt.has_begun else self.other_parts
                parts.update(ModelPart(prompt.model, part) for part in prompt.parts)

    @property
    def suspect_parts(self) -> set[ModelPart]:
        """Return the parts of the prompts that may have caused the end."""
        return self.begun_parts if self.begun else self.other_parts


class EndLedger:
    """Hold the newest ends, and when prompts with their parts were last answered."""

    def __init__(self) -> None:
        self._ends: OrderedDict[EngineStart, EngineEnd] = OrderedDict()
        self._ends_by_part: dict[ModelPart, dict[EngineStart, EngineEnd]] = {}
        self._cleared_at: OrderedDict[ModelPart, float] = OrderedDict()

    def find(self, engine: EngineStart) -> EngineEnd | None:
        """Return the end of an engine, or ``None``."""
        return self._ends.get(engine)

    def open(self, engine: EngineStart, now: float) -> EngineEnd:
        """Return the end of an engine, which is added if it is new."""
        end = self._ends.get(engine)
        if end is None:
            end = self._ends[engine] = EngineEnd(engine, now)
            if len(self._ends) > MAX_ENDS:
                self._drop_one(keep=engine)
        return end

    def add(self, report: EndReport, reporter: HostName, now: float) -> EngineEnd:
        """Add what one host reports of an end, and return the end."""
        end = self.open(report.engine, now - report.seconds)
        end.add(report, reporter, now)
        for prompt in report.prompts:
            for part in prompt.parts:
                key = ModelPart(prompt.model, part)
                if key in end.begun_parts or key in end.other_parts:
                    self._ends_by_part.setdefault(key, {})[report.engine] = end
        return end

    def remove(self, engine: EngineStart) -> None:
        """Forget an end, since the engine goes on."""
        end = self._ends.pop(engine, None)
        for part in end.begun_parts | end.other_parts if end else ():
            ends = self._ends_by_part.get(part, {})
            ends.pop(engine, None)
            if not ends:
                self._ends_by_part.pop(part, None)

    def clear(self, parts: Iterable[ModelPart], now: float) -> set[ModelPart]:
        """Record an answer on some parts; return those that an earlier end had blamed."""
        blamed = {part for part in parts if self._find_blamed(part)}
        for part in blamed:
            self._cleared_at.pop(part, None)
            self._cleared_at[part] = now
        while len(self._cleared_at) > MAX_CLEARED_PARTS:
            self._cleared_at.popitem(last=False)
        return blamed

    def list_blamed(self, part: ModelPart) -> list[EngineEnd]:
        """Return the credible ends since the last answer on a part that it may have caused."""
        ends = [end for end in self._find_blamed(part) if end.is_credible]
        return sorted(ends, key=lambda end: end.at)

    def count_since(self, time: float) -> int:
        """Return the number of credible ends from a time on."""
        return sum(end.at >= time and end.is_credible for end in self._ends.values())

    def is_cleared_since(self, part: ModelPart, time: float) -> bool:
        """Return whether a part was answered after a time."""
        return self._cleared_at.get(part, float("-inf")) > time

    def _find_blamed(self, part: ModelPart) -> list[EngineEnd]:
        cleared_at = self._cleared_at.get(part, float("-inf"))
        ends = self._ends_by_part.get(part, {}).values()
        return [end for end in ends if end.at > cleared_at and part in end.suspect_parts]

    def _drop_one(self, keep: EngineStart) -> None:
        others = [end for end in self._ends.values() if end.engine != keep]
        doubtful = [end for end in others if not end.is_credible]
        self.remove((doubtful or others)[0].engine)
