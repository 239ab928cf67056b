"""Choice of targets for suspects, which may crash the target that starts them.

A suspect runs alone, so that no other task is lost with it, and so that a further crash
shows which task caused it. Bulkheads bound the targets that are kept for suspects.
"""

__all__ = ["choose_suspect_target"]

from collections.abc import Iterator

from hibiscusstack.pool.active_jobs import ActiveJob, PoolTask, task_name
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.placement import may_run
from hibiscusstack.pool.target_state import TargetState

# The part of the targets of a pool that may be kept for suspects at a time.
_MAX_RESERVED_PART = 8
_MIN_RESERVATION_MS = 50
_MAX_RESERVATION_MS = 500
# How long a suspect waits for a target of its own before it may share one.
_MAX_ISOLATION_WAIT_MS = 500
_MAX_RECORD_WAIT_MS = 200


def choose_suspect_target(
    state: CoordinatorState, job: ActiveJob, task: PoolTask, now_ms: float
) -> TargetState | None:
    """Return a target for a suspect, or ``None`` while it has to wait.

    It is an idle target, if there is one, and otherwise one is reserved until it is
    idle. A task that was lost only once shares a target without other suspects if that
    takes too long. No suspect starts before its losses are recorded in the log, unless
    the log doesn't answer.
    """
    name = task_name(job.job.job_id, task.key)
    if not state.losses.may_restart(name, _MAX_RECORD_WAIT_MS):
        return None
    usable = [
        target
        for target in _targets_of(state, job)
        if target.may_start_suspect(now_ms) and may_run(target, job, task)
    ]
    idle = [target for target in usable if not target.runs]
    if idle:
        return min(idle, key=lambda target: _preference(target, task))
    if task.isolation_wait_since_ms is None:
        task.isolation_wait_since_ms = now_ms
    is_shareable = len(state.losses.losses_of(name)) == 1
    waited_ms = now_ms - task.isolation_wait_since_ms
    if is_shareable and waited_ms >= _MAX_ISOLATION_WAIT_MS:
        shared = (target for target in usable if _can_share(target, now_ms))
        return min(shared, key=lambda t: _preference(t, task), default=None)
    _reserve_target(state, job, task, now_ms)
    return None


def _targets_of(state: CoordinatorState, job: ActiveJob) -> Iterator[TargetState]:
    return state.free_capacity.with_free_cpu(job.job.pool, 0)


def _preference(target: TargetState, task: PoolTask) -> tuple[bool, int, int]:
    """Return a key that sorts targets with fewer failures first, then smaller ones."""
    return (
        target.listing.name in task.avoided_targets,
        target.health.failures,
        target.free_cpu_milli,
    )


def _can_share(target: TargetState, now_ms: float) -> bool:
    return target.may_start(now_ms) and not any(
        run.task is None or run.task.is_suspect for run in target.runs.values()
    )


def _reserve_target(
    state: CoordinatorState, job: ActiveJob, task: PoolTask, now_ms: float
) -> None:
    """Start nothing more on the target that is expected to be idle first.

    A reservation is for all suspects and expires by itself.
    """
    targets = list(_targets_of(state, job))
    kept = sum(
        target.isolated_run is not None or now_ms < target.reserved_until_ms
        for target in targets
    )
    if kept >= max(1, len(targets) // _MAX_RESERVED_PART):
        return
    needs = task.step.needs
    candidates = [
        target
        for target in targets
        if target.may_start(now_ms)
        and needs.fits(target.listing.capacity)
        and (not task.step.requires or task.step.requires in target.listing.labels)
    ]
    if not candidates:
        return
    target = min(candidates, key=lambda each: _busy_ms(each, now_ms))
    busy_ms = _busy_ms(target, now_ms) + _MIN_RESERVATION_MS
    target.reserved_until_ms = now_ms + min(busy_ms, _MAX_RESERVATION_MS)


def _busy_ms(target: TargetState, now_ms: float) -> float:
    """Return the time after which the runs of a target are expected to have ended."""
    ends_ms = (
        run.started_ms + (run.task.step.estimate_ms if run.task else 0)
        for run in target.runs.values()
    )
    return max(0.0, max(ends_ms, default=now_ms) - now_ms)
