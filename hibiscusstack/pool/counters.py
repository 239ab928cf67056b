"""Counters of a pool host, kept in memory until they are fetched."""

__all__ = ["CountedLog", "PoolCounters"]

from collections import Counter
from collections.abc import Sequence

import attrs
from twisted.internet.defer import Deferred

from hibiscusstack.pool.interfaces import (
    Appended,
    AppendRefused,
    Fenced,
    KeyedPage,
    OutOfSequence,
    Producer,
    SequencedLog,
)


@attrs.define
class PoolCounters:
    """Counts since the start of the process.

    ``jobs`` counts the answers to callers by end, and callers that disconnected
    before the answer as ``gone``. ``refused_requests`` counts the requests refused
    before a job was submitted, by reason. ``jobs_moved`` counts the times that a job
    was sent again after no coordinator had it. ``refused_starts`` counts the start
    requests that failed, by reason; besides refusals by the target these are requests
    that were fenced or not sent, and lost replies. ``runs_again`` counts the tasks
    queued again after a run without a result, and ``lost_runs`` the runs that ended
    with the instance or lease of their target. ``given_up_tasks`` counts the tasks
    given up because they crashed their targets. ``delayed_jobs`` counts the jobs that
    had to wait because an earlier run may still be active, by cause, each job once.
    ``resubmitted_starts`` counts the starts for resubmitted jobs, by the reason for
    which they were allowed, and ``adopted_runs`` the runs of earlier coordinators that
    were adopted. ``silent_targets`` counts the times that a target stopped responding.
    ``log_calls`` counts the calls to the log by kind, and ``refused_records`` the
    records that were skipped because they could not be decoded, by topic.
    ``shed_clients`` counts the connections that were ended because clients held too
    much of this host, by what they held. Events of
    targets are counted at the host that coordinates them.
    """

    jobs: Counter[str] = attrs.field(factory=Counter)
    refused_requests: Counter[str] = attrs.field(factory=Counter)
    jobs_moved: int = 0
    starts: int = 0
    refused_starts: Counter[str] = attrs.field(factory=Counter)
    runs_again: int = 0
    lost_runs: int = 0
    given_up_tasks: int = 0
    delayed_jobs: Counter[str] = attrs.field(factory=Counter)
    resubmitted_starts: Counter[str] = attrs.field(factory=Counter)
    adopted_runs: int = 0
    overdue_runs: int = 0
    stops: int = 0
    holds: int = 0
    silent_targets: int = 0
    terms: int = 0
    log_calls: Counter[str] = attrs.field(factory=Counter)
    refused_records: Counter[str] = attrs.field(factory=Counter)
    shed_clients: Counter[str] = attrs.field(factory=Counter)


class CountedLog:
    """A log that counts the calls and passes them on to another log."""

    def __init__(self, log: SequencedLog, counters: PoolCounters) -> None:
        self._log = log
        self._calls = counters.log_calls

    def read_newest(self, topic: str) -> Deferred[KeyedPage]:
        """Return the newest record of each key."""
        self._calls["newest"] += 1
        return self._log.read_newest(topic)

    def read_from(self, topic: str, offset: int, wait_ms: int) -> Deferred[KeyedPage]:
        """Return the records from ``offset`` on."""
        self._calls["read"] += 1
        return self._log.read_from(topic, offset, wait_ms)

    def append(
        self, topic: str, key: str, value: bytes, at: int | None = None
    ) -> Deferred[Appended | AppendRefused]:
        """Append one record."""
        self._calls["append"] += 1
        return self._log.append(topic, key, value, at)

    def append_all(
        self, topic: str, records: Sequence[tuple[str, bytes]], at: int
    ) -> Deferred[Appended | AppendRefused]:
        """Append all records or none."""
        self._calls["append"] += 1
        return self._log.append_all(topic, records, at)

    def begin_epoch(
        self, topic: str, producer: Producer
    ) -> Deferred[Appended | Fenced]:
        """Fence all lower epochs of the producer."""
        self._calls["append"] += 1
        return self._log.begin_epoch(topic, producer)

    def append_numbered(
        self,
        topic: str,
        records: Sequence[tuple[str, bytes]],
        producer: Producer,
        number: int,
    ) -> Deferred[Appended | Fenced | OutOfSequence]:
        """Append all records or none; each number takes effect once."""
        self._calls["append"] += 1
        return self._log.append_numbered(topic, records, producer, number)
