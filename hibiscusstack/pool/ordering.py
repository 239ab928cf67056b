"""The queue of waiting jobs: their order, and which of them are rejected."""

__all__ = ["JobQueue", "KindQueue", "OrderingPolicy"]

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterator
from enum import IntEnum
from itertools import islice

import attrs

from hibiscusstack.pool.active_jobs import ActiveJob
from hibiscusstack.pool.ranking import JobOrder, JobRanking
from hibiscusstack.pool.room_kinds import RoomKind, RoomLimits, kinds_of_job

LATE_FACTOR = 3.0
EARLY_PART = 0.2
REACH_FACTOR = 2.0


@attrs.frozen
class OrderingPolicy:
    """The order of waiting jobs, and when a job is rejected.

    ``order`` applies within a tier of the queue. ``worth_by_priority`` is the value of
    an answer to an average job of each priority, for ``JobOrder.WORTH``.

    The other fields are relative to the latency objective of a job. An answer has no
    value after ``late_factor`` objectives, counted from the arrival of the job, so a
    job that cannot end by this cutoff is rejected.

    A job is also checked once, after it has waited for the fraction ``early_part`` of
    its objective. If it has not started, and its expected latency with the work queued
    before it exceeds ``reach_factor`` objectives, it is rejected early. Its caller can
    then still try elsewhere.
    """

    order: JobOrder = JobOrder.SLACK
    worth_by_priority: tuple[float, ...] = ()
    late_factor: float = LATE_FACTOR
    early_part: float = EARLY_PART
    reach_factor: float = REACH_FACTOR


# A stored job has the tier ``STORED`` plus its priority.
class _Tier(IntEnum):
    STARTED = 0
    IN_TIME = 1
    LATE = 2
    STORED = 3


# Tier, rank, latest start time in ms, number in order of arrival, and the job.
_Entry = tuple[int, float, float, int, ActiveJob]
_SortKey = tuple[int, float, float, int]


