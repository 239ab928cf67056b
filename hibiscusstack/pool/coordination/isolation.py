"""Choice of targets for suspects, which may crash the target that starts them.

A suspect runs alone, so that no other task is lost with it, and so that a further crash
shows which task caused it. Bulkheads bound the targets that are kept for suspects.
"""

__all__ = ["choose_suspect_target"]

from collections.abc import Iterator

from hibiscusstack.pool.active_jobs import ActiveJob, PoolTask, task_name
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.placement import may_run
from hibiscusstack.pool.target_losses import LossEvidence, TargetLoss
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
    takes too long. No suspect starts before its losses are recorded in the log. While
    the log doesn't answer, a task that was lost only once starts without if a caller
    waits for its job. The tasks of stored jobs wait, since a coordinator that is lost
    with what it knows must not cost them further starts.

    A start on an idle target is recorded beforehand as if the target had been lost.
    So it counts even if this coordinator is lost before it notices a crash.
    """
    name = task_name(job.job.job_id, task.key)
    losses = state.losses.losses_of(name)
    loss_count = sum(loss.key != task.recorded_start for loss in losses)
    is_lost_once = loss_count == 1
    may_be_unsaved = is_lost_once and not job.is_stored
    max_unsaved = 1 + (task.recorded_start is not None) if may_be_unsaved else 0
    if not state.losses.may_restart(name, _MAX_RECORD_WAIT_MS, max_unsaved):
        return None
    usable = [
        target
        for target in _targets_of(state, job)
        if target.may_start_suspect(now_ms) and may_run(target, job, task)
    ]
    idle = [t for t in usable if not t.runs and _is_free_for(state, t, task)]
    if idle:
        target = min(idle, key=lambda each: _preference(each, task))
        _record_start(state, target, task, name, now_ms)
        # While the log is away, neither the loss nor this start need be recorded.
        max_unsaved = 2 if may_be_unsaved else 0
        is_recorded = state.losses.may_restart(name, _MAX_RECORD_WAIT_MS, max_unsaved)
        return target if is_recorded else None
    if task.isolation_wait_since_ms is None:
        task.isolation_wait_since_ms = now_ms
    waited_ms = now_ms - task.isolation_wait_since_ms
    if is_lost_once and waited_ms >= _MAX_ISOLATION_WAIT_MS:
        shared = (target for target in usable if _can_share(target, now_ms))
        return min(shared, key=lambda t: _preference(t, task), default=None)
    _reserve_target(state, job, task, now_ms)
    return None


def _is_free_for(state: CoordinatorState, target: TargetState, task: PoolTask) -> bool:
    """Return whether no other start is recorded for the target, which counts itself."""
    loss = state.losses.loss(target.instance_key)
    return loss is None or loss.key == task.recorded_start


def _record_start(
    state: CoordinatorState,
    target: TargetState,
    task: PoolTask,
    name: str,
    now_ms: float,
) -> None:
    """Record the start of a suspect beforehand.

    The next report of the target after the run refutes the record.
    """
    key = target.instance_key
    if task.recorded_start not in (None, key):
        # That start was not made.
        state.losses.withdraw_start(task.recorded_start, name)
    task.recorded_start = key
    if state.losses.loss(key) is None:
        tasks = frozenset([name])
        state.losses.note(TargetLoss(*key, tasks, LossEvidence.STARTED))
        target.reserved_until_ms = now_ms + _MIN_RESERVATION_MS


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
