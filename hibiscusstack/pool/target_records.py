"""Log records of the targets that coordinators use."""

__all__ = [
    "RecordedTargets",
    "TargetRecord",
    "TargetRecords",
    "decode_target_record",
    "encode_target_record",
    "is_recordable",
    "target_record_key",
]

import json
import math
from collections.abc import Collection, Iterable
from typing import Protocol

import attrs
from eliot import log_message

from hibiscusstack.exceptions import DecodeError
from hibiscusstack.pool.interfaces import KeyedRecord
from hibiscusstack.pool.jobs import Resources
from hibiscusstack.pool.json_values import load_json
from hibiscusstack.pool.targets import ListedTarget

_KEY_PREFIX = "target/"
_MAX_KEY_BYTES = 255
_FIELD_TYPES = (bool, str, str, int, int, int, int, str)


class RecordedTargets(Protocol):
    """What a coordinator has to know of the records of targets."""

    def names(self) -> Collection[str]:
        """Return the names of all recorded targets, also of retired ones."""

    def is_usable(self, name: str) -> bool:
        """Return whether runs may be started at the target of that name."""


@attrs.frozen
class TargetRecord:
    """The record of a target, which coordinators may use unless it ``is_retired``.

    ``target`` is the target as it was listed when it was recorded, without labels. It
    is ``None`` if the record can't be decoded. ``offset`` is that of the record.
    """

    target: ListedTarget | None
    is_retired: bool
    offset: int


def target_record_key(name: str) -> str:
    """Return the key of the record of a target.

    >>> target_record_key("t1")
    'target/t1'
    """
    return f"{_KEY_PREFIX}{name}"


def is_recordable(name: str) -> bool:
    """Return whether the name of a target fits into the key of a record.

    >>> [is_recordable(name) for name in ("t1", 255 * "t", chr(0xD800))]
    [True, False, False]
    """
    try:
        return len(target_record_key(name).encode()) <= _MAX_KEY_BYTES
    except UnicodeEncodeError:
        return False


def encode_target_record(target: ListedTarget, is_retired: bool = False) -> bytes:
    """Return the value of the record of a target."""
    capacity = target.capacity
    fields = [
        is_retired,
        target.pool,
        target.address,
        target.instance_started_ms,
        capacity.cpu_milli,
        capacity.memory_mb,
        capacity.accelerators,
        target.data_centre,
    ]
    return json.dumps(fields).encode()


def decode_target_record(record: KeyedRecord) -> TargetRecord:
    """Return the record of a target.

    Raises :class:`~hibiscusstack.exceptions.DecodeError` if the value is malformed.
    """
    values = load_json(record.key, record.value)
    if not isinstance(values, list) or tuple(map(type, values)) != _FIELD_TYPES:
        raise DecodeError(record.key, "a JSON array of target fields", values)
    is_retired, pool, address, instance_started_ms, *capacity, data_centre = values
    target = ListedTarget(
        name=record.key.removeprefix(_KEY_PREFIX),
        pool=pool,
        address=address,
        instance_started_ms=instance_started_ms,
        capacity=Resources(*capacity),
        data_centre=data_centre,
    )
    return TargetRecord(target, is_retired, record.offset)


class TargetRecords:
    """The records of targets, as read from the log and as appended by this host.

    Every target at which a run may be active has a record. A record is written before
    the target is used. It is deleted only after it was retired, and after all hosts
    have read that it is.
    """

    def __init__(self) -> None:
        self._by_name: dict[str, TargetRecord] = {}
        # Offset of the newest record of each target, also of one that deletes it.
        self._offsets: dict[str, int] = {}
        # The same, of the records that this host has appended and not read yet.
        self._appended: dict[str, int] = {}
        # Offset at which each target may have a record of unknown outcome.
        self._pending_at: dict[str, int] = {}

    def is_usable(self, name: str) -> bool:
        """Return whether runs may be started at the target of that name."""
        record = self._by_name.get(name)
        return (
            record is not None
            and not record.is_retired
            and record.offset >= self._pending_at.get(name, 0)
        )

    def targets(self) -> list[ListedTarget]:
        """Return the recorded targets, except those whose record can't be decoded."""
        records = self._by_name.values()
        return [record.target for record in records if record.target is not None]

    def names(self) -> Collection[str]:
        """Return the names of all recorded targets, also of retired ones.

        Targets whose record may have been appended count as recorded.
        """
        return self._by_name.keys() | self._pending_at.keys()

    def retired(self) -> dict[str, int]:
        """Return the names of the retired targets, with the offsets of the records."""
        records = self._by_name.items()
        return {name: rec.offset for name, rec in records if rec.is_retired}

    def begin_append(self, names: Iterable[str], at: int) -> None:
        """Stop the use of targets whose records are about to be appended at ``at``.

        Even if the outcome of that append stays unknown, a target can be used again
        only after a record at that offset or a later one: such a record proves that the
        append took effect before it, or can't any more.
        """
        self._pending_at |= dict.fromkeys(names, at)

    def apply_records(self, records: Iterable[KeyedRecord], is_snapshot: bool) -> None:
        """Apply the records of targets among ``records``, and skip all others.

        A snapshot replaces all earlier records, except those that this host has
        appended and not read yet. A record that is older than the known one of its
        target is skipped.
        """
        if is_snapshot:
            self._by_name = {
                name: known
                for name, known in self._by_name.items()
                if name in self._appended
            }
        for record in records:
            if record.key.startswith(_KEY_PREFIX):
                self._apply(record)

    def apply_appended(self, records: Iterable[KeyedRecord]) -> None:
        """Apply records that this host has appended, when the append is confirmed.

        That may be before an earlier read is answered.
        """
        for record in records:
            self._apply(record)
            self._appended[record.key.removeprefix(_KEY_PREFIX)] = record.offset

    def forget_offsets_before(self, end: int) -> None:
        """Forget the offsets of records that come before all later reads.

        An append before ``end`` that was not read has not taken effect and never will.
        """
        self._offsets = {n: o for n, o in self._offsets.items() if o >= end}
        self._appended = {n: o for n, o in self._appended.items() if o >= end}
        self._pending_at = {
            name: at
            for name, at in self._pending_at.items()
            if at >= end or name in self._by_name
        }

    def _apply(self, record: KeyedRecord) -> None:
        name = record.key.removeprefix(_KEY_PREFIX)
        if record.offset < self._offsets.get(name, 0):
            return
        self._offsets[name] = record.offset
        if record.offset >= self._pending_at.get(name, math.inf):
            del self._pending_at[name]
        if record.value is None:
            self._by_name.pop(name, None)
            return
        try:
            self._by_name[name] = decode_target_record(record)
        except DecodeError as error:
            self._by_name[name] = TargetRecord(None, True, record.offset)
            log_message("pool:record_refused", level="warning", cause=str(error))
