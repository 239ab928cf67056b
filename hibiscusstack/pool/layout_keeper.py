"""Reading or recording how a site is divided into shards."""

__all__ = ["LayoutKeeper"]

from collections.abc import Iterable, Sequence

from eliot import log_message
from twisted.python.failure import Failure

from hibiscusstack.clock import Clock
from hibiscusstack.exceptions import DecodeError
from hibiscusstack.pool.claiming import HOSTS_TOPIC
from hibiscusstack.pool.election import Election
from hibiscusstack.pool.interfaces import Appended, AppendRefused, KeyedLog, KeyedRecord
from hibiscusstack.pool.refused_records import RefusedRecords
from hibiscusstack.pool.sharding import (
    LAYOUT_KEY,
    OnLayout,
    ShardingPolicy,
    ShardLayout,
    decode_layout,
    encode_layout,
)
from hibiscusstack.pool.targets import ListedTarget

# Targets register one after the other when a site starts, so their number has to have
# been the same for so long. Where they come and go all the time, that never happens.
SETTLE_MS = 3_500
MAX_SETTLE_MS = 10_000
RETRY_MS = 200


class LayoutKeeper:
    """The layout of a site, ``None`` until it is known; it never changes afterwards.

    It is recorded in the topic of the terms of the first shard, by the holder of the
    term, under the condition that the topic ends where it has read to. So there is one
    record at most. Every host learns it from there. ``on_known`` is called once.
    """

    def __init__(
        self,
        log: KeyedLog,
        clock: Clock,
        election: Election,
        policy: ShardingPolicy,
        on_known: OnLayout,
    ) -> None:
        self.layout: ShardLayout | None = None
        self._log = log
        self._clock = clock
        self._election = election
        self._policy = policy
        self._on_known = on_known
        self._refused = RefusedRecords()
        self._target_count = 0
        self._settled_ms = self._first_listed_ms = 0.0
        self._next_append_ms = 0.0
        self._is_appending = False

    def apply_records(self, records: Iterable[KeyedRecord]) -> None:
        """Learn the layout from the records of the topic, if it is among them."""
        for record in records:
            try:
                layout = decode_layout(record)
            except DecodeError as error:
                self._refused.note(HOSTS_TOPIC, record, error, "error")
                continue
            if layout is not None:
                self._learn(layout)

    def update(self, may_record: bool, targets: Sequence[ListedTarget]) -> None:
        """Record the layout if it is due; to be called periodically.

        ``may_record`` tells whether this host holds the term; ``targets`` are listed.
        """
        now_ms = self._clock.now_ms()
        if len(targets) != self._target_count:
            if not self._target_count:
                self._first_listed_ms = now_ms
            self._target_count = len(targets)
            latest_ms = self._first_listed_ms + MAX_SETTLE_MS
            self._settled_ms = min(now_ms + SETTLE_MS, latest_ms)
        if self.layout is not None or not may_record or self._is_appending:
            return
        if not targets or now_ms < max(self._settled_ms, self._next_append_ms):
            return
        count = self._policy.count_for(len(targets))
        layout = ShardLayout.of_targets(count, targets)
        self._is_appending = True
        value, end = encode_layout(layout), self._election.log_end_offset
        appended = self._log.append(HOSTS_TOPIC, LAYOUT_KEY, value, at=end)
        appended.addBoth(self._append_ended)
        appended.addCallbacks(self._appended, self._failed, callbackArgs=(layout,))

    def _append_ended(self, result: object) -> object:
        self._is_appending = False
        self._next_append_ms = self._clock.now_ms() + RETRY_MS
        return result

    def _appended(self, result: Appended | AppendRefused, layout: ShardLayout) -> None:
        if isinstance(result, Appended):
            # The append was conditional on the end, so nothing is in between.
            self._election.record_log_end(result.offset + 1)
            self._learn(layout)

    def _failed(self, failure: Failure) -> None:
        """Try again later; the record may be there and will then be read."""

    def _learn(self, layout: ShardLayout) -> None:
        if self.layout is None:
            self.layout = layout
            log_message("pool:shards", count=layout.count, targets=len(layout.assigned))
            self._on_known(layout)
