"""Messages between hosts about pools, as plain typed data."""

__all__ = [
    "AskStored",
    "CancelSubmission",
    "JobEnd",
    "PoolHeartbeat",
    "PoolMessage",
    "StoredAnswer",
    "StoredJobAccepted",
    "StoredRequest",
    "StoredState",
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
    ``hears_holder`` says whether it hears that term's holder. ``is_deputy`` says that
    it orders the targets of its data centre meanwhile, and with ``is_general`` those of
    all. ``has_stored`` says that there have been stored jobs. ``token`` is the one
    under which the sender orders targets, 0 if it does not, and ``general_token`` the
    highest of a general deputy that it has heard of. ``lacks_log`` says that the sender
    could not read the log lately. ``offered_cpu_milli`` is the processor that it has
    for a coordinator, nothing while it can't claim a term.
    """

    term: int
    holder: HostName | None
    hears_holder: bool
    is_draining: bool
    is_deputy: bool = False
    has_stored: bool = False
    offered_cpu_milli: int = 0
    is_general: bool = False
    token: int = 0
    general_token: int = 0
    lacks_log: bool = False


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


class StoredRequest(Enum):
    """What is asked about stored jobs."""

    READ = "read"
    CANCEL = "cancel"
    COUNT = "count"


class StoredState(Enum):
    """Where a stored job stands; ``UNKNOWN`` says that there is no such job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


@attrs.frozen
class AskStored:
    """A question to the coordinator about a stored job, or about a queue."""

    question: int
    request: StoredRequest
    queue: str
    job_id: str = ""


@attrs.frozen
class StoredAnswer:
    """The answer; ``pending`` counts the jobs of the queue that have not begun."""

    question: int
    state: StoredState
    pending: int = 0


@attrs.frozen
class StoredJobAccepted:
    """Word that a job has been stored; ``submitted_ms`` is a time of day."""

    queue: str
    job: PoolJob
    submitted_ms: int


PoolMessage = (
    PoolHeartbeat
    | SubmitPoolJob
    | SubmissionAnswer
    | CancelSubmission
    | AskStored
    | StoredAnswer
    | StoredJobAccepted
)
