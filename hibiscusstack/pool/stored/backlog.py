"""Stored jobs that wait for their turn outside of the coordinator's queue."""

__all__ = ["Backlog"]

from collections import Counter, defaultdict
from heapq import heappop, heappush

from hibiscusstack.pool.stored.ledger import StoredJob

MOST_OFFERED = 32


class Backlog:
    """Jobs by pool, the most urgent first; a few of each pool are offered at a time.

    So a long backlog costs nothing where jobs are placed. A job counts as offered
    until it has begun or ended.
    """

    def __init__(self, most_offered: int = MOST_OFFERED) -> None:
        self._most_offered = most_offered
        self._heaps: defaultdict[str, list] = defaultdict(list)
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
        due_ms = job.record.submitted_ms + wanted.objective_ms() - wanted.chain_ms()
        entry = (wanted.priority, due_ms, self._count, job)
        self._waiting[job.job_id] = job
        heappush(self._heaps[wanted.pool], entry)

    def take(self, job_id: str) -> StoredJob | None:
        """Return a certain job that waits; it waits no more."""
        return self._waiting.pop(job_id, None)

    def take_next(self) -> list[StoredJob]:
        """Return the jobs whose turn it is; they count as offered."""
        found: list[StoredJob] = []
        for pool, heap in self._heaps.items():
            while heap and self._open[pool] < self._most_offered:
                job = self.take(heappop(heap)[3].job_id)
                if job is not None:
                    self._offered[job.job_id] = pool
                    self._open[pool] += 1
                    found.append(job)
        return found

    def settled(self, job_id: str) -> None:
        """Note that a job has begun or ended."""
        pool = self._offered.pop(job_id, None)
        if pool is not None:
            self._open[pool] -= 1
