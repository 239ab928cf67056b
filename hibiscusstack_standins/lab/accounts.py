"""What a job owes, and what it earns by the time of its answer."""

__all__ = ["LATE_OBJECTIVES", "earned", "objective_ms", "owed", "work_core_ms"]

import math

from hibiscusstack_standins.estate.jobs import Job
from hibiscusstack_standins.lab.scenario import JobClass

LATE_OBJECTIVES = 3.0
_BASE_PART = 0.3
_WORK_PART = 0.7
_MOST_FACTOR = 4.0
_WAVE_PART = 0.25


def work_core_ms(job: Job) -> float:
    """Return the true work of a job.

    >>> from hibiscusstack_standins.estate.jobs import Step
    >>> work_core_ms(Job("a", steps=(Step(2, 100, cpu=1_500),)))
    300.0
    """
    return sum(
        step.cpu * sum(step.work_of(index) for index in range(step.count)) / 1_000
        for step in job.steps
    )


def objective_ms(job: Job, terms: JobClass, room_milli: int) -> float:
    """Return the time in which a job should be done.

    It is the longest chain of true work, stretched, and the target latency. A step that
    needs more than a quarter of ``room_milli``, thousandths of a core of all targets,
    counts in as many waves.
    """
    chain_ms = 0.0
    ends: list[float] = []
    for step in job.steps:
        waves = math.ceil(step.count * step.cpu / (_WAVE_PART * room_milli)) or 1
        longest_ms = max(step.work_of(index) for index in range(step.count))
        begin_ms = max((ends[number] for number in step.after), default=0.0)
        ends.append(begin_ms + waves * longest_ms)
        chain_ms = max(chain_ms, ends[-1])
    return terms.stretch * chain_ms + terms.target_latency_ms


def owed(worth: float, work: float, mean_work: float) -> float:
    """Return what a job is worth that has ``work`` where its class has ``mean_work``.

    >>> owed(10.0, 200, 100), owed(10.0, 900, 100)
    (17.0, 40.0)
    """
    factor = _BASE_PART + _WORK_PART * work / mean_work
    return worth * min(_MOST_FACTOR, factor)


def earned(in_time: float, late: float, latency_ms: float, objective: float) -> float:
    """Return what a job earns that was done after ``latency_ms``.

    ``in_time`` and ``late`` are what it is worth then.

    >>> [earned(10.0, 2.0, latency_ms, 100.0) for latency_ms in (100, 300, 301)]
    [10.0, 2.0, 0.0]
    """
    if latency_ms <= objective:
        return in_time
    return late if latency_ms <= LATE_OBJECTIVES * objective else 0.0
