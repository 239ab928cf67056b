"""Counts and logs the events of jobs and runs."""

__all__ = ["PoolEvents", "RecentRun"]

from collections import deque
from collections.abc import Collection, Iterable, Sequence
from heapq import nlargest
from itertools import islice

from eliot import log_message

from hibiscusstack.pool.active_jobs import ActiveJob
from hibiscusstack.pool.counters import PoolCounters
from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.orders import FencedOut, NotReached, Refused, ReplyLost, Started
from hibiscusstack.pool.target_losses import TargetLoss
from hibiscusstack.pool.target_state import Run, TargetState

_EVENT_NAMES = {
    JobEnd.FAILED: "pool:job_failed",
    JobEnd.REFUSED: "pool:job_refused",
    # Ended without a known outcome: some tasks may have run.
    JobEnd.UNKNOWN: "pool:job_given_up",
}
# Reason by which a start request that failed in this way is counted.
_FAILURE_REASONS = {FencedOut: "fence", NotReached: "unreached", ReplyLost: "no-reply"}
MAX_RECENT_RUNS = 2_000
MAX_LOGGED_RUNS = 50
MAX_LOGGED_UNLISTED_TARGETS = 10
# Longer values are cut off by the log writer.
MAX_LIST_CHARACTERS = 1_900
# Starts for jobs that lost their coordinator longer ago aren't logged one by one.
RESUBMITTED_LOG_MS = 10_000

RecentRun = tuple[float, str, int, str, int, str]
"""Time, task name, run number, target, token, and kind of a start or an adoption."""


