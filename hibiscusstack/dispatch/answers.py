"""Answers to callers, and the typed reasons of failures and refusals."""

__all__ = [
    "JobAnswer",
    "Outcome",
    "Problem",
    "Reason",
    "TaskResult",
    "not_run",
    "outcome_unknown",
]

from enum import Enum
from typing import Any

import attrs


class Outcome(Enum):
    """Outcome of a task or of a whole job.

    ``NOT_RUN`` requires proof that nothing started. ``UNKNOWN`` means that work may
    have run and that it will not be started again.
    """

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(Enum):
    """Type of a failure. The values are stable and part of the public interface."""

    TASK_FAILED = "task-failed"
    JOB_FAILED = "job-failed"
    CANCELLED = "cancelled"
    DEADLINE = "deadline"
    OVERLOADED = "overloaded"
    QUOTA = "quota-exceeded"
    NO_MATCHING_TARGET = "no-matching-target"
    TOO_LARGE = "too-large"
    NOT_READY = "not-ready"
    DRAINING = "draining"
    ID_EXPIRED = "id-expired"
    ID_NOT_ISSUED = "id-not-issued"
    ID_OF_ANOTHER_CALLER = "id-of-another-caller"
    OWNER_UNREACHABLE = "owner-unreachable"
    OWNER_LOST = "owner-lost"
    OWNERSHIP_UNPROVEN = "ownership-unproven"
    TARGET_LOST = "target-lost"
    HOST_LOST = "host-lost"
    ANSWER_EXPIRED = "answer-expired"
    NO_ANSWER = "no-answer"


@attrs.frozen
class Problem:
    """Why work did not succeed; ``retry_after_ms`` is when the caller may retry."""

    reason: Reason
    detail: str = ""
    retry_after_ms: int | None = None


@attrs.frozen
class TaskResult:
    """Result of one task; ``value`` is what the target returned."""

    index: int
    outcome: Outcome
    value: Any = None
    problem: Problem | None = None
    run_time_ms: int = 0


@attrs.frozen
class JobAnswer:
    """The only answer to a job, complete for all of its tasks.

    ``results`` has one entry for each task, in the order of the tasks. It is empty
    if the job was refused before any task was known. ``other_data_centres`` names
    the data centres other than the owner's to which tasks of the job were sent.
    """

    job_id: str
    outcome: Outcome
    results: tuple[TaskResult, ...] = ()
    problem: Problem | None = None
    other_data_centres: tuple[str, ...] = ()


def not_run(
    job_id: str, reason: Reason, detail: str = "", retry_after_ms: int | None = None
) -> JobAnswer:
    """Return the answer to a job of which no task has run or will run.

    >>> not_run("j1", Reason.OVERLOADED, retry_after_ms=200).outcome
    <Outcome.NOT_RUN: 'not_run'>
    """
    problem = Problem(reason, detail, retry_after_ms)
    return JobAnswer(job_id, Outcome.NOT_RUN, problem=problem)


def outcome_unknown(job_id: str, reason: Reason, detail: str = "") -> JobAnswer:
    """Return the answer to a job that may have run and will not be started again.

    >>> outcome_unknown("j1", Reason.OWNER_LOST).problem.reason
    <Reason.OWNER_LOST: 'owner-lost'>
    """
    return JobAnswer(job_id, Outcome.UNKNOWN, problem=Problem(reason, detail))
