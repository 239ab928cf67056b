"""Counts and logs the events of jobs and runs."""

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
    # Ended without a known outcome: some tasks may have run.
    JobEnd.UNKNOWN: "pool:job_given_up",
}
# Reason by which a start request that failed in this way is counted.
_FAILURE_REASONS = {FencedOut: "fence", NotReached: "unreached", ReplyLost: "no-reply"}


class PoolEvents:
    """Counts and logs events for operators; has no effect on scheduling.

    ``logs_starts`` tells whether each start is logged. If not, the message isn't even
    built, which is cheaper than dropping it because of its log level.
    """

    def __init__(
        self, counters: PoolCounters | None = None, logs_starts: bool = False
    ) -> None:
        self.counters = counters or PoolCounters()
        self.logs_starts = logs_starts

    def job_ended_by_coordinator(
        self, job: ActiveJob, end: JobEnd, cause: str, now_ms: float
    ) -> None:
        """Log why the coordinator ends a job; completed jobs are not logged.

        A job whose submissions were all cancelled is logged as ``pool:job_stopped``
        whatever its end, unless it is a stored job.
        The logged ``attempts`` is the number of runs of the task with most runs.
        """
        name = _EVENT_NAMES.get(end)
        if name is None:
            return
        if not job.submissions and not job.is_stored:
            name = "pool:job_stopped"
        # The runs of a task are numbered from 1.
        max_runs = max((task.next_run - 1 for task in job.tasks.values()), default=0)
        _log_job_event(name, job.job.job_id, cause, now_ms - job.received_ms, max_runs)

    def job_ended_locally(
        self, job_id: str, end: JobEnd, cause: str, waited_ms: float, send_count: int
    ) -> None:
        """Log why the receiving host ends a job without a coordinator's answer.

        The logged ``attempts`` is the number of times that the job was sent.
        """
        _log_job_event(_EVENT_NAMES[end], job_id, cause, waited_ms, send_count)

    def job_reassigned(self, job_id: str, waited_ms: float, send_count: int) -> None:
        """Count and log that a job is sent again after no coordinator had it.

        The new coordinator is usually another one, but may be the same as before. The
        logged ``attempts`` is the number of times that the job was sent before.
        """
        self.counters.jobs_moved += 1
        _log_job_event(
            "pool:job_moved", job_id, "another coordinator", waited_ms, send_count
        )

    def run_started(self, run: Run, target: str, now_ms: float) -> None:
        """Count a start request, and log it if ``logs_starts`` is set."""
        self.counters.starts += 1
        if self.logs_starts:
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
        """Count a failed start request, by reason; a successful one isn't counted.

        Requests that the target refused are counted by the target's reason, and the
        others by how they failed: fenced, not sent, or the reply was lost.
        """
        if isinstance(reply, Refused):
            self.counters.refused_starts[reply.reason] += 1
        elif not isinstance(reply, Started):
            self.counters.refused_starts[_FAILURE_REASONS[type(reply)]] += 1

    def task_requeued(self, run: Run, cause: str, now_ms: float) -> None:
        """Count and log that a task is queued again after a run without a result.

        The logged ``attempts`` is the number of that run.
        """
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