class PoolEvents:
    """Counts and logs events for operators; has no effect on scheduling.

    ``recent_runs`` keeps the last runs that this process started or adopted, whatever
    its terms.

    ``logs_starts`` tells whether each start is logged. If not, the message isn't even
    built, which is cheaper than dropping it because of its log level.
    """

    def __init__(
        self, counters: PoolCounters | None = None, logs_starts: bool = False
    ) -> None:
        self.counters = counters or PoolCounters()
        self.logs_starts = logs_starts
        self.recent_runs: deque[RecentRun] = deque(maxlen=MAX_RECENT_RUNS)

    def job_ended_by_coordinator(
        self,
        job: ActiveJob,
        end: JobEnd,
        cause: str,
        now_ms: float,
        capacity: str = "",
    ) -> None:
        """Log why the coordinator ends a job; completed jobs are not logged.

        A job whose submissions were all cancelled is logged as ``pool:job_stopped``
        whatever its end, unless it is a stored job.
        The logged ``attempts`` is the number of runs of the task with most runs.
        ``capacity`` describes the targets and the queue; it is logged, unless empty.
        """
        name = _EVENT_NAMES.get(end)
        if name is None:
            return
        if not job.submissions and not job.is_stored:
            name = "pool:job_stopped"
        # The runs of a task are numbered from 1.
        max_runs = max((task.next_run - 1 for task in job.tasks.values()), default=0)
        _log_job_event(
            name,
            job.job.job_id,
            cause,
            now_ms - job.received_ms,
            max_runs,
            **({"capacity": capacity} if capacity else {}),
        )

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

    def coordination_began(
        self,
        token: int,
        *,
        is_deputy: bool,
        listed: int,
        recorded: int,
        unlisted: Collection[str],
        list_offset: int | None,
        list_age_ms: float | None,
        log_available_ms: float,
        uptime_ms: float,
    ) -> None:
        """Log what a host knows of the targets when it begins to coordinate.

        ``recorded`` counts the recorded targets and ``unlisted`` names those of them
        that are not listed. ``list_offset`` and ``list_age_ms`` describe the list of
        targets, and ``log_available_ms`` is for how long this host has been able to
        read the log.
        """
        log_message(
            "pool:coordinating",
            token=token,
            is_deputy=is_deputy,
            listed=listed,
            list_offset=list_offset,
            list_age_ms=None if list_age_ms is None else int(list_age_ms),
            recorded=recorded,
            unlisted=len(unlisted),
            unlisted_targets=_join(islice(unlisted, MAX_LOGGED_UNLISTED_TARGETS)),
            log_available_ms=int(log_available_ms),
            uptime_ms=int(uptime_ms),
        )

    def coordination_ending(
        self, token: int, cause: str, runs: Iterable[tuple[Run, str]]
    ) -> None:
        """Log the open runs of a coordinator that stops, each with its target.

        Of more than ``MAX_LOGGED_RUNS``, the last ones that were started are logged.
        """
        open_runs = list(runs)
        newest = nlargest(
            MAX_LOGGED_RUNS, open_runs, key=lambda pair: pair[0].started_ms
        )
        log_message(
            "pool:open_runs",
            token=token,
            cause=cause,
            count=len(open_runs),
            runs=_join(f"{run.name}/{run.number}@{target}" for run, target in newest),
        )

    def start_delayed(
        self,
        job: ActiveJob,
        cause: str,
        names: Sequence[str],
        token: int,
        now_ms: float,
    ) -> None:
        """Count and log that a job waits since an earlier run may still be active.

        ``names`` are some of the targets or hosts that cause it.
        """
        self.counters.delayed_jobs[cause] += 1
        log_message(
            "pool:start_delayed",
            job=job.job.job_id,
            cause=cause,
            names=_join(names),
            token=token,
            is_resubmitted=job.is_resubmitted,
            waited_ms=int(now_ms - job.received_ms),
        )

    def resubmitted_run_started(
        self, run: Run, target: str, token: int, now_ms: float, reason: str
    ) -> None:
        """Count the start of a task of a resubmitted job, and log it if it is recent.

        ``reason`` tells why no earlier run of the task can be active. The logged
        ``unheard_ms`` is the time since the earlier coordinator was last heard from.
        """
        self.counters.resubmitted_starts[reason] += 1
        unheard_ms = now_ms - run.job.earlier_coordinator_last_seen_ms
        if unheard_ms > RESUBMITTED_LOG_MS:
            return
        log_message(
            "pool:resubmitted_started",
            job=run.job.job.job_id,
            task=run.name,
            run=run.number,
            target=target,
            token=token,
            reason=reason,
            unheard_ms=int(unheard_ms),
            waited_ms=int(now_ms - run.job.received_ms),
        )

    def run_adopted(self, run: Run, target: str, token: int, now_ms: float) -> None:
        """Count and log that a run of an earlier coordinator is adopted."""
        self.counters.adopted_runs += 1
        self.recent_runs.append(
            (now_ms, run.name, run.number, target, token, "adopted")
        )
        log_message(
            "pool:run_adopted",
            job=run.job.job.job_id,
            task=run.name,
            run=run.number,
            target=target,
            token=token,
            waited_ms=int(now_ms - run.job.received_ms),
        )

    def run_started(self, run: Run, target: str, token: int, now_ms: float) -> None:
        """Count a start request, and log it if ``logs_starts`` is set."""
        self.counters.starts += 1
        kind = "resubmitted" if run.job.is_resubmitted else "started"
        self.recent_runs.append((now_ms, run.name, run.number, target, token, kind))
        if self.logs_starts:
            log_message(
                "pool:run_started",
                level="debug",
                job=run.job.job.job_id,
                task=run.name,
                run=run.number,
                target=target,
                token=token,
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

    def runs_lost(self, target: TargetState, cause: str, now_ms: float) -> None:
        """Count and log the runs that ended with the instance or lease of a target.

        Each logged run comes with the time since its start. ``last_failure`` tells how
        the last failed order to the target failed.
        """
        runs = list(target.runs.values())
        if not runs:
            return
        self.counters.lost_runs += len(runs)
        silent_ms = target.silent_since_ms
        log_message(
            "pool:runs_lost",
            target=target.listing.name,
            instance=target.listing.instance_started_ms,
            cause=cause,
            last_failure=target.last_failure,
            silent_ms=0 if silent_ms is None else int(now_ms - silent_ms),
            count=len(runs),
            runs=_join(
                f"{run.name}/{run.number}@{int(now_ms - run.started_ms)}"
                for run in runs
            ),
        )

    def task_given_up(
        self,
        job: ActiveJob,
        task: str,
        losses: Collection[TargetLoss],
        now_ms: float,
    ) -> None:
        """Count and log that a task is given up since it crashed its targets.

        Each target is logged with its instance and the evidence of its loss.
        """
        self.counters.given_up_tasks += 1
        log_message(
            "pool:task_given_up",
            level="warning",
            job=job.job.job_id,
            task=task,
            waited_ms=int(now_ms - job.received_ms),
            count=len(losses),
            targets=_join(
                f"{loss.target}/{loss.instance_started_ms}:{loss.evidence.name.lower()}"
                for loss in losses
            ),
        )

    def task_requeued(
        self, run: Run, target: TargetState, cause: str, now_ms: float
    ) -> None:
        """Count and log that a task is queued again after a run without a result.

        The logged ``attempts`` is the number of that run, which was at ``target``.
        """
        self.counters.runs_again += 1
        log_message(
            "pool:run_again",
            job=run.job.job.job_id,
            task=run.name,
            target=target.listing.name,
            cause=cause,
            waited_ms=int(now_ms - run.job.received_ms),
            attempts=run.number,
        )


def _join(names: Iterable[str]) -> str:
    """Return as many of the names as fit into one value of a log line.

    >>> _join(["t1", "t2"])
    't1,t2'
    """
    shown: list[str] = []
    length = 0
    for name in names:
        length += len(name) + 1
        if length > MAX_LIST_CHARACTERS:
            break
        shown.append(name)
    return ",".join(shown)


def _log_job_event(
    name: str,
    job_id: str,
    cause: str,
    waited_ms: float,
    attempts: int,
    **fields: str,
) -> None:
    log_message(
        name,
        level="warning" if name == "pool:job_given_up" else "info",
        job=job_id,
        cause=cause,
        waited_ms=int(waited_ms),
        attempts=attempts,
        **fields,
    )
