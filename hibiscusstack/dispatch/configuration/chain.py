"""The chain of accepted configuration versions, the same on every host."""

__all__ = [
    "Accepted",
    "AppliedRecord",
    "ConfigurationChain",
    "IgnoreCause",
    "Ignored",
    "Version",
]

from collections import deque
from enum import Enum

import attrs

from hibiscusstack.dispatch.configuration.records import (
    Change,
    Checkpoint,
    ConfigurationRecord,
    Replacement,
    format_record,
    parse_record,
)
from hibiscusstack.dispatch.messages import RecordsPage

MAX_HISTORY_RECORDS = 64
MAX_HISTORY_CHARACTERS = 524_288


@attrs.frozen
class Version:
    """An accepted configuration, identified by the offset of its record.

    ``nonce`` identifies the publication. It and ``publisher`` are empty if the version
    was taken from a checkpoint. Offset 0 is the empty configuration before the first
    record.
    """

    offset: int
    body: str
    publisher: str = ""
    nonce: str = ""


@attrs.frozen
class Accepted:
    """The record put ``version`` in force in place of the version ``previous``.

    With ``is_from_checkpoint`` the versions in between are not known here.
    """

    version: Version
    previous: int
    is_from_checkpoint: bool = False


class IgnoreCause(Enum):
    """Why a record did not change the version in force.

    ``ALREADY_READ`` also stands for a record of a peer that was never read here but
    is not newer than what was applied.
    """

    MALFORMED = "malformed"
    PARENT_NOT_IN_FORCE = "parent-not-in-force"
    ALREADY_READ = "already-read"
    CHECKPOINT = "checkpoint"
    MISSED_RECORDS = "missed-records"
    CONTRADICTION = "contradiction"


@attrs.frozen
class Ignored:
    """The record at ``offset`` did not change the version in force.

    A checkpoint of that version can still advance the applied offset.
    """

    offset: int
    cause: IgnoreCause


AppliedRecord = Accepted | Ignored


