"""How a job leaves its coordinator: everyone is answered, and its runs are stopped."""

__all__ = ["abandon_runs", "abandon_task", "close_job", "complete_if_done"]

from hibiscusstack.pool.active_jobs import ActiveJob, PoolTask
from hibiscusstack.pool.coordination.job_tracking import count_stray_run
from hibiscusstack.pool.coordination.sending import send_stop
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.messages import JobEnd, SubmissionAnswer
from hibiscusstack.pool.target_state import Run, RunState, TargetState

RETRY_AFTER_MS = 1_000


def close_job(
    state: CoordinatorState, job: ActiveJob, end: JobEnd, cause: str = ""
) -> None:
    """Answer everyone who waits for a job, and stop what still runs of it."""
    state.jobs.pop(job.job.job_id, None)
    state.queue.discard(job)
    if job.is_stored:
        state.journal.job_ended(job.job.job_id, end)
    may_have_run = job.first_start_ms is not None or job.is_resubmitted
    if end is JobEnd.REFUSED and may_have_run:
        # A refusal would say that nothing has run.
        end = JobEnd.UNKNOWN
    state.events.job_closed(job, end, cause, state.clock.now_ms())
    retry_ms = RETRY_AFTER_MS if end is JobEnd.REFUSED else 0
    for owner, submission in job.submissions:
        state.by_submission.pop((owner, submission), None)
        answer = SubmissionAnswer(submission, end, cause, retry_ms)
        state.send_answer(owner, answer)
    job.submissions.clear()
    abandon_runs(state, job)


def complete_if_done(state: CoordinatorState, job: ActiveJob) -> bool:
    """Close a job whose tasks are all done; return whether they are."""
    if job.is_complete:
        close_job(state, job, JobEnd.COMPLETED)
    return job.is_complete


def abandon_runs(state: CoordinatorState, job: ActiveJob) -> None:
    """Stop all runs of a job, whose ends do not count any more."""
    if not job.active_count:
        return
    for target in state.targets.values():
        for run in list(target.runs.values()):
            if run.job is job:
                _abandon_run(state, target, run)


def abandon_task(state: CoordinatorState, task: PoolTask) -> None:
    """Stop all runs of a task, whose ends do not count any more."""
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
