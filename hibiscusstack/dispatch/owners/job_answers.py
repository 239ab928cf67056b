"""Combines the results of the tasks of a job into the answer to the job."""

__all__ = ["make_job_answer"]

from collections.abc import Mapping

from hibiscusstack.dispatch.answers import (
    JobAnswer,
    Outcome,
    Problem,
    Reason,
    TaskResult,
)
from hibiscusstack.dispatch.jobs import Job


def make_job_answer(
    job: Job, results: Mapping[int, TaskResult], problem: Problem | None
) -> JobAnswer:
    """Return the answer to a job whose every task has a result.

    The job succeeded if all tasks succeeded, and was not run if no task was run.
    Otherwise it failed if any task failed or was not run. If neither is the case,
    the outcome is unknown: every task that did not succeed may have run.
    ``problem`` is why the job was cancelled.

    >>> make_job_answer(Job("j1", "c", ()), {}, None).outcome
    <Outcome.SUCCEEDED: 'succeeded'>
    """
    ordered = tuple(results[task.index] for task in job.tasks)
    outcome = _combine_outcomes({result.outcome for result in ordered})
    if outcome is Outcome.SUCCEEDED:
        return JobAnswer(job.job_id, outcome, ordered)
    reason = problem or Problem(Reason.JOB_FAILED)
    return JobAnswer(job.job_id, outcome, ordered, reason)


def _combine_outcomes(outcomes: set[Outcome]) -> Outcome:
    if outcomes <= {Outcome.SUCCEEDED}:
        return Outcome.SUCCEEDED
    if outcomes == {Outcome.NOT_RUN}:
        return Outcome.NOT_RUN
    if Outcome.FAILED in outcomes or Outcome.NOT_RUN in outcomes:
        return Outcome.FAILED
    return Outcome.UNKNOWN
