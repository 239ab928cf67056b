"""Stored jobs that wait to be admitted to the coordinator's queue."""

__all__ = ["Backlog"]

from collections import Counter
from enum import IntEnum
from heapq import heappop, heappush

from hibiscusstack.pool.ordering import LATE_FACTOR
from hibiscusstack.pool.room_kinds import RoomKind, kind_of_step
from hibiscusstack.pool.stored.job_table import StoredJob

MAX_ADMITTED_PER_KIND = 32
SLOT_MS = 2_000


class _LatenessTier(IntEnum):
    """How late a job would end if it started now.

    An ``IN_TIME`` job ends within its latency objective. A ``LATE`` job ends within
    ``LATE_FACTOR`` times its objective, while the result still has some value. A
    ``PAST_CUTOFF`` job ends later than that; it still has to be completed.
    """

    IN_TIME = 0
    LATE = 1
    PAST_CUTOFF = 2


class Backlog:
    """Waiting jobs by kind of room; at most ``max_admitted`` of each are admitted.

    Jobs that can still end within their latency objective are admitted first, then late
    ones, then those past the cutoff. Within a tier, jobs are ordered by priority and
    then by latest start time. Since few jobs are in the coordinator's queue at once, a
    long backlog does not slow down the placement of tasks. A job counts as admitted
    until it has started or ended or no target has room for it, and no longer than
    ``SLOT_MS``. So jobs that can't start don't keep out those that could.
    """

    def __init__(self, max_admitted: int = MAX_ADMITTED_PER_KIND) -> None:
        self._max_admitted = max_admitted
        # One heap per tier. Entries are tuples of the priority, the latest start time,
        # the insertion count, which breaks ties, and the job.
        self._heaps: dict[RoomKind, list[list]] = {}
        # The kind of each admitted job, and when its slot is free at the latest.
        self._admitted: dict[str, tuple[RoomKind, float]] = {}
        self._admitted_counts: Counter[RoomKind] = Counter()
        self._waiting: dict[str, StoredJob] = {}
        self._insertion_count = 0

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._waiting

    def add(self, job: StoredJob) -> None:
        """Add a job to the waiting ones.

        Its entry goes into the ``IN_TIME`` heap; ``_pop_first`` corrects the tier.
        """
        pool_job = job.record.job
        self._insertion_count += 1
        latest_start_ms = (
            job.record.submitted_ms
            + pool_job.objective_ms()
            - pool_job.critical_path_ms()
        )
        entry = (pool_job.priority, latest_start_ms, self._insertion_count, job)
        self._waiting[job.job_id] = job
        kind = kind_of_step(pool_job.pool, pool_job.steps[0])
        heaps = self._heaps.setdefault(kind, [[] for _ in _LatenessTier])
        heappush(heaps[_LatenessTier.IN_TIME], entry)

    def pop(self, job_id: str) -> StoredJob | None:
        """Remove and return a waiting job, or None if it does not wait."""
        return self._waiting.pop(job_id, None)

    def admit_next(self, now_ms: float, wall_ms: float) -> list[StoredJob]:
        """Admit and return the next jobs of each kind, up to its limit.

        ``now_ms`` is on the clock of this host, and ``wall_ms`` is wall-clock time
        since the epoch.
        """
        self._free_old_slots(now_ms)
        admitted: list[StoredJob] = []
        for kind in list(self._heaps):
            while self._admitted_counts[kind] < self._max_admitted:
                job = self._pop_first(kind, wall_ms)
                if job is None:
                    del self._heaps[kind]
                    break
                self._admitted[job.job_id] = (kind, now_ms + SLOT_MS)
                self._admitted_counts[kind] += 1
                admitted.append(job)
        return admitted

    def release_slot(self, job_id: str) -> None:
        """Free the admission slot of a job, if it has one."""
        kind, _ = self._admitted.pop(job_id, (None, 0.0))
        if kind is None:
            return
        self._admitted_counts[kind] -= 1
        if not self._admitted_counts[kind]:
            del self._admitted_counts[kind]

    def _free_old_slots(self, now_ms: float) -> None:
        old = []
        for job_id, (_, free_ms) in self._admitted.items():
            if now_ms < free_ms:
                break
            old.append(job_id)
        for job_id in old:
            self.release_slot(job_id)

    def _pop_first(self, kind: RoomKind, wall_ms: float) -> StoredJob | None:
        """Remove and return the first waiting job of a kind, or None.

        An entry is checked only when it is popped: it is dropped if its job no longer
        waits, and moved to the heap of its present tier if its job has become later.
        """
        heaps = self._heaps[kind]
        for tier in _LatenessTier:
            while heaps[tier]:
                entry = heappop(heaps[tier])
                job = entry[3]
                if job.job_id not in self._waiting:
                    continue
                current_tier = _lateness_tier(job, wall_ms)
                # It is lower than the heap's tier only if the wall clock was set back.
                if current_tier <= tier:
                    return self.pop(job.job_id)
                heappush(heaps[current_tier], entry)
        return None


def _lateness_tier(job: StoredJob, wall_ms: float) -> _LatenessTier:
    pool_job = job.record.job
    expected_latency_ms = (
        wall_ms + pool_job.critical_path_ms() - job.record.submitted_ms
    )
    if expected_latency_ms <= pool_job.objective_ms():
        return _LatenessTier.IN_TIME
    is_late = expected_latency_ms <= LATE_FACTOR * pool_job.objective_ms()
    return _LatenessTier.LATE if is_late else _LatenessTier.PAST_CUTOFF
