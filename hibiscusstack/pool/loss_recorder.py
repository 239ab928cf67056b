"""Records lost targets in the log, so that their tasks' losses survive this host."""

__all__ = ["LossRecorder"]

from eliot import log_message
from twisted.python.failure import Failure

from hibiscusstack.clock import Clock
from hibiscusstack.pool.claiming import HOSTS_TOPIC
from hibiscusstack.pool.election import Election
from hibiscusstack.pool.interfaces import Appended, KeyedLog
from hibiscusstack.pool.loss_records import (
    encode_given_up,
    encode_loss,
    given_up_key,
    loss_key,
)
from hibiscusstack.pool.target_losses import TargetLosses

FAILED_RETRY_MS = 200
CLEANUP_INTERVAL_MS = 1_000
RETENTION_MS = 600_000
MAX_KEPT = 1_000
_MAX_KEY_BYTES = 255

_Entry = tuple[str, int] | str


class LossRecorder:
    """Appends what is unsaved of ``losses``, one record at a time.

    The records are in the topic of the terms, up to whose end a host has read before it
    claims one. So a new coordinator knows all losses that were recorded before. Records
    are deleted after ``RETENTION_MS``, and the oldest if there are over ``MAX_KEPT``.
    """

    def __init__(
        self, log: KeyedLog, clock: Clock, election: Election, losses: TargetLosses
    ) -> None:
        self._log = log
        self._clock = clock
        self._election = election
        self._losses = losses
        self._is_appending = False
        self._has_failed = False
        self._next_append_ms = 0.0
        self._next_cleanup_ms = clock.now_ms() + CLEANUP_INTERVAL_MS

    def update(self, may_delete: bool) -> None:
        """Append the next record; with ``may_delete``, also delete expired records.

        To be called periodically. Only the holder of the term should delete.
        """
        now_ms = self._clock.now_ms()
        if self._is_appending or now_ms < self._next_append_ms:
            return
        if may_delete and now_ms >= self._next_cleanup_ms:
            self._next_cleanup_ms = now_ms + CLEANUP_INTERVAL_MS
            self._drop_expired()
        if self._losses.unsaved:
            self._append(next(iter(self._losses.unsaved)))

    def _drop_expired(self) -> None:
        for entry in self._losses.expired(RETENTION_MS, MAX_KEPT):
            if isinstance(entry, str):
                self._losses.discard_given_up(entry)
            else:
                self._losses.discard(entry)
            self._losses.mark_unsaved(entry)

    def _append(self, entry: _Entry) -> None:
        noted_ms = self._losses.unsaved[entry]
        key, value = self._encode(entry)
        if len(key.encode(errors="replace")) > _MAX_KEY_BYTES:
            del self._losses.unsaved[entry]
            return
        self._is_appending = True
        appended = self._log.append(HOSTS_TOPIC, key, value)
        appended.addBoth(self._append_ended)
        appended.addCallbacks(
            self._appended, self._append_failed, callbackArgs=(entry, noted_ms)
        )

    def _encode(self, entry: _Entry) -> tuple[str, bytes]:
        """Return the key and value to append; an empty value deletes the record."""
        if isinstance(entry, str):
            cause = self._losses.given_up_cause(entry)
            return given_up_key(entry), b"" if cause is None else encode_given_up(cause)
        loss = self._losses.loss(entry)
        return loss_key(entry), b"" if loss is None else encode_loss(loss)

    def _append_ended(self, result: object) -> object:
        self._is_appending = False
        return result

    def _appended(self, result: Appended, entry: _Entry, noted_ms: float) -> None:
        self._has_failed = False
        # An entry that has changed since is appended again.
        if self._losses.unsaved.get(entry) == noted_ms:
            del self._losses.unsaved[entry]
        if result.offset == self._election.log_end_offset:
            # Nothing is between what this host has read and its own record.
            self._election.record_log_end(result.offset + 1)

    def _append_failed(self, failure: Failure) -> None:
        self._next_append_ms = self._clock.now_ms() + FAILED_RETRY_MS
        if not self._has_failed:
            log_message("pool:recording_failed", cause=failure.getErrorMessage())
        self._has_failed = True
