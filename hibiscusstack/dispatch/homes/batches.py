"""The batches that owners have placed on a home host."""

__all__ = ["BatchTable"]

from itertools import takewhile

import attrs

from hibiscusstack.dispatch.answers import Outcome, TaskResult
from hibiscusstack.dispatch.messages import BatchResults, HostName, PlaceBatch

RETENTION_MS = 60_000
CLEANUP_INTERVAL_MS = 1_000


@attrs.define
class _Batch:
    """One batch; it is complete when no task is open.

    ``open_indexes`` are the tasks that have no result and were not returned.
    ``completed_ms`` is when the report that completed the batch was taken.
    """

    open_indexes: set[int]
    results: dict[int, TaskResult] = attrs.field(factory=dict)
    returned: set[int] = attrs.field(factory=set)
    unsent_results: list[TaskResult] = attrs.field(factory=list)
    unsent_returned: list[int] = attrs.field(factory=list)
    must_report_now: bool = False
    completed_ms: int | None = None


@attrs.define
class _OwnerBatches:
    """The batches of one owner.

    Batches numbered up to and including ``dropped_through`` may have been dropped.
    """

    batches: dict[int, _Batch] = attrs.field(factory=dict)
    refused: set[int] = attrs.field(factory=set)
    dropped_through: int = 0


class BatchTable:
    """Batches by owner, kept until the owner no longer needs them.

    A batch that was never received can be refused permanently. One that was received
    and then dropped cannot, because its tasks may have run. The table therefore
    keeps, for each owner, the highest batch number that may have been dropped.
    """

    def __init__(self) -> None:
        self._owners: dict[HostName, _OwnerBatches] = {}
        self._next_cleanup_ms = 0

    def add_batch(self, owner: HostName, message: PlaceBatch) -> bool:
        """Add a batch and return whether it was added.

        It is not added if it was received or refused before, or if its number is not
        above the highest number that may have been dropped.
        """
        owned = self._owners.setdefault(owner, _OwnerBatches())
        self._drop_through(owned, message.closed_through)
        is_old = message.batch <= owned.dropped_through
        if is_old or message.batch in owned.refused or message.batch in owned.batches:
            return False
        indexes = {task.index for task in message.tasks}
        owned.batches[message.batch] = _Batch(indexes)
        return True

    def has_batch(self, owner: HostName, batch: int) -> bool:
        """Tell whether a batch was received and is still kept."""
        return self._find(owner, batch) is not None

    def has_open_tasks(self) -> bool:
        """Tell whether any task is open: without a result and not returned."""
        return bool(self.open_batches())

    def open_batches(self) -> list[tuple[HostName, int]]:
        """Return every batch with open tasks, as (owner, batch)."""
        return [
            (owner, batch)
            for owner in self._owners
            for batch in self.open_batches_of(owner)
        ]

    def open_batches_of(self, owner: HostName) -> list[int]:
        """Return the batches of one owner that have open tasks."""
        owned = self._owners.get(owner, _OwnerBatches())
        return [number for number, b in owned.batches.items() if b.open_indexes]

    def is_open(self, owner: HostName, batch: int, index: int) -> bool:
        """Tell whether one task is open: without a result and not returned."""
        entry = self._find(owner, batch)
        return entry is not None and index in entry.open_indexes

    def record_result(self, owner: HostName, batch: int, result: TaskResult) -> None:
        """Record the result of one task; results after the first are ignored."""
        entry = self._find(owner, batch)
        if entry is None or result.index not in entry.open_indexes:
            return
        entry.open_indexes.discard(result.index)
        entry.results[result.index] = result
        entry.unsent_results.append(result)
        if result.outcome is not Outcome.SUCCEEDED:
            entry.must_report_now = True

    def return_task(self, owner: HostName, batch: int, index: int) -> None:
        """Mark one task as returned to its owner unstarted."""
        entry = self._find(owner, batch)
        if entry is None or index not in entry.open_indexes:
            return
        entry.open_indexes.discard(index)
        entry.returned.add(index)
        entry.unsent_returned.append(index)
        entry.must_report_now = True

    def take_report(
        self, owner: HostName, batch: int, now_ms: int
    ) -> BatchResults | None:
        """Return the unsent results and returned tasks, if a report is due.

        Successes are reported once the batch is complete, which saves messages. Any
        other result and a returned task are reported at once, since the owner acts
        on them.
        """
        entry = self._find(owner, batch)
        if entry is None or not (entry.unsent_results or entry.unsent_returned):
            return None
        if entry.open_indexes and not entry.must_report_now:
            return None
        if not entry.open_indexes:
            entry.completed_ms = now_ms
        message = BatchResults(
            batch, tuple(entry.unsent_results), tuple(entry.unsent_returned)
        )
        entry.unsent_results = []
        entry.unsent_returned = []
        entry.must_report_now = False
        return message

    def status_or_refuse(self, owner: HostName, batch: int) -> BatchResults:
        """Return the status of a batch; permanently refuse a batch not received yet.

        A refused batch is not added if it arrives later. The status of a batch that
        was dropped is empty and not a refusal, since its tasks may have run.
        """
        owned = self._owners.setdefault(owner, _OwnerBatches())
        entry = owned.batches.get(batch)
        if entry is not None:
            results = tuple(entry.results.values())
            return BatchResults(batch, results, tuple(sorted(entry.returned)))
        if batch <= owned.dropped_through:
            return BatchResults(batch, ())
        owned.refused.add(batch)
        return BatchResults(batch, (), is_refused=True)

    def drop_expired(self, now_ms: int) -> None:
        """Drop batches whose last report was taken at least ``RETENTION_MS`` ago.

        Only the report that completed a batch counts.
        """
        if now_ms < self._next_cleanup_ms:
            return
        self._next_cleanup_ms = now_ms + CLEANUP_INTERVAL_MS
        for owned in self._owners.values():
            for number, entry in list(owned.batches.items()):
                if (
                    entry.completed_ms is None
                    or now_ms - entry.completed_ms < RETENTION_MS
                ):
                    continue
                del owned.batches[number]
                owned.dropped_through = max(owned.dropped_through, number)

    def _drop_through(self, owned: _OwnerBatches, number: int) -> None:
        """Drop complete batches up to and including ``number``.

        The owner will not query these again. A batch with open tasks is kept, and
        :meth:`drop_expired` drops it after the report that completes it.
        """
        if number <= owned.dropped_through:
            return
        # The dict keeps the order of arrival, which is taken to be ascending.
        for batch in list(takewhile(lambda n: n <= number, owned.batches)):
            if not owned.batches[batch].open_indexes:
                del owned.batches[batch]
        owned.refused = {n for n in owned.refused if n > number}
        owned.dropped_through = max(owned.dropped_through, number)

    def _find(self, owner: HostName, batch: int) -> _Batch | None:
        owned = self._owners.get(owner)
        if owned is None:
            return None
        return owned.batches.get(batch)
