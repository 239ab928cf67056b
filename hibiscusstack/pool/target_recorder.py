"""Records targets in the log before they are used."""

__all__ = ["TargetRecorder"]

from collections.abc import Callable, Collection, Sequence

from eliot import log_message
from twisted.python.failure import Failure

from hibiscusstack.clock import Clock
from hibiscusstack.pool.claiming import HOSTS_TOPIC
from hibiscusstack.pool.election import Election
from hibiscusstack.pool.interfaces import (
    Appended,
    AppendRefused,
    KeyedLog,
    KeyedRecord,
)
from hibiscusstack.pool.target_records import (
    TargetRecords,
    encode_target_record,
    is_recordable,
    target_record_key,
)
from hibiscusstack.pool.targets import ListedTarget

FAILED_RETRY_MS = 200
CLEANUP_INTERVAL_MS = 2_000
MAX_RECORDS_PER_APPEND = 100


class TargetRecorder:
    """Appends, retires and deletes records of targets, one append at a time.

    An append succeeds only if the topic ends where this host has read to, like the
    claim of a term. So the next term begins either before the append, which then
    fails, or by a host that has read the records.

    ``on_recorded`` is called after a change of the records.
    """

    def __init__(
        self,
        log: KeyedLog,
        clock: Clock,
        election: Election,
        records: TargetRecords,
        on_recorded: Callable[[], None],
    ) -> None:
        self._log = log
        self._clock = clock
        self._election = election
        self._records = records
        self._on_recorded = on_recorded
        self._is_appending = False
        self._has_failed = False
        self._next_append_ms = 0.0
        self._min_end = 0
        self._next_cleanup_ms = 0.0

    def update(
        self,
        unrecorded: Collection[ListedTarget],
        find_unused: Callable[[], list[str]],
        find_deletable: Callable[[dict[str, int]], list[str]],
    ) -> None:
        """Record the ``unrecorded`` targets; now and then retire and delete others.

        To be called periodically while this host holds the newest term.
        ``find_unused`` returns the names of the recorded targets that this host does
        not use. Of the names of retired targets with the offsets of their records,
        ``find_deletable`` returns those that no other host uses any more. Targets with
        too long a name can't be recorded and are left out.
        """
        now_ms, at = self._clock.now_ms(), self._election.log_end_offset
        if self._is_appending or now_ms < self._next_append_ms:
            return
        if at is None or at < self._min_end:
            return
        changes = [
            (target.name, encode_target_record(target))
            for target in unrecorded
            if is_recordable(target.name)
        ]
        if now_ms >= self._next_cleanup_ms:
            self._next_cleanup_ms = now_ms + CLEANUP_INTERVAL_MS
            names = set(find_unused())
            retired = self._records.retired()
            changes += [
                (target.name, encode_target_record(target, is_retired=True))
                for target in self._records.targets()
                if target.name in names and target.name not in retired
            ]
            changes += [
                (name, b"") for name in find_deletable(retired) if name in names
            ]
        if changes:
            self._append(changes[:MAX_RECORDS_PER_APPEND], at)

    def _append(self, changes: Sequence[tuple[str, bytes]], at: int) -> None:
        self._records.begin_append((name for name, _ in changes), at)
        records = [(target_record_key(name), value) for name, value in changes]
        self._is_appending = True
        appended = self._log.append_all(HOSTS_TOPIC, records, at)
        appended.addBoth(self._append_ended)
        appended.addCallbacks(
            self._append_answered, self._append_failed, callbackArgs=(records,)
        )

    def _append_ended(self, result: object) -> object:
        self._is_appending = False
        return result

    def _append_answered(
        self, result: Appended | AppendRefused, records: Sequence[tuple[str, bytes]]
    ) -> None:
        self._has_failed = False
        if isinstance(result, AppendRefused):
            # Until the log has been read up to there, each append would be refused.
            self._min_end = result.end
            return
        self._records.apply_appended(
            KeyedRecord(result.offset + index, key, value or None)
            for index, (key, value) in enumerate(records)
        )
        self._election.record_log_end(result.offset + len(records))
        log_message("pool:targets_recorded", at=result.offset, records=len(records))
        self._on_recorded()

    def _append_failed(self, failure: Failure) -> None:
        self._next_append_ms = self._clock.now_ms() + FAILED_RETRY_MS
        if not self._has_failed:
            log_message("pool:recording_failed", cause=failure.getErrorMessage())
        self._has_failed = True
