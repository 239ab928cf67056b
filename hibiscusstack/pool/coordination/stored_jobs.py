"""Stored jobs at their coordinator: taken from their keeper, stopped and left."""

__all__ = [
    "cancel_stored_job",
    "look_for_end",
    "recover_stored_jobs",
    "release_stored_jobs",
    "take_stored_job",
]

from collections.abc import Callable
from functools import partial

from hibiscusstack.pool.active_jobs import ActiveJob
from hibiscusstack.pool.coordination.adopting import adopt_stray_runs
from hibiscusstack.pool.coordination.closing import (
    abandon_runs,
    close_job,
    complete_if_done,
)
from hibiscusstack.pool.coordination.known_work import enqueue_job
from hibiscusstack.pool.coordination.run_ends import take_early_ends
from hibiscusstack.pool.coordination.sending import send_look
from hibiscusstack.pool.coordination.starting import start_waiting
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.target_state import TargetState


def take_stored_job(state: CoordinatorState, job: ActiveJob) -> None:
    """Queue a stored job, unless it is known or complete."""
    if state.is_deposed or job.job.job_id in state.jobs:
        return
    state.jobs[job.job.job_id] = job
    job.earlier_coordinator_last_seen_ms = state.began_ms + state.timing.seclusion_ms
    if not complete_if_done(state, job):
        enqueue_job(state, job)


def cancel_stored_job(state: CoordinatorState, job_id: str) -> None:
    """Stop a stored job, if it is known."""
    job = state.jobs.get(job_id)
    if job is not None:
        close_job(state, job, JobEnd.REFUSED, "cancelled")
        start_waiting(state)


def look_for_end(
    state: CoordinatorState, job_id: str, on_looked: Callable[[], None]
) -> None:
    """Look at the targets with the last runs of a job, which may have ended.

    Nothing is looked at where tasks still wait. A target that does not answer lets
    ``on_looked`` wait.
    """
    job = state.jobs.get(job_id)
    now_ms = state.clock.now_ms()
    targets = set()
    if job is not None and job.active_count == sum(job.unfinished_by_step):
        targets = {
            target
            for target in state.targets.values()
            if target.silent_since_ms is None
            and any(run.job is job for run in target.runs.values())
        }
    open_looks = set(targets)

    def looked(target: TargetState) -> None:
        open_looks.discard(target)
        if not open_looks:
            on_looked()

    for target in targets:
        target.poll_waiters.append((now_ms, partial(looked, target)))
        send_look(state, target)
    if not targets:
        on_looked()


def release_stored_jobs(state: CoordinatorState) -> None:
    """Leave all stored jobs, and stop their runs.

    Where any of them ran or has ended unsaved, the lease lapses as well: ends of
    before then do not count, so that another coordinator may run the tasks anew.
    """
    lapsed_ms = state.clock.now_ms() + state.timing.max_lease_ms
    for target in state.targets.values():
        runs = [run for run in target.runs.values() if run.job is not None]
        if target.unacknowledged_ends or any(run.job.is_stored for run in runs):
            target.no_renewal_until_ms = lapsed_ms
    for job in [job for job in state.jobs.values() if job.is_stored]:
        del state.jobs[job.job.job_id]
        state.queue.discard(job)
        abandon_runs(state, job)


def recover_stored_jobs(state: CoordinatorState) -> None:
    """Act on the ends and runs of stored jobs that were not known before."""
    take_early_ends(state, state.clock.now_ms())
    adopt_stray_runs(state)
