"""Least-squares lines, and timing."""

__all__ = ["Line", "allocated_bytes", "best_time_us", "fit_line"]

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence

import attrs

REPEATS = 5


@attrs.frozen
class Line:
    """``cost = intercept + slope * size``; ``residual`` is the largest miss.

    The residual is a part of the largest measured cost.
    """

    sizes: tuple[float, ...]
    costs: tuple[float, ...]
    slope: float
    intercept: float
    residual: float


def fit_line(sizes: Sequence[float], costs: Sequence[float]) -> Line:
    """Return the least-squares line through the measured costs.

    >>> line = fit_line([1, 2, 3], [5.0, 7.0, 9.0])
    >>> round(line.slope, 6), round(line.intercept, 6), round(line.residual, 6)
    (2.0, 3.0, 0.0)
    """
    slope, intercept = statistics.linear_regression(sizes, costs)
    misses = [
        abs(cost - intercept - slope * size)
        for size, cost in zip(sizes, costs, strict=True)
    ]
    residual = max(misses) / max(map(abs, costs))
    return Line(tuple(sizes), tuple(costs), slope, intercept, residual)


def best_time_us(call: Callable[[], object], loops: int = 1) -> float:
    """Return the least processor time of one call, over several repeats."""
    times = []
    for _ in range(REPEATS):
        started_ns = time.process_time_ns()
        for _ in range(loops):
            call()
        times.append((time.process_time_ns() - started_ns) / loops / 1_000)
    return min(times)


def allocated_bytes(build: Callable[[], object]) -> int:
    """Return the bytes that are held by what ``build`` returns."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return after - before
