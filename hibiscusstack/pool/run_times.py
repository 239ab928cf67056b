"""How long tasks will run, from their estimates and from what ran before."""

__all__ = ["Prediction", "RunTimes"]

import math

import attrs

FIRST_DEVIATION = 0.45
MIN_SAMPLES = 20
LEAST_WEIGHT = 0.02
MOST_SAMPLE_FACTOR = 6.0


@attrs.frozen
class Prediction:
    """A run time, and the deviation of its logarithm."""

    run_time_ms: float
    deviation: float

    def bound_ms(self, deviations: float) -> float:
        """Return what few runs exceed, that many deviations above the prediction.

        >>> round(Prediction(100, 0.3).bound_ms(3))
        246
        """
        return self.run_time_ms * math.exp(deviations * self.deviation)


@attrs.define
class _Moments:
    """The running mean and variance of a figure; new samples weigh 2 % at least."""

    count: int = 0
    mean: float = 0.0
    variance: float = FIRST_DEVIATION**2

    def add(self, value: float) -> None:
        self.count += 1
        weight = max(1 / self.count, LEAST_WEIGHT)
        step = value - self.mean
        self.mean += weight * step
        if self.count > 1:
            self.variance = (1 - weight) * (self.variance + weight * step * step)


class RunTimes:
    """The run times of each queue, on a logarithmic scale.

    Both an estimate and the usual run time of its queue are uncertain. A prediction
    weighs them by their variances, so it is closer than either.

    >>> times = RunTimes()
    >>> times.predict("booking", 100).run_time_ms
    100.0
    >>> for _ in range(50):
    ...     times.record("booking", estimate_ms=100, run_time_ms=200)
    >>> round(times.predict("booking", 100).run_time_ms)
    200
    """

    def __init__(self) -> None:
        self._run_times: dict[str, _Moments] = {}
        self._errors: dict[str, _Moments] = {}

    def record(self, queue: str, estimate_ms: float, run_time_ms: float) -> None:
        """Learn from one run that ended well."""
        run_time_ms, estimate_ms = max(run_time_ms, 1.0), max(estimate_ms, 1.0)
        error = math.log(run_time_ms / estimate_ms)
        most = math.log(MOST_SAMPLE_FACTOR)
        error = min(max(error, -most), most)
        self._errors.setdefault(queue, _Moments()).add(error)
        run_time = math.log(estimate_ms) + error
        self._run_times.setdefault(queue, _Moments()).add(run_time)

    def predict(self, queue: str, estimate_ms: float) -> Prediction:
        """Return how long a task with that estimate will probably run."""
        errors = self._errors.get(queue)
        estimate_ms = max(float(estimate_ms), 1.0)
        if errors is None or errors.count < MIN_SAMPLES:
            return Prediction(estimate_ms, FIRST_DEVIATION)
        usual = self._run_times[queue]
        total = usual.variance + errors.variance
        if total <= 0:
            return Prediction(math.exp(usual.mean), 0.0)
        corrected = math.log(estimate_ms) + errors.mean
        mean = (corrected * usual.variance + usual.mean * errors.variance) / total
        deviation = math.sqrt(usual.variance * errors.variance / total)
        return Prediction(math.exp(mean), deviation)
