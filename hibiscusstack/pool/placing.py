"""Which target gets a task."""

__all__ = ["choose_target"]

from collections.abc import Iterable

from hibiscusstack.pool.held_target import HeldTarget
from hibiscusstack.pool.work import ActiveJob, PoolTask


def choose_target(
    job: ActiveJob, task: PoolTask, targets: Iterable[HeldTarget], now_ms: float
) -> HeldTarget | None:
    """Return the target with the least room left after ``task``, if it fits any.

    A target on trial gets one run at a time, and a task is not sent where it failed
    before unless nothing else has room. Tasks go to the rack of their data if they
    can. The cost is one look at each target.
    """
    best, best_rank = None, None
    step = task.step
    for target in targets:
        listing = target.listing
        if listing.pool != job.job.pool or target.clock_offset_ms is None:
            continue
        if target.health.is_on_trial and target.runs:
            continue
        free = target.free
        if not step.needs.fits(free):
            continue
        if step.requires and step.requires not in listing.labels:
            continue
        if step.anti_affinity and _count(target, job, task) >= step.anti_affinity:
            continue
        rank = (
            listing.name in task.barred,
            bool(step.data_rack) and step.data_rack not in listing.labels,
            target.health.failures > 0,
            free.cpu_milli - step.needs.cpu_milli,
        )
        if best_rank is None or rank < best_rank:
            best, best_rank = target, rank
    return best


def _count(target: HeldTarget, job: ActiveJob, task: PoolTask) -> int:
    return sum(
        1
        for run in target.runs.values()
        if run.job is job and run.task.key[0] == task.key[0]
    )
