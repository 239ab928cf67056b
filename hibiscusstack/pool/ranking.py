"""By what waiting jobs are ordered within a tier of the queue."""

__all__ = ["JobOrder", "JobRanking"]

from enum import Enum

from hibiscusstack.pool.active_jobs import ActiveJob

FIXED_WORTH_SHARE = 0.3
MAX_WORK_TO_MEAN_RATIO = 4.0


class JobOrder(Enum):
    """What puts one job before another.

    ``SLACK``: the earlier time at which it has to start. ``PRIORITY``: the lower
    number, then the slack. ``WORTH``: more worth for the processor time that it takes,
    as far as that can be estimated. ``ARRIVAL``: the earlier arrival.
    """

    SLACK = "slack"
    PRIORITY = "priority"
    WORTH = "worth"
    ARRIVAL = "arrival"


class JobRanking:
    """Ranks jobs by one order; the lower rank goes first.

    A job is taken to be worth a fixed share and a part that grows with its work against
    the mean work of the jobs of its pool and priority that were ranked before it
    began, up to a bound. ``worth_by_priority`` is the worth of a mean job of each
    priority, 1 where nothing is given.
    """

    def __init__(
        self, order: JobOrder, worth_by_priority: tuple[float, ...] = ()
    ) -> None:
        self._order = order
        self._worth_by_priority = worth_by_priority
        self._work: dict[tuple[str, int], tuple[int, float]] = {}

    def rank(self, job: ActiveJob) -> float:
        """Return the rank of a job that is queued now, before its slack."""
        if self._order is JobOrder.PRIORITY:
            return float(job.job.priority)
        if self._order is JobOrder.ARRIVAL:
            return job.received_ms
        if self._order is JobOrder.WORTH:
            return -self._worth_rate(job)
        return 0.0

    def _worth_rate(self, job: ActiveJob) -> float:
        """Return the estimated worth for a core-millisecond."""
        work = job.job.work_milli_ms() or 1
        mean = self._note_work(job, work)
        priority = job.job.priority
        known = self._worth_by_priority
        kind_worth = known[priority] if priority < len(known) else 1.0
        part = FIXED_WORTH_SHARE + (1 - FIXED_WORTH_SHARE) * work / mean
        return kind_worth * min(part, MAX_WORK_TO_MEAN_RATIO) / work

    def _note_work(self, job: ActiveJob, work: float) -> float:
        """Count a job that has not begun; return the mean work of its kind."""
        kind = (job.job.pool, job.job.priority)
        count, total = self._work.get(kind, (0, 0.0))
        if job.first_start_ms is None or not count:
            count, total = count + 1, total + work
            self._work[kind] = (count, total)
        return total / count
