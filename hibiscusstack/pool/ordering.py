"""The order in which waiting jobs get room, and which of them are refused."""

__all__ = ["JobQueue", "OrderingPolicy"]

from bisect import insort
from collections.abc import Iterator

import attrs

from hibiscusstack.pool.work import ActiveJob

LATE_FACTOR = 3.0


@attrs.frozen
class OrderingPolicy:
    """When a job that waits is given up.

    ``late_factor`` objectives after its arrival an answer is worth nothing.
    """

    late_factor: float = LATE_FACTOR


class JobQueue:
    """Jobs with tasks that wait for room.

    Those that can still end within their objective come first, by the time at which
    they have to start; the others follow, in the same order.
    """

    def __init__(self, policy: OrderingPolicy | None = None) -> None:
        self._policy = policy or OrderingPolicy()
        self._in_time: list[tuple[float, int, ActiveJob]] = []
        self._late: list[tuple[float, int, ActiveJob]] = []
        self._numbers: dict[ActiveJob, int] = {}
        self._count = 0

    def __len__(self) -> int:
        return len(self._numbers)

    def add(self, job: ActiveJob, now_ms: float) -> None:
        """Queue a job unless it is queued already."""
        if job in self._numbers:
            return
        self._count += 1
        self._numbers[job] = self._count
        is_late = job.latest_start_ms < now_ms and job.first_start_ms is None
        queue = self._late if is_late else self._in_time
        insort(queue, (job.latest_start_ms, self._count, job), key=_key)

    def discard(self, job: ActiveJob) -> None:
        """Remove a job, if it is queued."""
        number = self._numbers.pop(job, None)
        if number is None:
            return
        for queue in (self._in_time, self._late):
            queue[:] = [entry for entry in queue if entry[1] != number]

    def in_order(self) -> Iterator[ActiveJob]:
        """Return the queued jobs, the next to get room first."""
        yield from [entry[2] for entry in self._in_time]
        yield from [entry[2] for entry in self._late]

    def demote_late(self, now_ms: float) -> None:
        """Let jobs that can't end within their objective any more wait for others."""
        while self._in_time and self._in_time[0][0] < now_ms:
            entry = self._in_time.pop(0)
            insort(self._late, entry, key=_key)

    def hopeless(self, now_ms: float) -> list[ActiveJob]:
        """Return the waiting jobs whose answer would come too late."""
        return [
            job
            for _, _, job in self._late
            if now_ms + job.chain_ms
            > job.received_ms + self._policy.late_factor * job.objective_ms
        ]


def _key(entry: tuple[float, int, ActiveJob]) -> tuple[float, int]:
    return entry[:2]