class JobQueue:
    """Priority queue of the jobs with tasks that wait for capacity.

    Started jobs come first, because their finished work is lost otherwise. Then come
    the jobs that can still end within their objective, and then the late ones. Each of
    these tiers is sorted by the policy's order, and then by the latest start time.

    No caller waits for a stored job, so stored jobs come last, by priority. A stored
    job is queued in the tiers above if its priority is higher than that of every job
    with a waiting caller that was queued so far. Priority 0 is the highest.

    Jobs are also kept by the kind of room that their ready tasks need, so that jobs
    which find none don't hide the others. Kinds for which no target has room, idle or
    not, are **dormant** until :meth:`wake_kinds` is called.
    :meth:`pop_newly_dormant` tells which jobs have become dormant.
    """

    def __init__(self, policy: OrderingPolicy | None = None) -> None:
        self._policy = policy = policy or OrderingPolicy()
        self._ranking = JobRanking(policy.order, policy.worth_by_priority)
        self._entries: list[_Entry] = []
        self._by_job: dict[ActiveJob, _Entry] = {}
        self._count = 0
        self._highest_priority: int | None = None
        self._kinds_by_job: dict[ActiveJob, tuple[RoomKind, ...]] = {}
        self._active: dict[RoomKind, KindQueue] = {}
        self._dormant: dict[RoomKind, KindQueue] = {}
        self._newly_dormant: list[ActiveJob] = []

    def __len__(self) -> int:
        return len(self._by_job)

    def __contains__(self, job: ActiveJob) -> bool:
        return job in self._by_job

    def add(self, job: ActiveJob, now_ms: float) -> None:
        """Queue a job, or move a queued job to its current position."""
        self.discard(job)
        self._count += 1
        rank = self._ranking.rank(job)
        self._insert(self._tier_of(job, now_ms), rank, job, self._count)

    def update_kinds(self, job: ActiveJob) -> None:
        """Keep a queued job by the kinds of room that its ready tasks need now."""
        entry = self._by_job.get(job)
        if entry is not None and kinds_of_job(job) != self._kinds_by_job[job]:
            self._remove_from_kinds(entry)
            self._add_to_kinds(entry)

    def discard(self, job: ActiveJob) -> None:
        """Remove a job, if it is queued."""
        entry = self._by_job.pop(job, None)
        if entry is not None:
            del self._entries[bisect_left(self._entries, entry[:4], key=_sort_key)]
            self._remove_from_kinds(entry)

    def kinds(self) -> list["KindQueue"]:
        """Return the queues of all kinds of room that aren't dormant."""
        return list(self._active.values())

    def dormant_kinds(self) -> list["KindQueue"]:
        """Return the queues of the kinds for which no target has room."""
        return list(self._dormant.values())

    def put_to_sleep(self, kind: RoomKind) -> None:
        """Let a kind be dormant, since no target has such room."""
        queue = self._active.pop(kind, None)
        if queue is not None:
            self._dormant[kind] = queue
            self._newly_dormant += queue.jobs()

    def require_exact_room(self, job: ActiveJob) -> None:
        """Keep a queued job by its exact needs, as it is larger than its kind."""
        job.needs_exact_room = True
        self.update_kinds(job)

    def pop_newly_dormant(self) -> list[ActiveJob]:
        """Return the jobs of which a kind was put to sleep since the last call."""
        found, self._newly_dormant = self._newly_dormant, []
        return found

    def wake_kinds(self) -> None:
        """End the dormancy of all kinds, since the targets have changed."""
        for kind, queue in self._dormant.items():
            queue.checked_limits = None
            self._active[kind] = queue
        self._dormant.clear()

    def in_order(self) -> Iterator[ActiveJob]:
        """Return an iterator over the queued jobs, the next to get capacity first."""
        return iter([entry[4] for entry in self._entries])

    def demote_late(self, now_ms: float) -> None:
        """Move jobs that can no longer end within their objective to the late tier."""
        first = bisect_left(self._entries, (_Tier.IN_TIME,), key=_sort_key)
        late: list[_Entry] = []
        for entry in islice(self._entries, first, None):
            if entry[0] is not _Tier.IN_TIME:
                break
            if entry[2] < now_ms:
                late.append(entry)
            elif self._policy.order is JobOrder.SLACK:
                break
        for _, rank, _, number, job in late:
            self.discard(job)
            self._insert(_Tier.LATE, rank, job, number)

    def jobs_past_cutoff(self, now_ms: float) -> list[ActiveJob]:
        """Return the late jobs that would end after the cutoff, to be rejected."""
        factor = self._policy.late_factor
        first = bisect_left(self._entries, (_Tier.LATE,), key=_sort_key)
        last = bisect_left(self._entries, (_Tier.STORED,), key=_sort_key)
        return [
            job
            for *_, job in self._entries[first:last]
            if not job.is_stored
            and now_ms + job.critical_path_ms
            > job.received_ms + factor * job.objective_ms
        ]

    def check_early_rejections(
        self, now_ms: float, capacity_milli: int
    ) -> list[ActiveJob]:
        """Return the jobs to reject early, because too much work waits before them.

        ``capacity_milli`` is the total CPU capacity, in use or not, of the targets on
        which runs may start now or soon, in thousandths of a core. If it is 0, as when
        a takeover begins, waiting times cannot be estimated and no job is rejected.
        Each job is checked once: a job that passes is marked and not checked again. The
        time is linear in the number of waiting jobs.
        """
        if not capacity_milli:
            return []
        policy = self._policy
        found: list[ActiveJob] = []
        ahead_ms = 0.0
        for tier, _, _, _, job in self._entries:
            if job.is_stored:
                # This also ends the check at a stored job in an earlier tier.
                break
            waited_ms = now_ms - job.received_ms
            is_old_enough = waited_ms >= policy.early_part * job.objective_ms
            if (
                is_old_enough
                and tier in (_Tier.IN_TIME, _Tier.LATE)
                and not job.is_early_check_done
            ):
                job.is_early_check_done = True
                end_ms = waited_ms + ahead_ms + job.critical_path_ms
                if end_ms > policy.reach_factor * job.objective_ms:
                    found.append(job)
                    continue
            ahead_ms += job.waiting_work_milli_ms() / capacity_milli
        return found

    def _tier_of(self, job: ActiveJob, now_ms: float) -> int:
        priority, highest = job.job.priority, self._highest_priority
        if not job.is_stored:
            if highest is None or priority < highest:
                self._highest_priority = priority
        elif highest is None or priority >= highest:
            return _Tier.STORED + priority
        if job.first_start_ms is not None:
            return _Tier.STARTED
        return _Tier.LATE if job.latest_start_ms < now_ms else _Tier.IN_TIME

    def _insert(self, tier: int, rank: float, job: ActiveJob, number: int) -> None:
        entry = (tier, rank, job.latest_start_ms, number, job)
        self._by_job[job] = entry
        insort(self._entries, entry, key=_sort_key)
        self._add_to_kinds(entry)

    def _add_to_kinds(self, entry: _Entry) -> None:
        self._kinds_by_job[entry[4]] = kinds = kinds_of_job(entry[4])
        for kind in kinds:
            queue = self._active.get(kind)
            if queue is None and (queue := self._dormant.get(kind)) is not None:
                self._newly_dormant.append(entry[4])
            if queue is None:
                queue = self._active[kind] = KindQueue(kind)
            queue.add(entry)

    def _remove_from_kinds(self, entry: _Entry) -> None:
        for kind in self._kinds_by_job.pop(entry[4]):
            queues = self._active if kind in self._active else self._dormant
            queues[kind].discard(entry)
            if not len(queues[kind]):
                del queues[kind]


