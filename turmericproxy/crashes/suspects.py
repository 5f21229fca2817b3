"""Hold the evidence of a host, and assess prompt parts by it."""

from collections import defaultdict
from collections.abc import Callable, Iterable

from turmericproxy.core import ModelName
from turmericproxy.crashes.answered import AnsweredPrompts
from turmericproxy.crashes.evidence import ModelPart
from turmericproxy.crashes.judgement import Suspicion, Traffic, assess_part, find_common_parts
from turmericproxy.crashes.ledger import EndLedger, EngineEnd


class Suspects:
    """Combine the ends of engines with the prompts that were answered meanwhile."""

    def __init__(self) -> None:
        self.ledger = EndLedger()
        self._answered: defaultdict[ModelName, AnsweredPrompts] = defaultdict(AnsweredPrompts)

    def record_answer(self, model: ModelName, parts: Iterable[str], now: float) -> set[ModelPart]:
        """Record an answer; return its parts that an end had made suspicious."""
        held = [ModelPart(model, part) for part in parts]
        self._answered[model].add(held, now)
        return self.ledger.clear(held, now)

    def assess(
        self,
        part: ModelPart,
        answered_until: float,
        other_hosts: int = 0,
        told_delay: float = 0.0,
        is_explained: Callable[[ModelPart, EngineEnd], bool] = lambda _part, _end: False,
    ) -> Suspicion | None:
        """Return what speaks against a part, ``None`` if nothing does.

        Each of ``other_hosts`` has had about as many answers as this one until a time, and would
        have told if one of them was on the part, from ``told_delay`` seconds after the first end
        on: before, it didn't know of the end. Ends for which ``is_explained`` returns true have
        another cause.
        """
        answered = self._answered[part.model]
        # An end may become known only after a later answer.
        last_answer = answered.find_last(part)
        ends = [
            end
            for end in self.ledger.list_blamed(part)
            if end.at > last_answer and not is_explained(part, end)
        ]
        if not ends:
            return None
        since = ends[0].at
        traffic = Traffic(
            share=answered.estimate_share(part),
            answers=answered.count_between(since, answered_until)
            + other_hosts * answered.count_between(since + told_delay, answered_until),
            other_ends=self.ledger.count_since(since) - len(ends),
        )
        return assess_part(part, ends, traffic)

    def list_inseparable(self, part: ModelPart, suspicion: Suspicion) -> frozenset[str]:
        """Return a part with those that were in all its prompts, too, and were not answered."""
        since = suspicion.ends[0].at
        return frozenset(
            other
            for other in find_common_parts(suspicion)
            if other == part.part_id
            or not self.ledger.is_cleared_since(ModelPart(part.model, other), since)
        )
