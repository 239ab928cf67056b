"""Messages that dispatcher hosts exchange, as plain typed data.

Messages contain durations only, never a time of day or a clock reading. The codec
in :mod:`hibiscusstack.host` encodes each class as an array that starts with its tag.
"""

__all__ = [
    "BatchResults",
    "CancelBatch",
    "CancelJob",
    "FetchConfiguration",
    "ForwardAnswer",
    "ForwardJob",
    "Heartbeat",
    "Hello",
    "HostName",
    "Message",
    "PlaceBatch",
    "QueryBatch",
    "RecordsPage",
    "RequestWork",
]

import attrs

from hibiscusstack.dispatch.answers import JobAnswer, TaskResult
from hibiscusstack.dispatch.jobs import Job, Task


@attrs.frozen(order=True)
class HostName:
    """One incarnation of one dispatcher host; a restart makes a new one.

    ``incarnation`` is chosen at start and never repeats for the same ``name``.
    """

    data_centre: str
    name: str
    incarnation: int


@attrs.frozen
class Hello:
    """The first message on a connection, sent by both sides."""

    sender: HostName
    address: str
    port: int
    version: int = 1


@attrs.frozen
class Heartbeat:
    """Sign of life with the state that peers need, sent at a fixed interval.

    The load covers the targets whose home is the sender: their number, their slots
    and free slots, how many are ejected, and the expected run time of the queued
    tasks, in total and by class. ``free_by_target`` has the free slots of each of
    these targets, in order of their names.
    """

    configuration_offset: int
    is_draining: bool
    free_slots: int
    queued_ms: int
    targets: int
    slots: int = 0
    ejected: int = 0
    queued_ms_by_class: tuple[tuple[str, int], ...] = ()
    free_by_target: tuple[int, ...] = ()


@attrs.frozen
class ForwardJob:
    """A job, from the host that received it to the owner of its id."""

    request: int
    job: Job


@attrs.frozen
class ForwardAnswer:
    """The answer to :class:`ForwardJob` with the same ``request``."""

    request: int
    answer: JobAnswer


@attrs.frozen
class CancelJob:
    """A caller's request to cancel a job, forwarded to the owner of the job."""

    job_id: str
    caller: str


@attrs.frozen
class PlaceBatch:
    """Tasks of one job, from its owner to the home host of the named targets.

    The home may start them on ``targets`` only, so that the owner knows which targets
    to query if the home is lost. ``batch`` increases within the owner's incarnation.
    The owner will not query batches up to ``closed_through`` again. With ``may_move``
    the home may return tasks to be placed on an idle home.
    """

    batch: int
    job_id: str
    tasks: tuple[Task, ...]
    targets: tuple[str, ...]
    timeout_ms: int
    caller: str
    team: str
    class_name: str
    closed_through: int = 0
    may_move: bool = True
    traceparent: str = ""


@attrs.frozen
class BatchResults:
    """Results of some tasks of a batch, from its home to its owner.

    ``free_slots`` and the queued times have the same meaning as in a heartbeat.
    ``returned`` lists the indexes of tasks that the home returns unstarted.
    ``is_refused`` means that the home never received the batch and will never start
    any of its tasks.
    """

    batch: int
    results: tuple[TaskResult, ...]
    returned: tuple[int, ...] = ()
    is_refused: bool = False
    free_slots: int = 0
    queued_ms: int = 0
    queued_ms_by_class: tuple[tuple[str, int], ...] = ()
    free_by_target: tuple[int, ...] = ()


@attrs.frozen
class QueryBatch:
    """The owner's query, after a reconnection, for the status of a batch.

    A home that never received the batch refuses it for good.
    """

    batch: int


@attrs.frozen
class CancelBatch:
    """The owner's request to cancel the tasks of a batch that have not ended."""

    batch: int


@attrs.frozen
class RequestWork:
    """An idle home's request for tasks that are queued on a busy one."""

    free_slots: int


@attrs.frozen
class FetchConfiguration:
    """A request for the configuration records after ``after_offset``."""

    after_offset: int


@attrs.frozen
class RecordsPage:
    """Consecutive accepted configuration records, each as (offset, text)."""

    records: tuple[tuple[int, str], ...]


Message = (
    Hello
    | Heartbeat
    | ForwardJob
    | ForwardAnswer
    | CancelJob
    | PlaceBatch
    | BatchResults
    | QueryBatch
    | CancelBatch
    | RequestWork
    | FetchConfiguration
    | RecordsPage
)
