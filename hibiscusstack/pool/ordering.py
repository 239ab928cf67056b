"""The order in which waiting jobs get room, and which of them are refused."""

__all__ = ["JobQueue", "OrderingPolicy"]

from bisect import bisect_left, insort
from collections.abc import Iterator
from enum import IntEnum
from itertools import islice

import attrs

from hibiscusstack.pool.active_jobs import ActiveJob
from hibiscusstack.pool.ranking import JobOrder, JobRanking

LATE_FACTOR = 3.0
EARLY_PART = 0.2
REACH_FACTOR = 2.0


@attrs.frozen
class OrderingPolicy:
    """The order of jobs that wait, and when one is given up.

    ``order`` decides within a tier of the queue. ``worth_by_priority`` tells what a
    mean job of each priority is worth, for the order by worth.

    ``late_factor`` objectives after its arrival an answer is worth nothing. A job that
    has waited for ``early_part`` of its objective is refused if the jobs before it
    leave it no room in time for ``reach_factor`` objectives: its caller can still try
    elsewhere then.
    """

    order: JobOrder = JobOrder.SLACK
    worth_by_priority: tuple[float, ...] = ()
    late_factor: float = LATE_FACTOR
    early_part: float = EARLY_PART
    reach_factor: float = REACH_FACTOR


class _Tier(IntEnum):
    STARTED = 0
    IN_TIME = 1
    LATE = 2
    STORED = 3


_Entry = tuple[int, float, float, int, ActiveJob]


class JobQueue:
    """Jobs with tasks that wait for room.

    Those that have begun come first, since what they have done already is lost
    otherwise. Then come those that can still end within their objective, and then the
    others. Within each of these tiers the policy's order decides, and then the time at
    which they have to start. Stored jobs,
    for which nobody waits, come last, by their priority, unless that is higher than
    of any other job seen so far; such jobs are queued like the others.
    """

    def __init__(self, policy: OrderingPolicy | None = None) -> None:
        self._policy = policy = policy or OrderingPolicy()
        self._ranking = JobRanking(policy.order, policy.worth_by_priority)
        self._entries: list[_Entry] = []
        self._by_job: dict[ActiveJob, _Entry] = {}
        self._count = 0
        self._highest_priority: int | None = None

    def __len__(self) -> int:
        return len(self._by_job)

    def __contains__(self, job: ActiveJob) -> bool:
        return job in self._by_job

    def add(self, job: ActiveJob, now_ms: float) -> None:
        """Queue a job, or move one that is queued to its present place."""
        self.discard(job)
        self._count += 1
        rank = self._ranking.rank(job)
        self._insert(self._tier_of(job, now_ms), rank, job, self._count)

    def discard(self, job: ActiveJob) -> None:
        """Remove a job, if it is queued."""
        entry = self._by_job.pop(job, None)
        if entry is not None:
            del self._entries[bisect_left(self._entries, entry[:4], key=_sort_key)]

    def in_order(self) -> Iterator[ActiveJob]:
        """Return the queued jobs, the next to get room first."""
        return iter([entry[4] for entry in self._entries])

    def demote_late(self, now_ms: float) -> None:
        """Let jobs that can't end within their objective any more wait for others."""
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
        """Return the waiting jobs whose answer would come too late."""
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

    def jobs_to_reject_early(
        self, now_ms: float, capacity_milli: int
    ) -> list[ActiveJob]:
        """Return the jobs to refuse early, since too much work waits before them.

        ``capacity_milli`` is the processor capacity of all targets in use; without any,
        as during a takeover, nothing is known. Each job is weighed once. The cost is
        one look at each waiting job.
        """
        if not capacity_milli:
            return []
        policy = self._policy
        found: list[ActiveJob] = []
        ahead_ms = 0.0
        for tier, _, _, _, job in self._entries:
            if job.is_stored:
                break
            waited_ms = now_ms - job.received_ms
            is_due = waited_ms >= policy.early_part * job.objective_ms
            if (
                is_due
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


def _sort_key(entry: _Entry) -> tuple[int, float, float, int]:
    return entry[:4]
