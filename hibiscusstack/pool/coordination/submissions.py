"""Submission of jobs by hosts whose callers wait, and cancellation."""

__all__ = ["add_submission", "cancel_submission", "cancel_submissions_of"]

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.active_jobs import ActiveJob
from hibiscusstack.pool.coordination.adoption import adopt_stray_runs
from hibiscusstack.pool.coordination.closing import close_job, complete_if_done
from hibiscusstack.pool.coordination.job_tracking import enqueue_job
from hibiscusstack.pool.coordination.lost_targets import (
    fail_if_given_up,
    mark_suspects,
)
from hibiscusstack.pool.coordination.starting import start_waiting_tasks
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.messages import JobEnd, SubmitPoolJob


def add_submission(
    state: CoordinatorState, owner: HostName, message: SubmitPoolJob
) -> None:
    """Accept a job from the host that received it, or attach to a known job."""
    submission = (owner, message.submission)
    if submission in state.by_submission:
        return
    job = state.jobs.get(message.job.job_id)
    if job is None:
        job = _add_job(state, message)
    elif message.is_resubmitted:
        _note_resubmission(job, state.clock.now_ms() - message.unheard_ms)
    job.submissions.append(submission)
    state.by_submission[submission] = job
    if not (fail_if_given_up(state, job) or complete_if_done(state, job)):
        if job.job.job_id in state.stray_run_counts:
            adopt_stray_runs(state)
        enqueue_job(state, job)
        start_waiting_tasks(state)


def cancel_submission(
    state: CoordinatorState, owner: HostName, submission: int
) -> None:
    """Drop a submission, and stop its job if no other submission waits for it."""
    job = state.by_submission.pop((owner, submission), None)
    if job is None:
        return
    job.submissions.remove((owner, submission))
    if not job.submissions and not job.is_stored:
        close_job(state, job, JobEnd.REFUSED, "cancelled")
        start_waiting_tasks(state)


def cancel_submissions_of(state: CoordinatorState, owner: HostName) -> None:
    """Cancel all submissions of a host."""
    for host, submission in list(state.by_submission):
        if host == owner:
            cancel_submission(state, host, submission)


def _note_resubmission(job: ActiveJob, last_seen_ms: float) -> None:
    """Record that one more host had a known job at an earlier coordinator."""
    if job.is_resubmitted:
        last_seen_ms = max(last_seen_ms, job.earlier_coordinator_last_seen_ms)
    job.is_resubmitted = True
    job.earlier_coordinator_last_seen_ms = last_seen_ms


def _add_job(state: CoordinatorState, message: SubmitPoolJob) -> ActiveJob:
    now_ms = state.clock.now_ms()
    job = ActiveJob(
        message.job,
        now_ms - message.waited_ms,
        message.is_resubmitted,
        earlier_coordinator_last_seen_ms=now_ms - message.unheard_ms,
    )
    state.jobs[message.job.job_id] = job
    mark_suspects(state, job)
    return job
