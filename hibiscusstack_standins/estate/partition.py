"""One partition of a topic: its records, their expiry and the newest of each key."""

__all__ = ["Partition"]

from bisect import bisect_right
from collections import deque

import attrs

from hibiscusstack_standins.estate.producers import Producers
from hibiscusstack_standins.estate.records import split_keyed


@attrs.frozen
class _Record:
    data: bytes
    at_ms: int


class Partition:
    """Records by offset; those before ``first`` are deleted.

    >>> partition = Partition()
    >>> partition.append(0, [b"a", b"b"])
    0
    >>> partition.trim(1)
    >>> (partition.first, partition.end, partition.read(1, 1024))
    (1, 2, [b'b'])
    """

    def __init__(self, is_keyed: bool = False) -> None:
        self.first = 0
        self.stored_bytes = 0
        self.producers = Producers()
        self.busy_until_ms = 0.0
        self._records: deque[_Record] = deque()
        self._newest: dict[str, tuple[bytes, int]] | None = {} if is_keyed else None

    @property
    def end(self) -> int:
        """Return the offset that the next record gets."""
        return self.first + len(self._records)

    def append(self, now_ms: int, records: list[bytes]) -> int:
        """Append the records and return the offset of the first."""
        offset = self.end
        for record in records:
            if self._newest is not None:
                self._note_newest(record)
            self._records.append(_Record(record, now_ms))
            self.stored_bytes += len(record)
        return offset

    def read(self, start: int, most_bytes: int) -> list[bytes]:
        """Return records from ``start``: at least one if there is any."""
        found: list[bytes] = []
        size = 0
        for index in range(start - self.first, len(self._records)):
            data = self._records[index].data
            size += len(data)
            if found and size > most_bytes:
                break
            found.append(data)
        return found

    def trim(self, before: int) -> None:
        """Delete the records before an offset."""
        while self._records and self.first < before:
            self._delete_oldest()

    def expire(self, now_ms: int, keep_ms: int, most_bytes: int) -> None:
        """Delete what is too old or too much."""
        while self._records and (
            self._records[0].at_ms + keep_ms <= now_ms or self.stored_bytes > most_bytes
        ):
            self._delete_oldest()

    def newest(
        self, after: str | None, most: int, most_bytes: int
    ) -> tuple[list, bool]:
        """Return (key, value, offset) of the next keys, and whether more follow."""
        newest = self._newest or {}
        keys = sorted(newest)
        keys = keys if after is None else keys[bisect_right(keys, after) :]
        items: list[tuple[str, bytes, int]] = []
        size = 0
        for key in keys[:most]:
            value, offset = newest[key]
            size += len(key) + len(value)
            if items and size > most_bytes:
                break
            items.append((key, value, offset))
        return items, len(items) < len(keys)

    def _note_newest(self, record: bytes) -> None:
        keyed = split_keyed(record)
        self._newest.pop(keyed.key, None)
        if keyed.value:
            self._newest[keyed.key] = (keyed.value, self.end)

    def _delete_oldest(self) -> None:
        self.stored_bytes -= len(self._records.popleft().data)
        self.first += 1
