"""Estimate by how much first events come later than expected."""

from dataclasses import dataclass

# Weight of the newest sample in the mean and in the mean deviation.
SAMPLE_WEIGHT = 0.1
# Mean deviations that are added to the mean for the target of a request, which counts for each.
TARGET_DEVIATIONS = 2.0
# The same for the bound of less urgent requests. With 2, a burst of the less urgent kind alone had
# 3 to 4% fewer answers in target.
BOUND_DEVIATIONS = 0.5

# Share of the admitted requests that are as urgent, from which their delay begins to lower the
# bound of less urgent ones, and from which in full. Beside a flood of less urgent requests it
# lowered the answers in target by up to 4% and helped no urgent request.
LEAST_BOUND_SHARE, FULL_BOUND_SHARE = 0.25, 0.4


@dataclass(frozen=True, slots=True)
class DelayEstimate:
    """Smoothed difference between measured and expected time, and its mean deviation, in seconds.

    The expected time lacks the steps of the first event and the prefill of others between them.
    """

    mean: float = 0.0
    deviation: float = 0.0

    def compute_margin(self, deviations: float) -> float:
        """Return the time that a request has to leave besides its expected time."""
        return max(0.0, self.mean + deviations * self.deviation)


NO_DELAY = DelayEstimate()


def update_delay(estimate: DelayEstimate, seconds: float) -> DelayEstimate:
    """Return the estimate after a first event that came that much later than expected.

    >>> update_delay(DelayEstimate(0.1, 0.0), 0.2)
    DelayEstimate(mean=0.11, deviation=0.01)
    """
    error = seconds - estimate.mean
    return DelayEstimate(
        round(estimate.mean + SAMPLE_WEIGHT * error, 6),
        round(estimate.deviation + SAMPLE_WEIGHT * (abs(error) - estimate.deviation), 6),
    )


def weigh_bound_margin(requests_share: float) -> float:
    """Return the share of the margin that counts for the bound of less urgent requests.

    >>> weigh_bound_margin(0.2), weigh_bound_margin(0.5)
    (0.0, 1.0)
    """
    share = (requests_share - LEAST_BOUND_SHARE) / (FULL_BOUND_SHARE - LEAST_BOUND_SHARE)
    return min(1.0, max(0.0, share))
