"""The records that wait for their append, and the batch that is on its way."""

__all__ = ["Batch", "BatchQueue", "OnSaved", "PendingRecord"]

from collections.abc import Callable

import attrs

OnSaved = Callable[[], None]

MAX_BATCH_BYTES = 1_000_000
MAX_BATCH_RECORDS = 1_000


@attrs.define(eq=False)
class PendingRecord:
    """A record to append; ``encode`` gives its value when it is sent."""

    encode: Callable[[], bytes]
    on_saved: list[OnSaved] = attrs.field(factory=list)


@attrs.define(eq=False)
class Batch:
    """Records of one append; ``is_open`` says that it may have been done already."""

    number: int
    pending: dict[str, PendingRecord]
    records: tuple[tuple[str, bytes], ...]
    is_outcome_unknown: bool = False


class BatchQueue:
    """Records by key, in the order of their appends, one batch at a time.

    What is put while a record of that key waits replaces it. A batch that may have
    been done is repeated as it is, under its number, until the log tells; a batch
    that was surely not done is taken apart again.

    >>> queue = BatchQueue()
    >>> queue.put("a", lambda: b"1", lambda: print("saved"))
    >>> batch = queue.next_batch()
    >>> batch.number, batch.records
    (1, (('a', b'1'),))
    >>> queue.mark_appended()
    saved
    """

    def __init__(self) -> None:
        self._waiting: dict[str, PendingRecord] = {}
        self._in_flight: Batch | None = None
        self._next_number = 1

    def __len__(self) -> int:
        return len(self._waiting) + (
            len(self._in_flight.pending) if self._in_flight else 0
        )

    @property
    def is_outcome_unknown(self) -> bool:
        """Tell whether a batch may have been done or not."""
        return self._in_flight is not None and self._in_flight.is_outcome_unknown

    def put(
        self, key: str, encode: Callable[[], bytes], on_saved: OnSaved | None = None
    ) -> None:
        """Let a record be appended; ``on_saved`` is called once that is done."""
        record = self._waiting.get(key)
        if record is None:
            record = self._waiting[key] = PendingRecord(encode)
        record.encode = encode
        if on_saved is not None:
            record.on_saved.append(on_saved)

    def withdraw(self, key: str) -> bool:
        """Drop a record that waits; return whether it is sure not to be appended."""
        if self._in_flight is not None and key in self._in_flight.pending:
            return False
        self._waiting.pop(key, None)
        return True

    def next_batch(self) -> Batch | None:
        """Return what to send: the batch that is open, or a new one."""
        if self._in_flight is None and self._waiting:
            self._in_flight = self._build_batch()
        return self._in_flight

    def mark_appended(self) -> None:
        """Take the batch as appended."""
        batch, self._in_flight = self._in_flight, None
        self._next_number = batch.number + 1
        for record in batch.pending.values():
            for on_saved in record.on_saved:
                on_saved()

    def mark_outcome_unknown(self) -> None:
        """Take it as open whether the batch was appended."""
        self._in_flight.is_outcome_unknown = True

    def mark_not_appended(self) -> None:
        """Note that the last attempt did nothing."""
        if not self._in_flight.is_outcome_unknown:
            self._requeue_batch()

    def handle_out_of_sequence(self, expected: int) -> None:
        """Act on the number that the log expects next."""
        if self._in_flight.is_outcome_unknown and expected > self._in_flight.number:
            self.mark_appended()
        else:
            self._requeue_batch()
        self._next_number = expected

    def _build_batch(self) -> Batch:
        pending: dict[str, PendingRecord] = {}
        records: list[tuple[str, bytes]] = []
        size = 0
        for key, record in self._waiting.items():
            value = record.encode()
            size += len(key) + len(value)
            if records and size > MAX_BATCH_BYTES:
                break
            pending[key] = record
            records.append((key, value))
            if len(records) == MAX_BATCH_RECORDS:
                break
        for key in pending:
            del self._waiting[key]
        return Batch(self._next_number, pending, tuple(records))

    def _requeue_batch(self) -> None:
        """Put the records back before those that wait."""
        batch, self._in_flight = self._in_flight, None
        newer, self._waiting = self._waiting, batch.pending
        for key, record in newer.items():
            known = self._waiting.get(key)
            if known is None:
                self._waiting[key] = record
            else:
                known.encode = record.encode
                known.on_saved += record.on_saved
