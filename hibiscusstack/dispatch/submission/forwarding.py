"""Jobs that this host has forwarded to the owner of their id."""

__all__ = ["ForwardedJobs"]

import attrs

from hibiscusstack.dispatch.answers import (
    JobAnswer,
    Reason,
    not_run,
    outcome_unknown,
)
from hibiscusstack.dispatch.effects import Answer, Effect, SendPeer
from hibiscusstack.dispatch.jobs import Job
from hibiscusstack.dispatch.messages import ForwardAnswer, ForwardJob, HostName

ANSWER_GRACE_MS = 1_000


@attrs.frozen
class _ForwardedJob:
    owner: HostName
    job: Job
    deadline_ms: int


class ForwardedJobs:
    """Forwarded jobs that wait for the owner's answer.

    Sending a job again after a reconnection is safe: the owner treats the second copy
    as a duplicate submission and does not start the job again. If the owner is lost,
    no other host starts the job.
    """

    def __init__(self) -> None:
        self._pending: dict[int, _ForwardedJob] = {}
        self._connected: set[HostName] = set()

    def __len__(self) -> int:
        """Return the number of forwarded jobs without an answer."""
        return len(self._pending)

    def submit(
        self, request: int, job: Job, owner: HostName, now_ms: int
    ) -> list[Effect]:
        """Forward a job to its owner, or answer at once if it is not connected."""
        if owner not in self._connected:
            return [Answer(request, _owner_unreachable_answer(job, owner))]
        deadline_ms = now_ms + job.timeout_ms + ANSWER_GRACE_MS
        self._pending[request] = _ForwardedJob(owner, job, deadline_ms)
        return [SendPeer(owner, ForwardJob(request, job))]

    def answer_received(
        self, sender: HostName, message: ForwardAnswer, now_ms: int
    ) -> list[Effect]:
        """Pass the owner's answer to the request that it belongs to.

        Answers from another host or for another job are ignored.
        """
        forwarded = self._pending.get(message.request)
        if forwarded is None or forwarded.owner != sender:
            return []
        if forwarded.job.job_id != message.answer.job_id:
            return []
        del self._pending[message.request]
        return [Answer(message.request, message.answer)]

    def owner_connected(self, owner: HostName) -> list[Effect]:
        """Send the unanswered jobs again, as the owner may not have received them."""
        self._connected.add(owner)
        return [
            SendPeer(owner, ForwardJob(request, forwarded.job))
            for request, forwarded in self._pending.items()
            if forwarded.owner == owner
        ]

    def owner_disconnected(self, owner: HostName) -> None:
        """Forward no new jobs to an owner until it is connected again."""
        self._connected.discard(owner)

    def owner_lost(self, owner: HostName) -> list[Effect]:
        """Answer all jobs forwarded to a lost owner with an unknown outcome."""
        self._connected.discard(owner)
        pending = [r for r, f in self._pending.items() if f.owner == owner]
        return [self._give_up(request, Reason.OWNER_LOST) for request in pending]

    def tick(self, now_ms: int) -> list[Effect]:
        """Answer the jobs past their deadline with an unknown outcome."""
        overdue = [r for r, f in self._pending.items() if f.deadline_ms <= now_ms]
        return [self._give_up(request, Reason.OWNER_LOST) for request in overdue]

    def _give_up(self, request: int, reason: Reason) -> Answer:
        forwarded = self._pending.pop(request)
        detail = f"no answer from host {forwarded.owner.name}; it may have run the job"
        return Answer(request, outcome_unknown(forwarded.job.job_id, reason, detail))


def _owner_unreachable_answer(job: Job, owner: HostName) -> JobAnswer:
    reason = Reason.OWNER_UNREACHABLE
    if job.is_first_attempt:
        detail = (
            f"host {owner.name} is not connected; request a new id and submit again"
        )
        return not_run(job.job_id, reason, detail, retry_after_ms=0)
    detail = f"host {owner.name} is not connected; an earlier attempt may have run"
    return outcome_unknown(job.job_id, reason, detail)
