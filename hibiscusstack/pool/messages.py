"""Messages between hosts about pools, as plain typed data."""

__all__ = [
    "CancelSubmission",
    "JobEnd",
    "PoolHeartbeat",
    "PoolMessage",
    "SubmissionAnswer",
    "SubmitPoolJob",
]

from enum import Enum

import attrs

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.jobs import PoolJob


class JobEnd(Enum):
    """How a submission ended.

    ``REFUSED`` says that nothing of the job has run or will; ``UNKNOWN`` that some of
    it may have run and nothing runs any more.
    """

    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen
class PoolHeartbeat:
    """Liveness, and which coordinator the sender knows.

    ``term`` is the newest term that the sender knows, -1 for none, and
    ``hears_holder`` says whether it hears that term's holder.
    """

    term: int
    holder: HostName | None
    hears_holder: bool
    is_draining: bool


@attrs.frozen
class SubmitPoolJob:
    """A job on its way from the host that received it to the coordinator.

    ``waited_ms`` is for how long it has waited already. ``is_resubmitted`` says that
    an earlier coordinator may have started some of its tasks; the sender has not heard
    from that one for ``unheard_ms``.
    """

    submission: int
    job: PoolJob
    waited_ms: int
    is_resubmitted: bool
    unheard_ms: int = 0


@attrs.frozen
class SubmissionAnswer:
    """The end of a submission; ``retry_ms`` says when to come back after a refusal."""

    submission: int
    end: JobEnd
    cause: str = ""
    retry_ms: int = 0


@attrs.frozen
class CancelSubmission:
    """Word that nobody waits for a submission any more."""

    submission: int


PoolMessage = PoolHeartbeat | SubmitPoolJob | SubmissionAnswer | CancelSubmission
