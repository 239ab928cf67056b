"""Which waiting tasks may start, and the starts that are sent."""

__all__ = ["start_waiting"]

from hibiscusstack.pool.active_jobs import ActiveJob, PoolTask, task_name
from hibiscusstack.pool.coordination.known_work import activate_task, is_unheard
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.orders import StartOrder
from hibiscusstack.pool.placement import choose_target
from hibiscusstack.pool.target_state import Run, RunState, TakeoverPhase, TargetState

MOST_MISFITS = 12


def start_waiting(state: CoordinatorState) -> None:
    """Start waiting tasks, in the order of the queue, where there is room.

    The cost is a search for room for each task that is tried; after
    ``MOST_MISFITS`` jobs without room the others are left for the next time.
    """
    if state.is_deposed or not len(state.queue):
        return
    now_ms = state.clock.now_ms()
    misfits = 0
    for job in list(state.queue.in_order()):
        if misfits >= MOST_MISFITS:
            return
        if _must_wait(state, job, now_ms):
            continue
        misfits += not _place_job(state, job, now_ms)


def _must_wait(state: CoordinatorState, job: ActiveJob, now_ms: float) -> bool:
    """Tell whether an earlier run of the job may still be going on somewhere."""
    if job.job.job_id in state.ending or is_unheard(state, job):
        return True
    if not job.is_resubmitted:
        return False
    if now_ms >= job.earlier_coordinator_last_seen_ms + state.timing.max_orphan_run_ms:
        return False
    return (
        state.is_deputy
        or bool(state.missing)
        or any(
            target.phase is not TakeoverPhase.HELD or target.silent_since_ms is not None
            for target in state.targets.values()
        )
    )


def _place_job(state: CoordinatorState, job: ActiveJob, now_ms: float) -> bool:
    """Start tasks of one job; return whether none of them waits for room."""
    is_first = job.first_start_ms is None
    for task in list(job.ready):
        target = choose_target(job, task, state.room, now_ms)
        if target is None:
            break
        _start(state, target, job, task, now_ms)
    if not job.ready:
        state.queue.discard(job)
        return True
    if is_first and job.first_start_ms is not None:
        state.queue.add(job, now_ms)
    return False


def _start(
    state: CoordinatorState,
    target: TargetState,
    job: ActiveJob,
    task: PoolTask,
    now_ms: float,
) -> None:
    activate_task(state, job, task, now_ms)
    name = task_name(job.job.job_id, task.key)
    number, task.next_run = task.next_run, task.next_run + 1
    run = Run(name, number, job, task, task.step.needs, RunState.STARTING, now_ms)
    target.add(run)
    state.events.run_started(run, target.listing.name, now_ms)
    until_ms = target.plan_lease_renewal(now_ms)
    order = StartOrder(
        name,
        number,
        job.job.payload,
        until_ms,
        state.token,
        target.takeover_number,
        task.checkpoint,
    )
    state.orders.start(target.listing, order)
