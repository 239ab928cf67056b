"""Counts and logs the records of topics that can't be decoded."""

__all__ = ["RefusedRecords"]

from collections import Counter

from eliot import log_message

from hibiscusstack.pool.interfaces import KeyedRecord

MAX_REMEMBERED = 1_000


class RefusedRecords:
    """Skipped records, counted by topic; each is logged once, however often it is read.

    ``counts`` may be shared with the counters of the host.

    >>> refused = RefusedRecords()
    >>> for _ in range(2):
    ...     refused.note("targets", KeyedRecord(4, "w", b"?"), ValueError("no JSON"))
    >>> refused.counts
    Counter({'targets': 2})
    """

    def __init__(self, counts: Counter[str] | None = None) -> None:
        self.counts = Counter() if counts is None else counts
        self._logged: dict[tuple[str, str, int], None] = {}

    def note(
        self, topic: str, record: KeyedRecord, error: Exception, level: str = "warning"
    ) -> None:
        """Count a record that was skipped for ``error``, and log it if it is new."""
        self.counts[topic] += 1
        entry = (topic, record.key, record.offset)
        if entry in self._logged:
            return
        self._logged[entry] = None
        if len(self._logged) > MAX_REMEMBERED:
            del self._logged[next(iter(self._logged))]
        log_message(
            "pool:record_refused",
            level=level,
            topic=topic,
            key=record.key,
            offset=record.offset,
            cause=str(error),
        )
