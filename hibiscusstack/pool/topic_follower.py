"""Follows a keyed topic: reads a snapshot first, then each new record."""

__all__ = ["TopicFollower"]

from collections.abc import Callable, Sequence

from eliot import log_message
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.python.failure import Failure

from hibiscusstack.clock import Clock, SystemClock
from hibiscusstack.exceptions import ExpiredError
from hibiscusstack.pool.interfaces import KeyedLog, KeyedPage, KeyedRecord
from hibiscusstack.pool.refused_records import RefusedRecords

RecordsCallback = Callable[[Sequence[KeyedRecord], bool], None]

BASE_BACKOFF_MS = 100
MAX_BACKOFF_MS = 800


class TopicFollower:
    """Reads one topic continuously until it is stopped.

    ``on_records`` is called with records in order. Its second argument says whether
    they are a snapshot: the newest record of every key, which replaces all earlier
    records. ``on_end`` is called after each read with the end offset of the page.
    ``is_complete`` tells whether the topic has been read to its end at least once.

    ``wait_ms`` is how long a read waits for a record, ``pause_ms`` the pause between
    two reads; a page that had no room for all records is followed at once. All records
    that were in the topic at ``current_as_of_ms`` by ``clock`` have been delivered.
    Failed reads are retried with exponential backoff. If the wanted offset has expired,
    a snapshot is read again.

    ``on_records`` should skip records that it can't decode. If it raises nevertheless,
    the records of the page are delivered one at a time, and those for which it raises
    again are skipped and counted in ``refused``, so that no record hides another.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        log: KeyedLog,
        topic: str,
        on_records: RecordsCallback,
        *,
        wait_ms: int,
        pause_ms: int = 0,
        on_end: Callable[[int], None] | None = None,
        clock: Clock | None = None,
        refused: RefusedRecords | None = None,
    ) -> None:
        self.refused = refused or RefusedRecords()
        self.pause_ms = pause_ms
        self.is_log_available = self.is_complete = False
        self._reactor = reactor
        self._log = log
        self._topic = topic
        self._on_records = on_records
        self._wait_ms = wait_ms
        self._on_end = on_end
        self._offset: int | None = None
        self._failures = 0
        self._clock = clock or SystemClock()
        self.current_as_of_ms = self._read_started_ms = self._clock.now_ms()
        self._available_since_ms: float | None = None
        self._timer: IDelayedCall | None = None
        self._is_stopped = False

    @property
    def offset(self) -> int | None:
        """The offset up to which the topic was read; ``None`` before a snapshot."""
        return self._offset

    def age_ms(self) -> float:
        """Return the time since ``current_as_of_ms``, or the start if none was read."""
        return self._clock.now_ms() - self.current_as_of_ms

    def available_for_ms(self) -> float:
        """Return for how long all reads have succeeded, 0 if the last one failed."""
        if self._available_since_ms is None:
            return 0
        return self._clock.now_ms() - self._available_since_ms

    def start(self) -> None:
        """Start reading."""
        self._read()

    def read_now(self) -> None:
        """Begin the next read at once, unless a read is in flight."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
            self._read()

    def stop(self) -> None:
        """Stop reading, and ignore the result of a read in flight."""
        self._is_stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _read(self) -> None:
        if self._is_stopped:
            return
        self._read_started_ms = self._clock.now_ms()
        if self._offset is None:
            page: Deferred[KeyedPage] = self._log.read_newest(self._topic)
            page.addCallback(self._page_received, True)
        else:
            page = self._log.read_from(self._topic, self._offset, self._wait_ms)
            page.addCallback(self._page_received, False)
        page.addErrback(self._read_failed)

    def _page_received(self, page: KeyedPage, is_snapshot: bool) -> None:
        if self._is_stopped:
            return
        self._failures = 0
        self.is_log_available = True
        if self._available_since_ms is None:
            self._available_since_ms = self._clock.now_ms()
        if not page.has_more:
            self.current_as_of_ms = self._read_started_ms
            self.is_complete = True
        if page.records or is_snapshot:
            self._deliver(page.records, is_snapshot)
        self._offset = page.end
        if self._on_end is not None:
            self._on_end(page.end)
        self._read_after(0 if page.has_more else self.pause_ms)

    def _deliver(self, records: Sequence[KeyedRecord], is_snapshot: bool) -> None:
        try:
            self._on_records(records, is_snapshot)
        except Exception as error:  # noqa: BLE001
            cause = repr(error)
            log_message(
                "pool:page_failed", level="error", topic=self._topic, cause=cause
            )
        else:
            return
        if is_snapshot:
            # The records that follow complete it.
            self._on_records((), True)
        for record in records:
            try:
                self._on_records((record,), False)
            except Exception as error:  # noqa: BLE001
                self.refused.note(self._topic, record, error, "error")

    def _read_failed(self, failure: Failure) -> None:
        if failure.check(ExpiredError):
            self._offset = None
            self._read_after(0)
            return
        if not self._failures:
            log_message(
                "pool:log_unavailable",
                topic=self._topic,
                cause=failure.getErrorMessage(),
            )
        self._failures += 1
        self.is_log_available = False
        self._available_since_ms = None
        self._read_after(min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2**self._failures))

    def _read_after(self, pause_ms: float) -> None:
        if not self._is_stopped:
            self._timer = self._reactor.callLater(pause_ms / 1000, self._read)
