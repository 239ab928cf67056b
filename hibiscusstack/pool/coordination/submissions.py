"""Jobs that hosts hand over for callers who wait, and that they take back."""

__all__ = ["cancel_submission", "cancel_submissions_of", "take_submission"]

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.active_jobs import ActiveJob
from hibiscusstack.pool.coordination.adopting import adopt_stray_runs
from hibiscusstack.pool.coordination.closing import close_job, complete_if_done
from hibiscusstack.pool.coordination.known_work import enqueue_job
from hibiscusstack.pool.coordination.starting import start_waiting
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.messages import JobEnd, SubmitPoolJob


def take_submission(
    state: CoordinatorState, owner: HostName, message: SubmitPoolJob
) -> None:
    """Take a job from the host that received it, or join it to the one known."""
    submission = (owner, message.submission)
    if submission in state.by_submission:
        return
    job = state.jobs.get(message.job.job_id)
    if job is None:
        job = _begin_job(state, message)
    job.submissions.append(submission)
    state.by_submission[submission] = job
    if not complete_if_done(state, job):
        if job.job.job_id in state.ending:
            adopt_stray_runs(state)
        enqueue_job(state, job)
        start_waiting(state)


def cancel_submission(
    state: CoordinatorState, owner: HostName, submission: int
) -> None:
    """Forget a submission, and stop its job if nobody else waits for it."""
    job = state.by_submission.pop((owner, submission), None)
    if job is None:
        return
    job.submissions.remove((owner, submission))
    if not job.submissions and not job.is_stored:
        close_job(state, job, JobEnd.REFUSED, "cancelled")
        start_waiting(state)


def cancel_submissions_of(state: CoordinatorState, owner: HostName) -> None:
    """Forget all submissions of a host."""
    for host, submission in list(state.by_submission):
        if host == owner:
            cancel_submission(state, host, submission)


def _begin_job(state: CoordinatorState, message: SubmitPoolJob) -> ActiveJob:
    now_ms = state.clock.now_ms()
    job = ActiveJob(
        message.job,
        now_ms - message.waited_ms,
        message.is_resubmitted,
        earlier_coordinator_last_seen_ms=now_ms - message.unheard_ms,
    )
    state.jobs[message.job.job_id] = job
    return job