@attrs.define
class ConfigurationChain:
    """The version in force, computed from the records in the order of the log.

    ``applied_offset`` is the offset up to which the version in force reflects the
    log: a reader of all records up to there has the same version in force. Records
    after it are applied without a gap. A host that missed records resumes from a
    checkpoint in the log, which must cover all records that the log no longer keeps. A
    host never goes back to an older version than the one it has.

    ``_scanned_offset`` is the offset of the last record that was read after a gap and
    did not close it. It is 0 while there is no gap.

    >>> chain = ConfigurationChain()
    >>> first = format_record(Change(0, "op", "n1", "[a]"))
    >>> chain.apply(1, first).version.offset
    1
    >>> chain.apply(2, first)
    Ignored(offset=2, cause=<IgnoreCause.PARENT_NOT_IN_FORCE: 'parent-not-in-force'>)
    """

    version: Version = Version(0, "")
    applied_offset: int = 0
    _scanned_offset: int = attrs.field(default=0, init=False)
    _history: deque[tuple[int, str, Version]] = attrs.field(
        factory=deque, init=False, repr=False
    )

    def next_offset(self) -> int:
        """Return the offset at which the next read of the log starts."""
        return max(self.applied_offset, self._scanned_offset) + 1

    def apply(self, offset: int, text: str, first_offset: int = 1) -> AppliedRecord:
        """Apply the record at ``offset`` of the log and return its effect.

        ``first_offset`` is the oldest offset that the log still had when this record
        was read. Earlier records that were not read here can no longer be read, and no
        change is applied until a checkpoint or a replacement closes that gap. A record
        that is passed in out of order, while the log still has the ones before it, is
        ignored, and the next read starts at those.
        """
        if offset <= self.applied_offset:
            return Ignored(offset, IgnoreCause.ALREADY_READ)
        parsed = parse_record(text)
        if first_offset <= self.applied_offset + 1 < offset:
            return Ignored(offset, IgnoreCause.MISSED_RECORDS)
        if offset > self.applied_offset + 1:
            return self._apply_after_gap(
                offset, text, parsed.default_value(None), first_offset
            )
        self._advance_to(offset)
        if parsed.is_error():
            return Ignored(offset, IgnoreCause.MALFORMED)
        return self._apply_next(offset, text, parsed.ok)

    def apply_accepted(self, offset: int, text: str) -> AppliedRecord:
        """Apply a record that a peer has accepted and return its effect.

        A peer sends accepted changes, each with its offset, or a checkpoint of its own
        state. A change is applied only if its parent is in force here. Each version
        has at most one successor, so this is the change that every reader accepts.
        """
        record = parse_record(text).default_value(None)
        if record is None:
            return Ignored(offset, IgnoreCause.MALFORMED)
        if isinstance(record, Checkpoint):
            return self._adopt_checkpoint(offset, record)
        if offset <= self.version.offset:
            return Ignored(offset, IgnoreCause.ALREADY_READ)
        if offset <= self.applied_offset:
            return Ignored(offset, IgnoreCause.CONTRADICTION)
        is_linked = isinstance(record, Replacement) or self._is_successor(record)
        if not is_linked:
            return Ignored(offset, IgnoreCause.MISSED_RECORDS)
        self._advance_to(offset)
        return self._accept(offset, text, record)

    def checkpoint_text(self) -> str:
        """Return the text of a checkpoint record with the state of this chain."""
        version = self.version
        return format_record(
            Checkpoint(version.offset, self.applied_offset, version.body)
        )

    def page_after(self, offset: int) -> RecordsPage:
        """Return the records that bring a peer from the version ``offset`` up to date.

        These are the accepted records that follow it, if the history still has all of
        them, and a checkpoint otherwise. The page is empty if the peer is up to date.
        """
        if offset >= self.version.offset:
            return RecordsPage(())
        later = [entry for entry in self._history if entry[0] > offset]
        # None stands for a replacement, which may follow any version.
        if later and parse_parent(later[0][1]) in (offset, None):
            return RecordsPage(tuple((entry[0], entry[1]) for entry in later))
        return RecordsPage(((self.applied_offset, self.checkpoint_text()),))

    def history(self) -> list[Version]:
        """Return the latest accepted versions in the history, oldest first."""
        return [version for _, _, version in self._history]

    def _apply_after_gap(
        self,
        offset: int,
        text: str,
        record: ConfigurationRecord | None,
        first_offset: int,
    ) -> AppliedRecord:
        """Apply the record if it closes the gap before ``offset``."""
        self._scanned_offset = max(self._scanned_offset, offset)
        if isinstance(record, Replacement):
            self._advance_to(offset)
            return self._accept(offset, text, record)
        is_usable = (
            isinstance(record, Checkpoint) and first_offset - 1 <= record.after < offset
        )
        if not is_usable:
            return Ignored(offset, IgnoreCause.MISSED_RECORDS)
        return self._adopt_checkpoint(offset, record)

    def _apply_next(
        self, offset: int, text: str, record: ConfigurationRecord
    ) -> AppliedRecord:
        if isinstance(record, Checkpoint):
            return Ignored(offset, self._check_checkpoint(record))
        if isinstance(record, Replacement) or self._is_successor(record):
            return self._accept(offset, text, record)
        return Ignored(offset, IgnoreCause.PARENT_NOT_IN_FORCE)

    def _is_successor(self, record: Change) -> bool:
        return record.parent == self.version.offset

    def _check_checkpoint(self, record: Checkpoint) -> IgnoreCause:
        current = self.version
        if record.version == current.offset and record.body != current.body:
            return IgnoreCause.CONTRADICTION
        return IgnoreCause.CHECKPOINT

    def _adopt_checkpoint(self, offset: int, record: Checkpoint) -> AppliedRecord:
        """Adopt a checkpoint unless it is outdated or contradicts this chain."""
        if self.version.offset < record.version <= self.applied_offset:
            return Ignored(offset, IgnoreCause.CONTRADICTION)
        if record.after <= self.applied_offset:
            return Ignored(offset, IgnoreCause.ALREADY_READ)
        if record.version < self.version.offset:
            return Ignored(offset, IgnoreCause.CONTRADICTION)
        if record.version == self.version.offset:
            return self._advance_with_same_version(offset, record)
        previous = self.version.offset
        self._advance_to(record.after)
        self.version = Version(record.version, record.body)
        self._history.clear()
        return Accepted(self.version, previous, is_from_checkpoint=True)

    def _advance_with_same_version(
        self, offset: int, record: Checkpoint
    ) -> AppliedRecord:
        if record.body != self.version.body:
            return Ignored(offset, IgnoreCause.CONTRADICTION)
        self._advance_to(record.after)
        return Ignored(offset, IgnoreCause.CHECKPOINT)

    def _accept(self, offset: int, text: str, record: Change | Replacement) -> Accepted:
        previous = self.version.offset
        self.version = Version(offset, record.body, record.publisher, record.nonce)
        self._history.append((offset, text, self.version))
        self._trim_history()
        return Accepted(self.version, previous)

    def _trim_history(self) -> None:
        while len(self._history) > 1 and self._is_history_full():
            self._history.popleft()

    def _is_history_full(self) -> bool:
        if len(self._history) > MAX_HISTORY_RECORDS:
            return True
        return sum(len(text) for _, text, _ in self._history) > MAX_HISTORY_CHARACTERS

    def _advance_to(self, offset: int) -> None:
        self.applied_offset = offset
        self._scanned_offset = 0


def parse_parent(text: str) -> int | None:
    """Return the parent of the change in ``text``, or ``None`` for other records.

    >>> parse_parent(format_record(Change(3, "op", "n", "")))
    3
    """
    record = parse_record(text).default_value(None)
    return record.parent if isinstance(record, Change) else None
