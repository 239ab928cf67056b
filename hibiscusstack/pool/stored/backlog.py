"""Stored jobs that wait for their turn outside of the coordinator's queue."""

__all__ = ["Backlog"]

from collections import Counter, defaultdict
from enum import IntEnum
from heapq import heappop, heappush

from hibiscusstack.pool.ordering import LATE_FACTOR
from hibiscusstack.pool.stored.ledger import StoredJob

MOST_OFFERED = 32


class _Worth(IntEnum):
    """What a job that starts now is worth: all, a part, or no more than its end."""

    IN_TIME = 0
    LATE = 1
    HOPELESS = 2


class Backlog:
    """Jobs by pool; a few of each pool are offered at a time.

    Jobs that can still end within their objective come first, then those that are of
    some worth yet, and the others last; among them the most urgent. A long backlog
    costs nothing where jobs are placed. A job counts as offered until it has begun or
    ended.
    """

    def __init__(self, most_offered: int = MOST_OFFERED) -> None:
        self._most_offered = most_offered
        self._heaps: defaultdict[str, list[list]] = defaultdict(
            lambda: [[] for _ in _Worth]
        )
        self._offered: dict[str, str] = {}
        self._open: Counter[str] = Counter()
        self._waiting: dict[str, StoredJob] = {}
        self._count = 0

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._waiting

    def add(self, job: StoredJob) -> None:
        """Let a job wait."""
        wanted = job.record.job
        self._count += 1
        due_ms = (
            job.record.submitted_ms + wanted.objective_ms() - wanted.critical_path_ms()
        )
        entry = (wanted.priority, due_ms, self._count, job)
        self._waiting[job.job_id] = job
        heappush(self._heaps[wanted.pool][_Worth.IN_TIME], entry)

    def take(self, job_id: str) -> StoredJob | None:
        """Return a certain job that waits; it waits no more."""
        return self._waiting.pop(job_id, None)

    def take_next(self, now_ms: float) -> list[StoredJob]:
        """Return the jobs whose turn it is; they count as offered.

        ``now_ms`` is a time of day.
        """
        found: list[StoredJob] = []
        for pool in self._heaps:
            while self._open[pool] < self._most_offered:
                job = self._take_first(pool, now_ms)
                if job is None:
                    break
                self._offered[job.job_id] = pool
                self._open[pool] += 1
                found.append(job)
        return found

    def settled(self, job_id: str) -> None:
        """Note that a job has begun or ended."""
        pool = self._offered.pop(job_id, None)
        if pool is not None:
            self._open[pool] -= 1

    def _take_first(self, pool: str, now_ms: float) -> StoredJob | None:
        heaps = self._heaps[pool]
        for worth in _Worth:
            while heaps[worth]:
                entry = heappop(heaps[worth])
                job = entry[3]
                if job.job_id not in self._waiting:
                    continue
                present = _worth_of(job, now_ms)
                if present <= worth:
                    return self.take(job.job_id)
                heappush(heaps[present], entry)
        return None


def _worth_of(job: StoredJob, now_ms: float) -> _Worth:
    wanted = job.record.job
    end_ms = now_ms + wanted.critical_path_ms() - job.record.submitted_ms
    if end_ms <= wanted.objective_ms():
        return _Worth.IN_TIME
    is_late = end_ms <= LATE_FACTOR * wanted.objective_ms()
    return _Worth.LATE if is_late else _Worth.HOPELESS
