"""Stored jobs at their coordinator: adding, cancelling, releasing and recovery."""

__all__ = [
    "add_stored_job",
    "cancel_stored_job",
    "poll_for_end",
    "recover_stored_jobs",
    "release_stored_jobs",
]

from collections.abc import Callable
from functools import partial

from hibiscusstack.pool.active_jobs import ActiveJob
from hibiscusstack.pool.coordination.adoption import adopt_stray_runs
from hibiscusstack.pool.coordination.closing import (
    abandon_runs,
    close_job,
    complete_if_done,
)
from hibiscusstack.pool.coordination.job_tracking import enqueue_job
from hibiscusstack.pool.coordination.lost_targets import (
    fail_if_given_up,
    mark_suspects,
)
from hibiscusstack.pool.coordination.run_ends import handle_deferred_ends
from hibiscusstack.pool.coordination.sending import send_poll
from hibiscusstack.pool.coordination.starting import start_waiting_tasks
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.target_state import TargetState


def add_stored_job(state: CoordinatorState, job: ActiveJob) -> None:
    """Queue a stored job, unless it is known or complete."""
    if state.is_superseded or job.job.job_id in state.jobs:
        return
    state.jobs[job.job.job_id] = job
    # An earlier coordinator may keep its stored jobs that long after losing its term.
    job.earlier_coordinator_last_seen_ms = (
        state.term_started_ms + state.timing.seclusion_ms
    )
    mark_suspects(state, job)
    if not (fail_if_given_up(state, job) or complete_if_done(state, job)):
        enqueue_job(state, job)


def cancel_stored_job(state: CoordinatorState, job_id: str) -> None:
    """Cancel a stored job, if it is known."""
    job = state.jobs.get(job_id)
    if job is not None:
        close_job(state, job, JobEnd.REFUSED, "cancelled")
        start_waiting_tasks(state)


def poll_for_end(
    state: CoordinatorState, job_id: str, on_polled: Callable[[], None]
) -> None:
    """Poll the targets that run the last tasks of a job, which may have ended.

    If tasks of the job still wait, no target is polled. ``on_polled`` is called once
    every polled target has replied, so an unresponsive target delays it.
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
    polls_in_flight = set(targets)

    def poll_answered(target: TargetState) -> None:
        polls_in_flight.discard(target)
        if not polls_in_flight:
            on_polled()

    for target in targets:
        target.poll_waiters.append((now_ms, partial(poll_answered, target)))
        send_poll(state, target)
    if not targets:
        on_polled()


def release_stored_jobs(state: CoordinatorState) -> None:
    """Give up all stored jobs and stop their runs.

    The lease of a target with such a run, or with an end that is not saved yet, is
    not renewed until it has expired. Ends from before then do not count, so another
    coordinator may run the tasks again.
    """
    expiry_ms = state.clock.now_ms() + state.timing.max_lease_ms
    for target in state.targets.values():
        runs = [run for run in target.runs.values() if run.job is not None]
        if target.unacknowledged_ends or any(run.job.is_stored for run in runs):
            target.no_renewal_until_ms = expiry_ms
    for job in [job for job in state.jobs.values() if job.is_stored]:
        del state.jobs[job.job.job_id]
        state.queue.discard(job)
        abandon_runs(state, job)


def recover_stored_jobs(state: CoordinatorState) -> None:
    """Handle the deferred ends and stray runs of stored jobs that are now known."""
    handle_deferred_ends(state, state.clock.now_ms())
    adopt_stray_runs(state)
