"""Fit a line to costs measured at several sizes, and print it as a JSON line."""

import json
import statistics
import sys
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass


@dataclass(frozen=True)
class Slope:
    """Store a least-squares line through costs at several sizes."""

    name: str
    unit: str
    size_name: str
    sizes: tuple[float, ...]
    costs: tuple[float, ...]
    slope: float
    intercept: float


def fit_slope(
    name: str, unit: str, size_name: str, sizes: Sequence[float], costs: Sequence[float]
) -> Slope:
    """Return the least-squares line of the costs over the sizes.

    >>> fit_slope("bytes", "B", "events", (1, 2, 3, 4), (12, 14, 16, 18)).slope
    2.0
    """
    line = statistics.linear_regression(sizes, costs)
    return Slope(name, unit, size_name, tuple(sizes), tuple(costs), line.slope, line.intercept)


def print_slopes(slopes: Iterable[Slope]) -> None:
    """Print one JSON line for each slope as soon as it is measured."""
    for slope in slopes:
        sys.stdout.write(json.dumps(asdict(slope)) + "\n")
        sys.stdout.flush()
