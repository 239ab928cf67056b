"""The jobs of a run, drawn before it begins."""

__all__ = ["Arrival", "draw_arrivals", "queue_name", "rate_per_s"]

import math
from collections.abc import Iterator

import attrs
import numpy as np

from hibiscusstack_standins.estate.jobs import Job, Step
from hibiscusstack_standins.lab.scenario import JobClass, Scenario, Shape


@attrs.frozen
class Arrival:
    """A job with its class, the data centre of its caller, and when it is sent."""

    at_ms: int
    job_class: str
    data_centre: str
    job: Job


def draw_arrivals(scenario: Scenario, seed: int) -> list[Arrival]:
    """Return all jobs of a run in the order of their times.

    The draws depend on the load of the scenario and the seed alone, so that runs with
    other settings of the product get the same jobs.
    """
    rng = np.random.default_rng(seed)
    places = [
        (at_ms, name, data_centre)
        for data_centre in scenario.data_centres
        for name in scenario.classes
        for at_ms in _draw_times(scenario, data_centre, name, rng)
    ]
    arrivals = []
    for number, (at_ms, name, data_centre) in enumerate(sorted(places)):
        queue = queue_name(name, number % scenario.run.parts)
        job = _draw_job(number, queue, scenario.classes[name], rng)
        arrivals.append(Arrival(at_ms, name, data_centre, job))
    return arrivals


def queue_name(job_class: str, part: int) -> str:
    """Return the queue of a class whose jobs go to one part of the targets.

    >>> queue_name("quick", 0)
    'quick-0'
    """
    return f"{job_class}-{part}"


def rate_per_s(
    scenario: Scenario, data_centre: str, job_class: str, at_ms: float
) -> float:
    """Return how many jobs of a class arrive in a data centre in a second."""
    place = scenario.data_centres[data_centre]
    shares = [each.share for each in scenario.classes.values()]
    traffic = scenario.traffic
    rate = place.rate_per_s * traffic.factor
    rate *= scenario.classes[job_class].share / sum(shares)
    if traffic.shape == Shape.WAVE:
        turn = at_ms / traffic.period_ms + place.phase
        rate *= 1 + traffic.swing * math.sin(2 * math.pi * turn)
    for burst in scenario.bursts.values():
        is_on = burst.at_ms <= at_ms < burst.at_ms + burst.for_ms
        if is_on and burst.job_class in ("", job_class):
            rate *= burst.factor
    return rate


def _draw_times(
    scenario: Scenario, data_centre: str, job_class: str, rng: np.random.Generator
) -> Iterator[int]:
    """Yield the times of a Poisson process with a rate that varies."""
    traffic = scenario.traffic
    most_per_s = scenario.data_centres[data_centre].rate_per_s * traffic.factor
    most_per_s *= 1 + traffic.swing
    for burst in scenario.bursts.values():
        most_per_s *= max(1.0, burst.factor)
    if not most_per_s:
        return
    at_ms = 0.0
    while True:
        at_ms += rng.exponential(1_000 / most_per_s)
        if at_ms >= scenario.run.duration_ms:
            return
        rate = rate_per_s(scenario, data_centre, job_class, at_ms)
        if rng.random() * most_per_s < rate:
            yield int(at_ms)


def _draw_job(
    number: int, queue: str, terms: JobClass, rng: np.random.Generator
) -> Job:
    count = _draw_whole(rng, terms.tasks, terms.tasks_spread, terms.most_tasks)
    cpu = _draw_whole(rng, terms.cpu_milli, terms.cpu_spread, terms.most_cpu_milli)
    run_ms = _draw_whole(rng, terms.run_ms, terms.run_spread, terms.most_run_ms)
    works_ms = tuple(
        _draw_whole(rng, run_ms, terms.uneven_spread, terms.most_run_ms)
        for _ in range(count)
    )
    estimate_ms = _draw_whole(rng, run_ms, terms.estimate_spread)
    is_doomed = rng.random() < terms.doomed_share
    step = Step(
        count=count,
        work_ms=run_ms,
        estimate_ms=estimate_ms,
        uneven_work_ms=works_ms,
        cpu=cpu,
        mem_mb=terms.memory_mb,
        fails=is_doomed,
    )
    return Job(
        f"{number:016x}",
        queue=queue,
        spec=f"job {number}",
        steps=(step,),
        max_attempts=terms.max_attempts,
        best_effort=True,
    )


def _draw_whole(
    rng: np.random.Generator, mean: float, spread: float, most: float = math.inf
) -> int:
    """Draw a whole number of at least 1 from a lognormal distribution."""
    if not spread:
        return max(1, round(min(mean, most)))
    variance = math.log1p(spread**2)
    drawn = rng.lognormal(math.log(mean) - variance / 2, math.sqrt(variance))
    return max(1, round(min(drawn, most)))
