"""What a home host knows of the batches that owners placed there."""

__all__ = ["BatchTable"]

from itertools import takewhile

import attrs

from hibiscusstack.dispatch.answers import Outcome, TaskResult
from hibiscusstack.dispatch.messages import BatchResults, HostName, PlaceBatch

RETENTION_MS = 60_000
CLEANUP_INTERVAL_MS = 1_000


@attrs.define
class _Batch:
    open_indexes: set[int]
    results: dict[int, TaskResult] = attrs.field(factory=dict)
    returned: set[int] = attrs.field(factory=set)
    unsent_results: list[TaskResult] = attrs.field(factory=list)
    unsent_returned: list[int] = attrs.field(factory=list)
    must_report_now: bool = False
    closed_ms: int | None = None


@attrs.define
class _OwnerBatches:
    batches: dict[int, _Batch] = attrs.field(factory=dict)
    refused: set[int] = attrs.field(factory=set)
    dropped_through: int = 0


class BatchTable:
    """Batches by owner, kept until the owner needs no more of them.

    A batch that was never received can be refused for good. One that was received
    and then forgotten cannot, so the table remembers up to which number it forgot.
    """

    def __init__(self) -> None:
        self._owners: dict[HostName, _OwnerBatches] = {}
        self._next_cleanup_ms = 0

    def add_batch(self, owner: HostName, message: PlaceBatch) -> bool:
        """Enter a batch; return whether it is new and was not refused before."""
        known = self._owners.setdefault(owner, _OwnerBatches())
        self._close_through(known, message.closed_through)
        is_old = message.batch <= known.dropped_through
        if is_old or message.batch in known.refused or message.batch in known.batches:
            return False
        indexes = {task.index for task in message.tasks}
        known.batches[message.batch] = _Batch(indexes)
        return True

    def has_batch(self, owner: HostName, batch: int) -> bool:
        """Tell whether a batch was received and is still remembered."""
        return self._find(owner, batch) is not None

    def has_open_tasks(self) -> bool:
        """Tell whether any task of any batch is neither settled nor given back."""
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
        known = self._owners.get(owner, _OwnerBatches())
        return [number for number, b in known.batches.items() if b.open_indexes]

    def is_open(self, owner: HostName, batch: int, index: int) -> bool:
        """Tell whether one task is neither settled nor given back."""
        entry = self._find(owner, batch)
        return entry is not None and index in entry.open_indexes

    def record_result(self, owner: HostName, batch: int, result: TaskResult) -> None:
        """Enter the result of one task; the first one counts."""
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
        """Return what the owner has to hear now, if anything.

        Successes wait until the batch is complete, which saves messages; anything
        else is told at once, since the owner acts on it.
        """
        entry = self._find(owner, batch)
        if entry is None or not (entry.unsent_results or entry.unsent_returned):
            return None
        if entry.open_indexes and not entry.must_report_now:
            return None
        if not entry.open_indexes:
            entry.closed_ms = now_ms
        message = BatchResults(
            batch, tuple(entry.unsent_results), tuple(entry.unsent_returned)
        )
        entry.unsent_results = []
        entry.unsent_returned = []
        entry.must_report_now = False
        return message

    def status_of(self, owner: HostName, batch: int) -> BatchResults:
        """Return all that is known of a batch; refuse it for good if unknown.

        A batch that was forgotten is described as empty: its owner can learn no
        more of it here.
        """
        known = self._owners.setdefault(owner, _OwnerBatches())
        entry = known.batches.get(batch)
        if entry is not None:
            results = tuple(entry.results.values())
            return BatchResults(batch, results, tuple(sorted(entry.returned)))
        if batch <= known.dropped_through:
            return BatchResults(batch, ())
        known.refused.add(batch)
        return BatchResults(batch, (), is_refused=True)

    def drop_expired(self, now_ms: int) -> None:
        """Drop batches that closed long ago."""
        if now_ms < self._next_cleanup_ms:
            return
        self._next_cleanup_ms = now_ms + CLEANUP_INTERVAL_MS
        for known in self._owners.values():
            for number, entry in list(known.batches.items()):
                if entry.closed_ms is None or now_ms - entry.closed_ms < RETENTION_MS:
                    continue
                del known.batches[number]
                known.dropped_through = max(known.dropped_through, number)

    def _close_through(self, known: _OwnerBatches, number: int) -> None:
        if number <= known.dropped_through:
            return
        for closed in list(takewhile(lambda n: n <= number, known.batches)):
            if not known.batches[closed].open_indexes:
                del known.batches[closed]
        known.refused = {n for n in known.refused if n > number}
        known.dropped_through = max(known.dropped_through, number)

    def _find(self, owner: HostName, batch: int) -> _Batch | None:
        known = self._owners.get(owner)
        if known is None:
            return None
        return known.batches.get(batch)
