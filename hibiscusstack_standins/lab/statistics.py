"""Statistics over runs: means, their spread, and differences of paired runs."""

__all__ = ["Difference", "Spread", "compare_paired", "spread_of"]

import math
from collections.abc import Sequence

import attrs
import numpy as np

RESAMPLES = 10_000
_SEED = 20_260
_LOW, _HIGH = 2.5, 97.5


@attrs.frozen
class Spread:
    """Mean, standard deviation and standard error of a measure over runs.

    With a single run, deviation and error are 0.
    """

    count: int
    mean: float
    deviation: float
    error: float


@attrs.frozen
class Difference:
    """The mean difference of paired runs, with its 95 percent bootstrap interval."""

    mean: float
    low: float
    high: float

    @property
    def is_clear(self) -> bool:
        """Tell whether the interval leaves 0 out."""
        return self.low > 0 or self.high < 0


def spread_of(values: Sequence[float]) -> Spread:
    """Return mean and spread of at least one value.

    >>> spread_of([1.0, 2.0, 3.0])
    Spread(count=3, mean=2.0, deviation=1.0, error=0.5773502691896258)
    """
    count = len(values)
    deviation = float(np.std(values, ddof=1)) if count > 1 else 0.0
    error = deviation / math.sqrt(count)
    return Spread(count, float(np.mean(values)), deviation, error)


def compare_paired(first: Sequence[float], second: Sequence[float]) -> Difference:
    """Return how much more ``second`` has than ``first``, value by value.

    The interval comes from resampling the pairs; the same values give the same.

    >>> compare_paired([1.0, 2.0], [2.0, 3.0])
    Difference(mean=1.0, low=1.0, high=1.0)
    """
    differences = np.subtract(second, first)
    rng = np.random.default_rng(_SEED)
    drawn = rng.integers(0, len(differences), (RESAMPLES, len(differences)))
    means = differences[drawn].mean(axis=1)
    low, high = np.percentile(means, (_LOW, _HIGH))
    return Difference(float(differences.mean()), float(low), float(high))
