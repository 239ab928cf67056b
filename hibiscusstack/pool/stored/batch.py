"""Queue of records to append, and the batch that is in flight."""

__all__ = ["Batch", "BatchQueue", "OnSaved", "PendingRecord"]

from collections.abc import Callable

import attrs

OnSaved = Callable[[], None]

MAX_BATCH_BYTES = 1_000_000
MAX_BATCH_RECORDS = 1_000


@attrs.define(eq=False)
class PendingRecord:
    """A record to append; ``encode`` returns its value when its batch is built."""

    encode: Callable[[], bytes]
    on_saved: list[OnSaved] = attrs.field(factory=list)


@attrs.define(eq=False)
class Batch:
    """The records of one append.

    ``pending_by_key`` holds the records as they were queued, and ``encoded_records``
    the keys and values that are sent for them. ``is_outcome_unknown`` says that the
    batch may already have been appended.
    """

    sequence_number: int
    pending_by_key: dict[str, PendingRecord]
    encoded_records: tuple[tuple[str, bytes], ...]
    is_outcome_unknown: bool = False


class BatchQueue:
    """Records by key, in the order of their appends, with one batch in flight.

    A record that is put replaces the value of a waiting one of the same key, which
    keeps its position and its callbacks. A batch that may have been appended is sent
    again unchanged, under the same sequence number, until the log reports its outcome.
    The records of a batch that was certainly not appended are queued again.

    >>> queue = BatchQueue()
    >>> queue.put("a", lambda: b"1", lambda: print("saved"))
    >>> batch = queue.next_batch()
    >>> batch.sequence_number, batch.encoded_records
    (1, (('a', b'1'),))
    >>> queue.mark_appended()
    saved
    """

    def __init__(self) -> None:
        self._waiting: dict[str, PendingRecord] = {}
        self._in_flight: Batch | None = None
        self._next_sequence_number = 1

    def __len__(self) -> int:
        return len(self._waiting) + (
            len(self._in_flight.pending_by_key) if self._in_flight else 0
        )

    @property
    def is_outcome_unknown(self) -> bool:
        """Tell whether there is a batch that may have been appended."""
        return self._in_flight is not None and self._in_flight.is_outcome_unknown

    def put(
        self, key: str, encode: Callable[[], bytes], on_saved: OnSaved | None = None
    ) -> None:
        """Queue a record; ``on_saved`` is called once it is appended.

        For a waiting key, the newer value replaces the older one and all callbacks are
        kept.
        """
        record = self._waiting.get(key)
        if record is None:
            record = self._waiting[key] = PendingRecord(encode)
        record.encode = encode
        if on_saved is not None:
            record.on_saved.append(on_saved)

    def withdraw(self, key: str) -> bool:
        """Remove a waiting record; return whether it is certain not to be appended.

        A record in the batch in flight cannot be withdrawn.
        """
        if self._in_flight is not None and key in self._in_flight.pending_by_key:
            return False
        self._waiting.pop(key, None)
        return True

    def next_batch(self) -> Batch | None:
        """Return the batch in flight, or else a new one, or None if nothing waits."""
        if self._in_flight is None and self._waiting:
            self._in_flight = self._build_batch()
        return self._in_flight

    def mark_appended(self) -> None:
        """Complete the batch in flight as appended."""
        batch, self._in_flight = self._in_flight, None
        self._next_sequence_number = batch.sequence_number + 1
        for record in batch.pending_by_key.values():
            for on_saved in record.on_saved:
                on_saved()

    def mark_outcome_unknown(self) -> None:
        """Note that the batch in flight may have been appended."""
        self._in_flight.is_outcome_unknown = True

    def mark_not_appended(self) -> None:
        """Note that the last attempt appended nothing.

        The records are queued again unless an earlier attempt may have succeeded.
        """
        if not self._in_flight.is_outcome_unknown:
            self._requeue_batch()

    def handle_out_of_sequence(self, expected_number: int) -> None:
        """Handle a rejection: the log expects ``expected_number`` next.

        If the outcome of the batch in flight was unknown and the expected number is
        higher than the batch's, an earlier attempt was appended, and the batch is
        completed. In all other cases the records of the batch in flight are queued
        again.
        """
        if (
            self._in_flight.is_outcome_unknown
            and expected_number > self._in_flight.sequence_number
        ):
            self.mark_appended()
        else:
            self._requeue_batch()
        self._next_sequence_number = expected_number

    def _build_batch(self) -> Batch:
        pending_by_key: dict[str, PendingRecord] = {}
        encoded_records: list[tuple[str, bytes]] = []
        size = 0
        for key, record in self._waiting.items():
            value = record.encode()
            size += len(key) + len(value)
            if encoded_records and size > MAX_BATCH_BYTES:
                break
            pending_by_key[key] = record
            encoded_records.append((key, value))
            if len(encoded_records) == MAX_BATCH_RECORDS:
                break
        for key in pending_by_key:
            del self._waiting[key]
        return Batch(self._next_sequence_number, pending_by_key, tuple(encoded_records))

    def _requeue_batch(self) -> None:
        """Put the records of the batch in flight back at the head of the queue.

        For a key that was queued again meanwhile, the position of the older record, the
        newer value and the callbacks of both are kept.
        """
        batch, self._in_flight = self._in_flight, None
        # The batch's records become the queue; newer ones are merged into it.
        newer, self._waiting = self._waiting, batch.pending_by_key
        for key, record in newer.items():
            requeued = self._waiting.get(key)
            if requeued is None:
                self._waiting[key] = record
            else:
                requeued.encode = record.encode
                requeued.on_saved += record.on_saved
