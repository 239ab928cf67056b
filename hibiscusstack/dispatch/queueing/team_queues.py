"""The levels of the fair-share queue: classes, their teams, and teams' batches.

The queue belongs to a home, which is the host that queues and starts the tasks of its
targets.
"""

__all__ = ["BatchKey", "ClassTargetQueue", "TeamQueue", "TeamState", "WaitingBatch"]

import heapq
import math
from collections.abc import Callable

import attrs

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.dispatch.queueing.task_queue import QueuedTask

BatchKey = tuple[HostName, int]
TeamSortKey = tuple[int, float]

WAIT_PER_SERVICE_TIME = 5.0
DEADLINE_MARGIN_PER_SERVICE_TIME = 3.0


@attrs.define
class TeamState:
    """The state of one team within one class.

    ``virtual_ms`` is the team's virtual time: the slot time charged to it, in
    milliseconds divided by its weight. If the team had no waiting task, the next push
    raises it to the virtual time of the class. ``waiting`` counts its waiting tasks.
    """

    virtual_ms: float = 0.0
    waiting: int = 0
    queues: list["TeamQueue"] = attrs.field(factory=list)


@attrs.define(eq=False)
class WaitingBatch:
    """The waiting tasks of one batch, by decreasing expected run time.

    A batch holds the tasks that an owner has sent to this home together. It was
    enqueued by the push of its first waiting task, at ``enqueued_ms``. Of the batches
    of a team, the one with the earliest ``sort_time_ms`` is next, then the one with
    the lowest ``enqueue_number``. ``entries`` is a heap with negated run times, so
    that the longest task comes first.
    """

    key: BatchKey
    queue: "TeamQueue"
    enqueue_number: int
    enqueued_ms: int
    entries: list[tuple[float, int, QueuedTask]] = attrs.field(factory=list)
    deadline_ms: float = math.inf
    remaining_ms: float = 0.0
    sort_time_ms: float = math.inf

    def push(self, entry: QueuedTask, expected_ms: float, push_number: int) -> None:
        """Add one task; among equal run times the lowest ``push_number`` goes first."""
        heapq.heappush(self.entries, (-expected_ms, push_number, entry))
        self.remaining_ms += expected_ms
        self.deadline_ms = min(self.deadline_ms, entry.deadline_ms)

    def pop(self) -> tuple[float, QueuedTask]:
        """Remove and return the longest task, with its expected run time in ms."""
        # Adding the negated run time subtracts the run time.
        negated_expected_ms, _, entry = heapq.heappop(self.entries)
        self.remaining_ms += negated_expected_ms
        return -negated_expected_ms, entry

    def longest_ms(self) -> float:
        """Return the expected run time of the longest waiting task."""
        return -self.entries[0][0] if self.entries else 0.0

    def update_sort_time(self, slots: int) -> None:
        """Recompute the sort time and push the batch on the team's heap.

        The service time is the expected run time of the waiting tasks divided by
        ``slots``, the number of all slots of this home.

        The sort time is at most the enqueue time plus ``WAIT_PER_SERVICE_TIME`` times
        the service time. A short batch thus overtakes a long one that was enqueued a
        little earlier, and no batch starves.

        The sort time is never later than the deadline minus the run time of the
        longest task and ``DEADLINE_MARGIN_PER_SERVICE_TIME`` times the service time.
        This is meant to let all waiting tasks finish before the deadline.
        """
        service_ms = self.remaining_ms / max(slots, 1)
        deadline_sort_time_ms = (
            self.deadline_ms
            - self.longest_ms()
            - DEADLINE_MARGIN_PER_SERVICE_TIME * service_ms
        )
        wait_sort_time_ms = self.enqueued_ms + WAIT_PER_SERVICE_TIME * service_ms
        self.sort_time_ms = min(wait_sort_time_ms, deadline_sort_time_ms)
        self.queue.update(self)


@attrs.define(eq=False)
class TeamQueue:
    """The batches of one team in one class, for one set of targets.

    The heap holds (sort time, enqueue number, batch). An entry is stale if its sort
    time differs from that of the batch; stale entries are skipped.
    """

    class_queue: "ClassTargetQueue"
    team: str
    batches: dict[BatchKey, WaitingBatch] = attrs.field(factory=dict)
    heap: list[tuple[float, int, WaitingBatch]] = attrs.field(factory=list)

    def update(self, batch: WaitingBatch) -> None:
        """Add a batch, or record its new sort time."""
        self.batches[batch.key] = batch
        heapq.heappush(self.heap, (batch.sort_time_ms, batch.enqueue_number, batch))
        # Each batch has one current entry. Rebuilds the heap when most are stale.
        if len(self.heap) > 4 * len(self.batches) + 64:
            self.heap = [
                (b.sort_time_ms, b.enqueue_number, b) for b in self.batches.values()
            ]
            heapq.heapify(self.heap)

    def first(self) -> WaitingBatch:
        """Return the batch with the earliest sort time; the queue must not be empty."""
        while True:
            sort_time_ms, _, batch = self.heap[0]
            if batch.sort_time_ms == sort_time_ms and batch.key in self.batches:
                return batch
            heapq.heappop(self.heap)

    def remove(self, batch: WaitingBatch) -> None:
        """Remove a batch."""
        self.batches.pop(batch.key, None)
        # NaN is equal to nothing, so the heap entries of the batch become stale.
        batch.sort_time_ms = math.nan

    def is_empty(self) -> bool:
        """Return whether no batch is waiting."""
        return not self.batches


@attrs.define(eq=False)
class ClassTargetQueue:
    """The queues of the teams of one class, for one set of targets.

    The heap holds the sort key of each team: its virtual time in whole steps, then
    the sort time of its first batch. The steps let the sort time decide between teams
    whose virtual times are nearly equal. An entry is stale if its sort key differs
    from the team's current one. Stale entries are dropped when they reach the top, so
    that each change has a logarithmic cost.
    """

    class_name: str
    targets: frozenset[str]
    team_queues: dict[str, TeamQueue] = attrs.field(factory=dict)
    heap: list[tuple[TeamSortKey, str]] = attrs.field(factory=list)

    def add_team(self, team: str) -> TeamQueue:
        """Add and return the queue of a team that has none in this class."""
        queue = TeamQueue(self, team)
        self.team_queues[team] = queue
        return queue

    def update(self, team: str, sort_key: TeamSortKey) -> None:
        """Record a team's new sort key."""
        heapq.heappush(self.heap, (sort_key, team))
        # Removes duplicates and the entries of removed teams when most are stale.
        if len(self.heap) > 4 * len(self.team_queues) + 64:
            self.heap = [each for each in set(self.heap) if each[1] in self.team_queues]
            heapq.heapify(self.heap)

    def next_queue(
        self,
        sort_key_of: Callable[[TeamQueue], TeamSortKey],
        is_allowed: Callable[[str], bool],
    ) -> TeamQueue | None:
        """Return the queue of the allowed team with the lowest sort key, if any."""
        skipped = []
        found = None
        while self.heap:
            sort_key, team = self.heap[0]
            queue = self.team_queues.get(team)
            if queue is None or sort_key != sort_key_of(queue):
                heapq.heappop(self.heap)
                continue
            if is_allowed(team):
                found = queue
                break
            skipped.append(heapq.heappop(self.heap))
        for each in skipped:
            heapq.heappush(self.heap, each)
        return found
