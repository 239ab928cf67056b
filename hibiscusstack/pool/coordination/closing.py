"""End of a job: its submissions are answered and its remaining runs are stopped."""

__all__ = ["abandon_runs", "abandon_task", "close_job", "complete_if_done"]

from hibiscusstack.pool.active_jobs import ActiveJob, PoolTask
from hibiscusstack.pool.coordination.job_tracking import count_stray_run
from hibiscusstack.pool.coordination.sending import send_stop
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.messages import JobEnd, SubmissionAnswer
from hibiscusstack.pool.target_state import Run, RunState, TargetState

RETRY_AFTER_MS = 1_000


def close_job(
    state: CoordinatorState,
    job: ActiveJob,
    end: JobEnd,
    cause: str = "",
    capacity: str = "",
) -> None:
    """End a job: answer all its submissions and stop its remaining runs.

    ``capacity`` describes the targets and the queue for the log, unless empty.
    """
    state.jobs.pop(job.job.job_id, None)
    state.queue.discard(job)
    if job.is_stored:
        state.journal.job_ended(job.job.job_id, end)
    may_have_run = job.first_start_ms is not None or job.is_resubmitted
    if end is JobEnd.REFUSED and may_have_run:
        # REFUSED would guarantee that nothing has run.
        end = JobEnd.UNKNOWN
    now_ms = state.clock.now_ms()
    state.events.job_ended_by_coordinator(job, end, cause, now_ms, capacity)
    retry_ms = RETRY_AFTER_MS if end is JobEnd.REFUSED else 0
    for owner, submission in job.submissions:
        state.by_submission.pop((owner, submission), None)
        answer = SubmissionAnswer(submission, end, cause, retry_ms)
        state.send_answer(owner, answer)
    job.submissions.clear()
    abandon_runs(state, job)


def complete_if_done(state: CoordinatorState, job: ActiveJob) -> bool:
    """Close the job if all its tasks are done; return whether they are."""
    if job.is_complete:
        close_job(state, job, JobEnd.COMPLETED)
    return job.is_complete


def abandon_runs(state: CoordinatorState, job: ActiveJob) -> None:
    """Stop all runs of a job and ignore how they end."""
    if not job.active_count:
        return
    for target in state.targets.values():
        for run in list(target.runs.values()):
            if run.job is job:
                _abandon_run(state, target, run)


def abandon_task(state: CoordinatorState, task: PoolTask) -> None:
    """Stop all runs of a task and ignore how they end."""
    for target in state.targets.values():
        for run in list(target.runs.values()):
            if run.task is task:
                _abandon_run(state, target, run)


def _abandon_run(state: CoordinatorState, target: TargetState, run: Run) -> None:
    run.job.active_count -= 1
    run.job = run.task = None
    count_stray_run(state, run.name)
    if run.state is not RunState.STOPPING:
        send_stop(state, target, run)
