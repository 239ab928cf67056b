"""What is wrong with the answers to clients and with the ends of hosts."""

__all__ = ["Finding", "HostHistory", "find_faults"]

import math
import signal
from collections.abc import Iterable, Mapping

import attrs

from hibiscusstack_standins.estate.jobs import Job
from scripts.platform_site import PoolHostProcess
from scripts.soak.clients import GONE, Attempt, SoakSubmission

# A request may cross with the end of an idle connection.
LOSS_SLACK_MS = 500
# A process that is stopped before it has set its handlers ends by the signal.
_EXIT_CODES = (None, 0, -signal.SIGTERM)


@attrs.frozen
class Finding:
    """A broken promise: the rule, and what was seen."""

    rule: str
    detail: str


@attrs.define
class HostHistory:
    """What was done to one process of a host, in milliseconds since 1970."""

    killed_ms: float = math.inf
    freezes: list[tuple[float, float]] = attrs.field(factory=list)
    exit_code: int | None = None

    def excuses(self, attempt: Attempt) -> bool:
        """Tell whether a fault of the host explains that it did not answer."""
        was_frozen = any(
            begin_ms <= attempt.ended_ms and attempt.sent_ms <= end_ms
            for begin_ms, end_ms in self.freezes
        )
        return was_frozen or self.killed_ms <= attempt.ended_ms


def find_faults(
    submissions: Iterable[SoakSubmission],
    hosts: Mapping[PoolHostProcess, HostHistory],
) -> list[Finding]:
    """Return each request, job and process that did not end as it should.

    LOST is a request whose connection ended without an answer; UNDONE is a job that was
    not completed, or that nobody knew any more; EXIT is a process that failed. A job
    with a task that crashes workers has to fail.
    """
    found = []
    for submission in submissions:
        job_id = submission.job.id
        if submission.state != _expected_state(submission.job):
            statuses = [each.status for each in submission.attempts[-5:]]
            found.append(Finding("UNDONE", f"{job_id}: ends with {statuses}"))
        for each in submission.attempts:
            if each.status == GONE:
                detail = f"{job_id}: {each.host.name} knew no such job"
                found.append(Finding("UNDONE", f"{detail} at {each.ended_ms}"))
            if _is_lost(each, hosts[each.host]):
                detail = f"{job_id}: {each.host.log.name} from {each.sent_ms}"
                found.append(Finding("LOST", f"{detail} to {each.ended_ms}"))
    for host, history in hosts.items():
        if history.exit_code not in _EXIT_CODES:
            found.append(Finding("EXIT", f"{host.log.name}: {history.exit_code}"))
    return found


def _expected_state(job: Job) -> str:
    return "failed" if any(step.crashing for step in job.steps) else "completed"


def _is_lost(attempt: Attempt, host: HostHistory) -> bool:
    waited_ms = attempt.ended_ms - attempt.sent_ms
    is_cut = attempt.is_closed and waited_ms > LOSS_SLACK_MS
    return is_cut and not host.excuses(attempt)
