"""The figures of one run, and how they are counted from its jobs."""

__all__ = ["GroupFigures", "RunFigures", "count_figures"]

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from typing import TypeVar

import attrs
import numpy as np

from hibiscusstack_standins.estate.events import Event, RunEnded, RunStarted
from hibiscusstack_standins.lab.accounts import earned, owed, work_core_ms
from hibiscusstack_standins.lab.callers import CallerEnd, SentJob
from hibiscusstack_standins.lab.scenario import Scenario
from hibiscusstack_standins.lab.site import Site

Name = TypeVar("Name")

RATIO_EDGES = tuple(float(edge) for edge in np.round(np.geomspace(0.1, 30.0, 41), 6))
"""The bounds of the classes of the histogram of latency over objective."""


@attrs.frozen
class GroupFigures:
    """Counts of some jobs; latencies are those of completed ones, 0 without any.

    ``ratio_p50`` and ``ratio_p99`` are latencies over the objectives of the jobs.
    """

    jobs: int
    owed: float
    earned: float
    in_time: int
    late: int
    ends: dict[str, int]
    p50_ms: float
    p99_ms: float
    ratio_p50: float
    ratio_p99: float

    @property
    def earned_part(self) -> float:
        """Return what was earned over what was owed; 1 where nothing was owed."""
        return self.earned / self.owed if self.owed else 1.0


@attrs.frozen
class RunFigures:
    """All figures of one run with one seed.

    ``windows`` follow one another, and a job counts where it was sent. ``ratios`` are
    counts by ``RATIO_EDGES``, with one class below and one above. ``wasted_core_s`` is
    work of runs that did not end done. ``violations`` counts broken rules by name.
    """

    seed: int
    total: GroupFigures
    classes: dict[str, GroupFigures]
    data_centres: dict[str, GroupFigures]
    windows: tuple[GroupFigures, ...]
    ratios: tuple[int, ...]
    tasks: int
    starts: int
    wasted_core_s: float
    host_messages: int
    calls: dict[str, int]
    violations: dict[str, int]


@attrs.frozen
class _Account:
    """A job with what it owes and earned."""

    job: SentJob
    owed: float
    earned: float


def count_figures(
    scenario: Scenario, seed: int, site: Site, jobs: Sequence[SentJob]
) -> RunFigures:
    """Return the figures of a run that is over."""
    accounts = _settle(jobs)
    window_ms = scenario.run.window_ms
    window_count = -(-scenario.run.duration_ms // window_ms)
    windows = _grouped(
        accounts, range(window_count), lambda job: job.arrival.at_ms // window_ms
    )
    ratios = [job.latency_ms / job.objective_ms for job in _completed(jobs)]
    places = np.searchsorted(RATIO_EDGES, ratios)
    histogram = np.bincount(places, minlength=len(RATIO_EDGES) + 1)
    records = {job.arrival.job.id: job.record() for job in jobs}
    events = site.events()
    tasks = sum(step.count for job in jobs for step in job.arrival.job.steps)
    return RunFigures(
        seed=seed,
        total=_count(accounts),
        classes=_grouped(accounts, scenario.classes, lambda job: job.arrival.job_class),
        data_centres=_grouped(
            accounts, scenario.data_centres, lambda job: job.arrival.data_centre
        ),
        windows=tuple(windows.values()),
        ratios=tuple(int(each) for each in histogram),
        tasks=tasks,
        starts=site.starts(),
        wasted_core_s=round(_wasted_core_ms(site, events) / 1_000, 3),
        host_messages=site.streams.messages,
        calls=dict(sorted(site.network.calls.items())),
        violations=dict(Counter(each.rule for each in site.audit(records))),
    )


def _settle(jobs: Sequence[SentJob]) -> list[_Account]:
    works: defaultdict[str, list[float]] = defaultdict(list)
    for job in jobs:
        works[job.arrival.job_class].append(work_core_ms(job.arrival.job))
    means = {name: sum(each) / len(each) for name, each in works.items()}
    return [_account(job, means[job.arrival.job_class]) for job in jobs]


def _account(job: SentJob, mean_work: float) -> _Account:
    work = work_core_ms(job.arrival.job)
    in_time = owed(job.terms.worth, work, mean_work)
    late = owed(job.terms.late_worth, work, mean_work)
    # A job that can't be done earns by the word that it failed.
    is_doomed = any(step.fails for step in job.arrival.job.steps)
    wanted = CallerEnd.FAILED if is_doomed else CallerEnd.COMPLETED
    if job.end is not wanted:
        return _Account(job, in_time, 0.0)
    gain = earned(in_time, late, job.latency_ms, job.objective_ms)
    return _Account(job, in_time, gain)


def _grouped(
    accounts: Iterable[_Account],
    names: Iterable[Name],
    name_of: Callable[[SentJob], Name],
) -> dict[Name, GroupFigures]:
    """Return the figures of each group, also of those without jobs."""
    groups: dict[Name, list[_Account]] = {name: [] for name in names}
    for account in accounts:
        groups[name_of(account.job)].append(account)
    return {name: _count(group) for name, group in groups.items()}


def _count(accounts: Sequence[_Account]) -> GroupFigures:
    done = _completed(account.job for account in accounts)
    in_time = sum(job.latency_ms <= job.objective_ms for job in done)
    latencies = [job.latency_ms for job in done]
    ratios = [job.latency_ms / job.objective_ms for job in done]
    ends = Counter(account.job.end.value for account in accounts)
    return GroupFigures(
        jobs=len(accounts),
        owed=float(sum(account.owed for account in accounts)),
        earned=float(sum(account.earned for account in accounts)),
        in_time=in_time,
        late=len(done) - in_time,
        ends=dict(sorted(ends.items())),
        p50_ms=_percentile(latencies, 50),
        p99_ms=_percentile(latencies, 99),
        ratio_p50=_percentile(ratios, 50),
        ratio_p99=_percentile(ratios, 99),
    )


def _completed(jobs: Iterable[SentJob]) -> list[SentJob]:
    return [job for job in jobs if job.end is CallerEnd.COMPLETED]


def _percentile(values: Sequence[float], percent: float) -> float:
    return round(float(np.percentile(values, percent)), 3) if values else 0.0


def _wasted_core_ms(site: Site, events: Iterable[Event]) -> float:
    """Return the work of the runs that did not end done, in core-milliseconds."""
    started: dict[tuple, tuple[int, int]] = {}
    wasted = 0.0
    for event in events:
        if not isinstance(event, RunStarted | RunEnded):
            continue
        run = (event.worker, event.born, event.task, event.run)
        if isinstance(event, RunStarted):
            started[run] = event.at_ms, site.cpu_of(event.task)
        elif event.how != "done":
            at_ms, cpu_milli = started[run]
            wasted += (event.at_ms - at_ms) * cpu_milli / 1_000
    return wasted
