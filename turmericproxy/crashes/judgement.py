"""Judge from the ends of engines whether a prompt part causes them."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from turmericproxy.core import HostName
from turmericproxy.crashes.evidence import ModelPart
from turmericproxy.crashes.ledger import MIN_REPORTERS, BlamedPrompt, EngineEnd

# Ends of which a part must have been in a prompt whose answer had just begun.
MIN_BEGUN_ENDS = 3
# Ends that are needed if it isn't known which answers had begun.
MIN_ENDS = 5
# Chance at which a part would be in as many of these prompts without being the cause. Some hundred
# parts are judged at each of several ends.
MAX_CHANCE = 1e-5


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Hold what speaks against a part.

    ``chance`` is the probability that a part which isn't the cause is in these prompts.
    ``reporters`` are the hosts that sent them.
    """

    ends: tuple[EngineEnd, ...]
    prompts: tuple[BlamedPrompt, ...]
    begun_ends: int
    chance: float
    reporters: frozenset[HostName]

    @property
    def is_sufficient(self) -> bool:
        """Return whether the part is to be held for the cause."""
        has_ends = self.begun_ends >= MIN_BEGUN_ENDS or len(self.ends) >= MIN_ENDS
        return has_ends and self.chance <= MAX_CHANCE and self._is_repeated

    def is_confirmed_by(self, host: HostName) -> bool:
        """Return whether the evidence is more than the word of one host other than this one."""
        return host in self.reporters or len(self.reporters) >= MIN_REPORTERS

    @property
    def _is_repeated(self) -> bool:
        # Engines that end in the same moment for one other reason say little about the prompts.
        return any(blamed.sent_at > self.ends[0].at for blamed in self.prompts)


@dataclass(frozen=True, slots=True)
class Traffic:
    """Hold what is known of the prompts that didn't break.

    ``share`` is the share of answered prompts with a part, ``answers`` the number of answers at all
    hosts since the first end that speaks against it, none of them on a prompt with the part, and
    ``other_ends`` that of the ends since then that don't speak against it.
    """

    share: float
    answers: int = 0
    other_ends: int = 0


def assess_part(part: ModelPart, ends: Sequence[EngineEnd], traffic: Traffic) -> Suspicion | None:
    """Return what ends, in order of time, say against a part, or ``None`` if there are none.

    A part that all prompts share is in each broken prompt, so that its ends say nothing; one that
    no answered prompt holds can hardly be in several by chance.
    """
    if not ends:
        return None
    share, begun_ends = traffic.share, 0
    # It could have been in any as many of the ends.
    logarithm = math.log(math.comb(len(ends) + traffic.other_ends, len(ends)))
    prompts: list[BlamedPrompt] = []
    for end in ends:
        count = len(end.begun) if end.begun else max(len(end.others), end.prompt_count)
        logarithm += math.log1p(-((1.0 - share) ** max(1, count)))
        begun_ends += bool(end.begun)
        prompts += [blamed for blamed in end.suspects.values() if blamed.holds(part)]
    if begun_ends >= MIN_BEGUN_ENDS:
        logarithm += traffic.answers * math.log1p(-share)
    return Suspicion(
        tuple(ends),
        tuple(prompts),
        begun_ends,
        min(1.0, math.exp(logarithm)),
        frozenset().union(*(blamed.reporters for blamed in prompts)),
    )


def find_common_parts(suspicion: Suspicion) -> frozenset[str]:
    """Return the parts that all suspected prompts share."""
    return frozenset.intersection(*(frozenset(b.prompt.parts) for b in suspicion.prompts))
