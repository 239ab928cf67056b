"""Starting of waiting tasks on targets with free capacity."""

__all__ = ["start_waiting_tasks"]

from hibiscusstack.pool.active_jobs import ActiveJob, PoolTask, task_name
from hibiscusstack.pool.coordination.isolation import choose_suspect_target
from hibiscusstack.pool.coordination.job_tracking import (
    activate_task,
    has_only_unheard_owners,
)
from hibiscusstack.pool.coordination.start_explanations import (
    note_delay,
    note_resubmitted_start,
)
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.orders import StartOrder
from hibiscusstack.pool.placement import choose_target
from hibiscusstack.pool.target_state import Run, RunState, TakeoverPhase, TargetState

MAX_UNPLACED_JOBS = 12


def start_waiting_tasks(state: CoordinatorState) -> None:
    """Start waiting tasks in queue order, on targets with free capacity.

    Each task that is tried costs a search for capacity. To bound the cost, the call
    ends after ``MAX_UNPLACED_JOBS`` jobs whose tasks did not all fit.
    """
    if state.is_superseded or not len(state.queue):
        return
    now_ms = state.clock.now_ms()
    unplaced_count = 0
    for job in list(state.queue.in_order()):
        if unplaced_count >= MAX_UNPLACED_JOBS:
            return
        if _must_delay_start(state, job, now_ms):
            note_delay(state, job, now_ms)
            continue
        # Adds 1 if some ready tasks of the job did not fit.
        unplaced_count += not _start_job_tasks(state, job, now_ms)


def _must_delay_start(state: CoordinatorState, job: ActiveJob, now_ms: float) -> bool:
    """Return whether no task of the job may start now.

    The job waits while stray runs of it exist or while none of the hosts that submitted
    it have been heard from recently. An earlier run of a resubmitted job may still be
    active at a target that is silent, not held or not under control here. No other
    target comes into question, since coordinators use only recorded targets. Such a job
    waits for these targets, and a deputy always lets it wait, but no longer than
    ``max_orphan_run_ms`` after the earlier coordinator was last heard from.
    """
    if job.job.job_id in state.stray_run_counts or has_only_unheard_owners(state, job):
        return True
    if not job.is_resubmitted:
        return False
    if now_ms >= job.earlier_coordinator_last_seen_ms + state.timing.max_orphan_run_ms:
        return False
    return (
        state.is_deputy
        or any(state.missing_names())
        or any(
            target.phase is not TakeoverPhase.HELD or target.silent_since_ms is not None
            for target in state.targets.values()
        )
    )


def _start_job_tasks(state: CoordinatorState, job: ActiveJob, now_ms: float) -> bool:
    """Start ready tasks of a job; return whether all of them were started.

    Suspects that wait for a target of their own count as started, since they don't
    show that capacity is short.
    """
    is_first = job.first_start_ms is None
    for task in list(job.ready):
        if task.is_suspect:
            target = choose_suspect_target(state, job, task, now_ms)
            if target is None:
                continue
        else:
            target = choose_target(job, task, state.free_capacity, now_ms)
            if target is None:
                break
        _start_task(state, target, job, task, now_ms)
    if not job.ready:
        state.queue.discard(job)
        return True
    if is_first and job.first_start_ms is not None:
        # Move the job in the queue: started jobs come first.
        state.queue.add(job, now_ms)
    return all(task.is_suspect for task in job.ready)


def _start_task(
    state: CoordinatorState,
    target: TargetState,
    job: ActiveJob,
    task: PoolTask,
    now_ms: float,
) -> None:
    """Start a run of a task on a target, and renew the lease of the target."""
    activate_task(state, job, task, now_ms)
    name = task_name(job.job.job_id, task.key)
    number, task.next_run = task.next_run, task.next_run + 1
    run = Run(name, number, job, task, task.step.needs, RunState.STARTING, now_ms)
    run.is_isolated = task.is_suspect and not target.runs
    task.isolation_wait_since_ms = task.recorded_start = None
    target.add(run)
    state.events.run_started(run, target.listing.name, state.token, now_ms)
    if job.is_resubmitted:
        note_resubmitted_start(state, run, target, now_ms)
    lease_end_on_target_ms = target.plan_lease_renewal(now_ms)
    order = StartOrder(
        name,
        number,
        job.job.payload,
        lease_end_on_target_ms,
        state.token,
        target.takeover_number,
        task.checkpoint,
    )
    state.orders.start(target.listing, order)
