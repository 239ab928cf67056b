"""What the HTTP API for callers needs from the dispatcher."""

__all__ = [
    "ATTEMPT_REASONS",
    "IssuedIds",
    "JobPhase",
    "JobService",
    "JobState",
]

from enum import Enum
from typing import Protocol

import attrs
from twisted.internet.defer import Deferred

from hibiscusstack.dispatch.answers import JobAnswer, Reason
from hibiscusstack.dispatch.jobs import Job

ATTEMPT_REASONS = frozenset(
    {
        Reason.NOT_READY,
        Reason.DRAINING,
        Reason.ID_EXPIRED,
        Reason.ID_NOT_ISSUED,
        Reason.ID_OF_ANOTHER_CALLER,
        Reason.OWNER_UNREACHABLE,
        Reason.OWNERSHIP_UNPROVEN,
    }
)
"""Reasons of a *not run* that speaks of one attempt and not of the id.

An earlier attempt with the same id may have run. Every other *not run* is final for
its id: the owner refuses the id from then on, however late a copy arrives.
"""


@attrs.frozen
class IssuedIds:
    """Fresh ids that one job each may use within ``valid_ms``."""

    ids: tuple[str, ...]
    valid_ms: int


class JobPhase(Enum):
    """How far a job has come."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


@attrs.frozen
class JobState:
    """How far a job has come; ``answer`` is set once it has ended."""

    job_id: str
    phase: JobPhase
    tasks: int
    tasks_ended: int = 0
    answer: JobAnswer | None = None


class JobService(Protocol):
    """The dispatcher, as the HTTP API for callers sees it.

    An id belongs to the caller that first used it. The service enforces that, and
    answers another caller as if the id were unknown or with the reason
    ``ID_OF_ANOTHER_CALLER``, never with the answer of the job.
    """

    def refusal_reason(self) -> Reason | None:
        """Return why new jobs are refused (not ready, draining), else ``None``."""

    def issue_ids(self, count: int) -> IssuedIds:
        """Return up to ``count`` fresh ids; none while new jobs are refused."""

    def job_id_of_key(self, caller: str, key: str) -> str:
        """Return the id that stands for a key which ``caller`` chose.

        Raises :class:`~hibiscusstack.exceptions.InvalidInputError` for a key of a
        wrong form.
        """

    def submit(self, job: Job) -> Deferred[JobAnswer]:
        """Return the answer to a job, once it has ended or is refused.

        A job whose id is known already joins the first one of that id. A deferred
        that is cancelled forgets the waiter and leaves the job running.
        """

    def status(self, job_id: str, caller: str) -> JobState | None:
        """Return the state of a job that this host owns and ``caller`` submitted."""

    def cancel(self, job_id: str, caller: str) -> bool:
        """Cancel a job, passing the wish on to its owner.

        Returns ``False`` when the job is known to be no job of ``caller``. The
        job's answer still comes to whoever waits for it.
        """
