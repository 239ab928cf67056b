"""Choice of a target for a task."""

__all__ = ["choose_target", "may_run"]

from hibiscusstack.pool.active_jobs import ActiveJob, PoolTask
from hibiscusstack.pool.capacity_index import FreeCapacityIndex
from hibiscusstack.pool.target_state import TargetState


def choose_target(
    job: ActiveJob,
    task: PoolTask,
    index: FreeCapacityIndex,
    now_ms: float,
    barred: set[TargetState] | None = None,
) -> TargetState | None:
    """Return the target with the least free CPU that fits ``task``, or ``None``.

    A target on trial gets one run at a time. Targets on which the task failed before
    are used only if no other target fits, and cold ones only after warm ones. Targets
    in the rack of the task's data are preferred, and then targets without recent
    failures. Targets with enough free CPU
    are checked in turn, up to the first one that none of these preferences excludes.

    Targets in ``barred`` are passed over, and those that may start nothing are added.
    """
    barred = set() if barred is None else barred
    best, lowest_penalties = None, None
    step = task.step
    for target in index.with_free_cpu(job.job.pool, step.needs.cpu_milli):
        if target in barred:
            continue
        if not target.may_start(now_ms):
            barred.add(target)
            continue
        if not may_run(target, job, task):
            continue
        listing = target.listing
        penalties = (
            listing.name in task.avoided_targets,
            target.is_cold(now_ms),
            bool(step.data_rack) and step.data_rack not in listing.labels,
            target.health.failures > 0,
        )
        if not any(penalties):
            return target
        if lowest_penalties is None or penalties < lowest_penalties:
            best, lowest_penalties = target, penalties
    return best


def may_run(target: TargetState, job: ActiveJob, task: PoolTask) -> bool:
    """Return whether a target that takes runs has what ``task`` needs."""
    step, listing = task.step, target.listing
    if target.clock_offset_ms is None:
        return False
    if target.health.is_on_trial and target.runs:
        return False
    if not step.needs.fits(target.free):
        return False
    if step.requires and step.requires not in listing.labels:
        return False
    return (
        not step.anti_affinity
        or _count_step_runs(target, job, task) < step.anti_affinity
    )


def _count_step_runs(target: TargetState, job: ActiveJob, task: PoolTask) -> int:
    return sum(
        1
        for run in target.runs.values()
        if run.job is job and run.task.key[0] == task.key[0]
    )
