"""Messages that pool hosts send each other."""

__all__ = [
    "AskStored",
    "CancelSubmission",
    "JobEnd",
    "PoolHeartbeat",
    "PoolMessage",
    "ShardHeartbeats",
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

    ``REFUSED``: no task of the job has run or will run. ``UNKNOWN``: some tasks may
    have run, and none runs any more.
    """

    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen
class PoolHeartbeat:
    """A heartbeat, with what the sender knows of the coordinator.

    ``term`` is the newest term that the sender knows, -1 for none, ``holder`` is the
    host that claimed it, and ``hears_holder`` tells whether the sender receives the
    holder's heartbeats. With ``is_deputy`` the sender coordinates the targets of its
    own data centre as a deputy; with ``is_general`` it is a general deputy, which
    coordinates the targets of all data centres.

    ``has_stored`` tells deputies of an earlier build that there have been stored jobs;
    those of this build don't rely on it. ``token`` is the fencing
    token of the sender's orders to targets, 0 if it sends none. ``general_token`` is
    the highest token of a general deputy that the sender has heard of. ``lacks_log``
    tells that the sender has not been able to read the log recently, or ever.
    ``log_end`` is the offset up to which the sender has read the log of hosts.
    ``offered_cpu_milli`` is the processor capacity that the sender offers a
    coordinator, in thousandths of a core; it is 0 while it can't claim a term.
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
    log_end: int = 0


@attrs.frozen
class ShardHeartbeats:
    """The heartbeats of a host for each shard that it knows of, in order."""

    shards: tuple[PoolHeartbeat, ...]


@attrs.frozen
class SubmitPoolJob:
    """A job that the host that received it forwards to the coordinator.

    ``submission`` is the number that the sender has given the submission. ``waited_ms``
    is the time since the sender received the job. With ``is_resubmitted`` the job was
    sent to a coordinator before, which may have started some of its tasks.
    ``unheard_ms`` is the time since the sender last withdrew the job from a
    coordinator, 0 if it never did.
    """

    submission: int
    job: PoolJob
    waited_ms: int
    is_resubmitted: bool
    unheard_ms: int = 0


@attrs.frozen
class SubmissionAnswer:
    """The end of a submission; after a refusal, retry after ``retry_ms``."""

    submission: int
    end: JobEnd
    cause: str = ""
    retry_ms: int = 0


@attrs.frozen
class CancelSubmission:
    """Cancels a submission, since no caller waits for it any more."""

    submission: int


class StoredRequest(Enum):
    """Kind of a request about stored jobs."""

    READ = "read"
    CANCEL = "cancel"
    COUNT = "count"


class StoredState(Enum):
    """State of a stored job; ``UNKNOWN`` means that there is no such job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


@attrs.frozen
class AskStored:
    """A request to the coordinator about a stored job, or about a queue.

    ``question`` is the number by which the sender recognises the answer.
    """

    question: int
    request: StoredRequest
    queue: str
    job_id: str = ""


@attrs.frozen
class StoredAnswer:
    """The answer to :class:`AskStored`.

    ``pending`` is the number of jobs in the queue that have not started.
    """

    question: int
    state: StoredState
    pending: int = 0


@attrs.frozen
class StoredJobAccepted:
    """Notice that a job was stored; ``submitted_ms`` is in wall-clock time."""

    queue: str
    job: PoolJob
    submitted_ms: int


PoolMessage = (
    PoolHeartbeat
    | ShardHeartbeats
    | SubmitPoolJob
    | SubmissionAnswer
    | CancelSubmission
    | AskStored
    | StoredAnswer
    | StoredJobAccepted
)