class KindQueue:
    """The waiting jobs that need one kind of room, in the order of the queue.

    ``checked_limits`` are the sizes of targets by which the kind is not dormant.
    """

    def __init__(self, kind: RoomKind) -> None:
        self.kind = kind
        self.checked_limits: RoomLimits | None = None
        self._entries: list[_Entry] = []
        self._resume_key: _SortKey | None = None

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, entry: _Entry) -> None:
        """Add an entry at its position."""
        insort(self._entries, entry, key=_sort_key)

    def discard(self, entry: _Entry) -> None:
        """Remove an entry, which must be there."""
        del self._entries[bisect_left(self._entries, entry[:4], key=_sort_key)]

    def jobs(self) -> list[ActiveJob]:
        """Return all jobs, in order."""
        return [entry[4] for entry in self._entries]

    def first(self) -> tuple[_SortKey, ActiveJob] | None:
        """Return the position of the first job, and the job; ``None`` if empty."""
        return self._at(0)

    def after(self, key: _SortKey) -> tuple[_SortKey, ActiveJob] | None:
        """Return the first job behind a position, which need not be there any more."""
        return self._at(bisect_right(self._entries, key, key=_sort_key))

    def take_turns(self, key: _SortKey, count: int) -> list[ActiveJob]:
        """Return ``count`` of the jobs behind a position, others at each call.

        So every job is returned after a number of calls, however many are before it.
        """
        start = bisect_right(self._entries, key, key=_sort_key)
        if self._resume_key is not None and self._resume_key > key:
            start = bisect_right(self._entries, self._resume_key, key=_sort_key)
        found = self._entries[start : start + count]
        self._resume_key = _sort_key(found[-1]) if len(found) == count else None
        return [entry[4] for entry in found]

    def _at(self, index: int) -> tuple[_SortKey, ActiveJob] | None:
        if index >= len(self._entries):
            return None
        return _sort_key(self._entries[index]), self._entries[index][4]


def _sort_key(entry: _Entry) -> _SortKey:
    return entry[:4]
