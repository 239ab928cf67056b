"""What happens to jobs and runs, counted and logged in one line each."""

__all__ = ["PoolEvents"]

from eliot import log_message

from hibiscusstack.pool.active_jobs import ActiveJob
from hibiscusstack.pool.counters import PoolCounters
from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.orders import FencedOut, NotReached, Refused, ReplyLost, Started
from hibiscusstack.pool.target_state import Run

_EVENT_NAMES = {
    JobEnd.FAILED: "pool:job_failed",
    JobEnd.REFUSED: "pool:job_refused",
    JobEnd.UNKNOWN: "pool:job_given_up",
}
_FAILURE_REASONS = {FencedOut: "fence", NotReached: "unreached", ReplyLost: "no-reply"}


class PoolEvents:
    """Notes events for operators; nothing here decides.

    ``shows_starts`` says whether each start is logged, which costs more than to leave
    the line out by its level.
    """

    def __init__(
        self, counters: PoolCounters | None = None, shows_starts: bool = False
    ) -> None:
        self.counters = counters or PoolCounters()
        self.shows_starts = shows_starts

    def job_closed(
        self, job: ActiveJob, end: JobEnd, cause: str, now_ms: float
    ) -> None:
        """Log why a job ends here without having been done.

        A job that nobody waits for any more is stopped, whatever its end.
        """
        name = _EVENT_NAMES.get(end)
        if name is None:
            return
        if not job.submissions and not job.is_stored:
            name = "pool:job_stopped"
        attempts = max((task.next_run - 1 for task in job.tasks.values()), default=0)
        _log_job_event(name, job.job.job_id, cause, now_ms - job.received_ms, attempts)

    def job_ended_locally(
        self, job_id: str, end: JobEnd, cause: str, waited_ms: float, attempts: int
    ) -> None:
        """Log why the receiving host answers a job without its coordinator."""
        _log_job_event(_EVENT_NAMES[end], job_id, cause, waited_ms, attempts)

    def job_moved(self, job_id: str, waited_ms: float, attempts: int) -> None:
        """Note that a job goes to another coordinator than before."""
        self.counters.jobs_moved += 1
        _log_job_event(
            "pool:job_moved", job_id, "another coordinator", waited_ms, attempts
        )

    def run_started(self, run: Run, target: str, now_ms: float) -> None:
        """Count a start that is sent."""
        self.counters.starts += 1
        if self.shows_starts:
            log_message(
                "pool:run_started",
                level="debug",
                job=run.job.job.job_id,
                task=run.name,
                run=run.number,
                target=target,
                waited_ms=int(now_ms - run.job.received_ms),
            )

    def start_replied(
        self, reply: Started | Refused | FencedOut | NotReached | ReplyLost
    ) -> None:
        """Count a start that brought no run, by reason."""
        if isinstance(reply, Refused):
            self.counters.refused_starts[reply.reason] += 1
        elif not isinstance(reply, Started):
            self.counters.refused_starts[_FAILURE_REASONS[type(reply)]] += 1

    def task_requeued(self, run: Run, cause: str, now_ms: float) -> None:
        """Note that the task of a run that ended without a result waits again."""
        self.counters.runs_again += 1
        log_message(
            "pool:run_again",
            job=run.job.job.job_id,
            task=run.name,
            cause=cause,
            waited_ms=int(now_ms - run.job.received_ms),
            attempts=run.number,
        )


def _log_job_event(
    name: str, job_id: str, cause: str, waited_ms: float, attempts: int
) -> None:
    log_message(
        name,
        level="warning" if name == "pool:job_given_up" else "info",
        job=job_id,
        cause=cause,
        waited_ms=int(waited_ms),
        attempts=attempts,
    )
