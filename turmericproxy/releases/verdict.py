"""Judge a new version against the old ones, and decide what follows from it."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from turmericproxy.core import RouteName
from turmericproxy.releases.orders import ReleasePhase
from turmericproxy.releases.samples import (
    BUCKETS_PER_OCTAVE,
    NO_SAMPLES,
    SampleKey,
    Samples,
    Totals,
)
from turmericproxy.releases.steps import LAST_STEP, is_step_over

# Chance from which on as many bad answers of the new version are no coincidence. A rollout is
# judged some thousand times over its routes and windows, and a good version should always complete.
MAX_COINCIDENCE = 1e-6
# The same for failures of all routes together. They are one comparison at a time, and the bound
# that is computed is several times the chance.
MAX_SPARSE_COINCIDENCE = 1e-5
# Failures from which on, and chance below which, a version is suspected: its share does not grow,
# and it is rolled back once a bad version could have had no more requests.
MIN_SUSPICIOUS_ANSWERS = 2
SUSPICIOUS_COINCIDENCE = 1e-3
# Fewer bad answers than this may be chance whatever the shares.
MIN_BAD_ANSWERS = 5
# Smaller differences don't justify a rollback.
MIN_DIFFERENCE = 0.03
# Old answers that are assumed while fewer are known, one of them bad.
ASSUMED_OLD_ANSWERS = 100
# Old answers of a route below which those since the order are used instead of those at the time.
MIN_OLD_ANSWERS = 30
# An answer is slow if it takes this many times what nine of ten answers of old versions take at the
# same load.
SLOW_OCTAVES = 1
SLOW_QUANTILE = 0.9
# Old latencies of a class of load from which on the quantile is known.
MIN_OLD_LATENCIES = 30


class Decision(Enum):
    """Name what the decider does next; the values are logged."""

    HOLD = "hold"
    PROCEED = "proceed"
    FINISH = "finish"
    COMPLETE = "complete"
    ROLL_BACK = "roll_back"


@dataclass(frozen=True, slots=True)
class Evidence:
    """Hold what the decider knows of a rollout; times are in seconds.

    ``windows`` are counts since the step began and of the last seconds, ``totals`` all since the
    order, and ``strata`` those of each step, within which the share was constant. Latencies count
    from the second step on, since caches are cold at first. ``requests`` of the service and those
    ``sent`` to the new version count since the order; ``is_exposure_used`` tells that these are
    about to exceed what a bad version may get.
    """

    phase: ReleasePhase
    step: int
    duration: float
    elapsed: float
    in_step: float
    windows: tuple[Totals, ...]
    totals: Totals
    strata: tuple[Totals, ...]
    requests: int
    sent: int
    is_exposure_used: bool
    has_new_upstreams: bool
    has_old_upstreams: bool
    are_hosts_clear: bool


@dataclass(frozen=True, slots=True)
class Verdict:
    """Hold a decision and its reason, for operators."""

    decision: Decision
    reason: str


def decide(evidence: Evidence) -> Verdict:
    """Return what to do next with an order that has not ended."""
    if fault := _find_any_fault(evidence):
        if evidence.has_old_upstreams:
            return Verdict(Decision.ROLL_BACK, fault)
        return Verdict(Decision.HOLD, f"no other version could serve; {fault}")
    if evidence.phase is ReleasePhase.FINISHING:
        if evidence.are_hosts_clear:
            return Verdict(Decision.COMPLETE, "no host has a request at an old version")
        return Verdict(Decision.HOLD, "waiting for hosts with requests at old versions")
    if evidence.elapsed >= evidence.duration:
        return Verdict(Decision.ROLL_BACK, "the deadline passed before the version had all traffic")
    if not evidence.has_new_upstreams:
        return Verdict(Decision.HOLD, "no upstream has the new version")
    answers = count_new_answers(evidence.windows[0])
    if not is_step_over(
        evidence.step, evidence.duration, evidence.elapsed, evidence.in_step, answers
    ):
        return Verdict(Decision.HOLD, "the step is not over")
    if suspicion := _find_suspicion(evidence):
        return Verdict(Decision.HOLD, f"more answers are needed; {suspicion}")
    if evidence.step == LAST_STEP:
        return Verdict(Decision.FINISH, "the version is good with all traffic")
    return Verdict(Decision.PROCEED, f"{answers} answers, none of which speaks against the version")


def _find_any_fault(evidence: Evidence) -> str | None:
    """Return what speaks against the new version in a window, or in all failures together."""
    for window in evidence.windows:
        if fault := find_fault(window, evidence.totals, judges_latency=evidence.step > 0):
            return fault
    if fault := find_fault(evidence.totals, evidence.totals, judges_latency=False):
        return fault
    if fault := find_sparse_fault(evidence.strata, evidence.totals):
        return fault
    if evidence.is_exposure_used and (suspicion := _find_suspicion(evidence)):
        # No requests are left to find out more with.
        return f"exposure used up; {suspicion}"
    return None


def _find_suspicion(evidence: Evidence) -> str | None:
    return find_sparse_fault(
        evidence.strata, evidence.totals, MIN_SUSPICIOUS_ANSWERS, SUSPICIOUS_COINCIDENCE
    )


def find_fault(window: Totals, totals: Totals, *, judges_latency: bool) -> str | None:
    """Return why the new version is worse than the old ones on any route, ``None`` if it isn't."""
    routes = {key.route for key, samples in window.items() if key.is_new and samples.answers}
    for route in sorted(routes):
        new = window[SampleKey(True, route)]
        old = _find_old(window, totals, route)
        if _is_worse(new.failures, new.answers, old.failures, old.answers):
            return (
                f"route {route}: {new.failures} of {new.answers} answers failed, "
                f"{old.failures} of {old.answers} of old versions"
            )
        if judges_latency and (fault := _find_slowness(route, new, old)):
            return fault
    return None


