"""Sort keys of waiting jobs within a tier of the queue."""

__all__ = ["JobOrder", "JobRanking"]

from enum import Enum

from hibiscusstack.pool.active_jobs import ActiveJob

FIXED_WORTH_SHARE = 0.3
MAX_WORTH_RATIO = 4.0


class JobOrder(Enum):
    """The order of jobs within a tier.

    ``SLACK``: earliest latest start time first. ``PRIORITY``: lowest number first, then
    by slack. ``WORTH``: highest estimated value per CPU time first. ``ARRIVAL``:
    earliest arrival first.
    """

    SLACK = "slack"
    PRIORITY = "priority"
    WORTH = "worth"
    ARRIVAL = "arrival"


class JobRanking:
    """Ranks jobs by one order; the lowest rank goes first.

    The worth of a job is the value of its answer. Relative to an average job it is a
    fixed share plus a share proportional to its work divided by the mean work, at most
    ``MAX_WORTH_RATIO``. The mean covers the jobs of the same pool and priority that had
    not started when they were ranked. ``worth_by_priority`` is the worth of an average
    job of each priority, 1 where none is given.
    """

    def __init__(
        self, order: JobOrder, worth_by_priority: tuple[float, ...] = ()
    ) -> None:
        self._order = order
        self._worth_by_priority = worth_by_priority
        self._work: dict[tuple[str, int], tuple[int, float]] = {}

    def rank(self, job: ActiveJob) -> float:
        """Return the rank of a job to be queued; ties are broken by slack."""
        if self._order is JobOrder.PRIORITY:
            return float(job.job.priority)
        if self._order is JobOrder.ARRIVAL:
            return job.received_ms
        if self._order is JobOrder.WORTH:
            return -self._worth_rate(job)
        return 0.0

    def _worth_rate(self, job: ActiveJob) -> float:
        """Return the estimated worth per thousandth of a core and millisecond."""
        work = job.job.work_milli_ms() or 1
        mean = self._note_work(job, work)
        priority = job.job.priority
        known = self._worth_by_priority
        mean_worth = known[priority] if priority < len(known) else 1.0
        part = FIXED_WORTH_SHARE + (1 - FIXED_WORTH_SHARE) * work / mean
        return mean_worth * min(part, MAX_WORTH_RATIO) / work

    def _note_work(self, job: ActiveJob, work: float) -> float:
        """Return the mean work of the job's pool and priority.

        The job is included first, unless it has started and is not the first ranked.
        """
        kind = (job.job.pool, job.job.priority)
        count, total = self._work.get(kind, (0, 0.0))
        if job.first_start_ms is None or not count:
            count, total = count + 1, total + work
            self._work[kind] = (count, total)
        return total / count
