"""Appending records exactly once, in numbered batches, also when answers are lost."""

__all__ = ["BatchWriter"]

from collections.abc import Callable

from eliot import log_message
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.python.failure import Failure

from hibiscusstack.exceptions import NotDoneError
from hibiscusstack.pool.interfaces import (
    Appended,
    Fenced,
    OutOfSequence,
    Producer,
    SequencedLog,
)
from hibiscusstack.pool.stored.batch import BatchQueue, OnSaved

BASE_BACKOFF_MS = 50
MAX_BACKOFF_MS = 800


class BatchWriter:
    """Appends to one topic as one producer, with one batch in flight.

    A record that is put while nothing is in flight waits ``linger_ms`` for further
    records. ``on_fenced`` is called when a higher epoch of the producer has begun;
    nothing is appended from then on.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        log: SequencedLog,
        topic: str,
        producer: Producer,
        *,
        linger_ms: int,
        on_fenced: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._log = log
        self._topic = topic
        self._producer = producer
        self._linger_ms = linger_ms
        self._on_fenced = on_fenced
        self._queue = BatchQueue()
        self._timer: IDelayedCall | None = None
        self._is_sending = False
        self._is_stopped = False
        self._failure_count = 0

    def __len__(self) -> int:
        return len(self._queue)

    def put(
        self, key: str, encode: Callable[[], bytes], on_saved: OnSaved | None = None
    ) -> None:
        """Queue a record to be appended; an empty value deletes the key."""
        self._queue.put(key, encode, on_saved)
        if self._timer is None and not self._is_sending:
            self._schedule_send(self._linger_ms)

    def withdraw(self, key: str) -> bool:
        """Remove a waiting record; return whether it is certain not to be appended."""
        return self._queue.withdraw(key)

    def stop(self) -> None:
        """Stop sending; records that still wait are not appended."""
        self._is_stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _schedule_send(self, delay_ms: float) -> None:
        if not self._is_stopped:
            self._timer = self._reactor.callLater(delay_ms / 1000, self._send)

    def _send(self) -> None:
        self._timer = None
        batch = self._queue.next_batch()
        if batch is None or self._is_stopped:
            return
        self._is_sending = True
        appended = self._log.append_numbered(
            self._topic, batch.encoded_records, self._producer, batch.sequence_number
        )
        appended.addCallbacks(self._handle_append_result, self._handle_append_failure)

    def _handle_append_result(self, result: Appended | Fenced | OutOfSequence) -> None:
        self._is_sending = False
        if self._is_stopped:
            return
        self._failure_count = 0
        if isinstance(result, Fenced):
            self.stop()
            log_message("pool:writer_fenced", topic=self._topic)
            self._on_fenced()
            return
        if isinstance(result, OutOfSequence):
            self._queue.handle_out_of_sequence(result.expected)
        else:
            self._queue.mark_appended()
        if len(self._queue) and self._timer is None:
            self._schedule_send(self._linger_ms)

    def _handle_append_failure(self, failure: Failure) -> None:
        self._is_sending = False
        if self._is_stopped:
            return
        if not self._failure_count:
            log_message(
                "pool:append_failed",
                topic=self._topic,
                cause=failure.getErrorMessage(),
            )
        self._failure_count += 1
        if failure.check(NotDoneError):
            self._queue.mark_not_appended()
        else:
            self._queue.mark_outcome_unknown()
        backoff_ms = min(
            MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** min(self._failure_count, 5)
        )
        self._schedule_send(backoff_ms)