def find_sparse_fault(
    strata: Iterable[Totals],
    totals: Totals,
    least: int = MIN_BAD_ANSWERS,
    coincidence: float = MAX_SPARSE_COINCIDENCE,
) -> str | None:
    """Return why the new version failed too often over all routes and steps together.

    It finds failures that are too few on each route and at each step. If the versions were alike,
    each failure of a route and step would be the new one's by its share of the answers there. The
    chance of as many is bounded by Chernoff's inequality, as the shares differ.
    """
    bad, expected = 0, 0.0
    for window in strata:
        for key, new in window.items():
            if not key.is_new or not new.answers:
                continue
            old = _find_sparse_old(window, totals, key.route)
            bad += new.failures
            share = new.answers / (new.answers + old.answers)
            expected += share * (new.failures + old.failures)
    if bad < least or bad <= expected:
        return None
    exponent = bad * math.log(bad / expected) - bad + expected
    if exponent < -math.log(coincidence):
        return None
    return f"all routes: {bad} answers failed, {expected:.1f} would as with old versions"


def count_new_answers(totals: Totals) -> int:
    """Return the answers of the new version on all routes."""
    return sum(samples.answers for key, samples in totals.items() if key.is_new)


def count_new_failures(totals: Totals) -> int:
    """Return the failed answers of the new version on all routes."""
    return sum(samples.failures for key, samples in totals.items() if key.is_new)


def _find_old(window: Totals, totals: Totals, route: RouteName) -> Samples:
    key = SampleKey(False, route)
    current = window.get(key, NO_SAMPLES)
    return current if current.answers >= MIN_OLD_ANSWERS else totals.get(key, NO_SAMPLES)


def _find_sparse_old(window: Totals, totals: Totals, route: RouteName) -> Samples:
    """Return the old versions' answers with the larger share of failures: at the time, or all.

    Those at the time show whether all versions failed then. If they did not, all answers since the
    order tell more: at a share of 0.6, 4 failures beside 30 good old answers may be chance.
    """
    current = _find_old(window, totals, route)
    total = totals.get(SampleKey(False, route), NO_SAMPLES)
    is_failing = current.failures * total.answers > total.failures * current.answers
    return current if is_failing else total


def _is_worse(bad: int, answers: int, old_bad: int, old_answers: int) -> bool:
    """Compare two shares of bad answers.

    If the versions were alike, each bad answer would be of the new one by its share of the answers.
    So the chance of the new one's part in them is that of a binomial distribution, whatever the
    share of bad answers is, and however few are known.

    >>> _is_worse(8, 20, 0, 400), _is_worse(8, 20, 160, 400)
    (True, False)
    """
    if bad < MIN_BAD_ANSWERS:
        return False
    if old_answers < ASSUMED_OLD_ANSWERS:
        old_bad, old_answers = old_bad + 1, ASSUMED_OLD_ANSWERS
    if bad / answers - old_bad / old_answers < MIN_DIFFERENCE:
        return False
    return _compute_tail(bad, bad + old_bad, answers / (answers + old_answers)) < MAX_COINCIDENCE


def _compute_tail(least: int, trials: int, chance: float) -> float:
    """Return the chance of ``least`` or more successes.

    >>> round(_compute_tail(2, 3, 0.5), 6)
    0.5
    """
    logs = math.log(chance), math.log1p(-chance)
    tail = 0.0
    for count in range(least, trials + 1):
        ways = math.lgamma(trials + 1) - math.lgamma(count + 1) - math.lgamma(trials - count + 1)
        term = math.exp(ways + count * logs[0] + (trials - count) * logs[1])
        tail += term
        if term < tail * 1e-9:
            break
    return tail


def _find_slowness(route: RouteName, new: Samples, old: Samples) -> str | None:
    slow = answers = old_slow = old_answers = 0
    for load_class in {load_class for load_class, _ in new.latencies}:
        new_counts, old_counts = _list_buckets(new, load_class), _list_buckets(old, load_class)
        if sum(old_counts.values()) < MIN_OLD_LATENCIES:
            continue
        limit = _find_quantile(old_counts, SLOW_QUANTILE) + SLOW_OCTAVES * BUCKETS_PER_OCTAVE
        slow += sum(n for bucket, n in new_counts.items() if bucket > limit)
        old_slow += sum(n for bucket, n in old_counts.items() if bucket > limit)
        answers += sum(new_counts.values())
        old_answers += sum(old_counts.values())
    if not _is_worse(slow, answers, old_slow, old_answers):
        return None
    return (
        f"route {route}: {slow} of {answers} answers were slow for their load, "
        f"{old_slow} of {old_answers} of old versions"
    )


def _list_buckets(samples: Samples, load_class: int) -> dict[int, int]:
    return {bucket: n for (load, bucket), n in samples.latencies.items() if load == load_class}


def _find_quantile(counts: dict[int, int], quantile: float) -> int:
    remaining = quantile * sum(counts.values())
    for bucket in sorted(counts):
        remaining -= counts[bucket]
        if remaining <= 0:
            return bucket
    return max(counts)
