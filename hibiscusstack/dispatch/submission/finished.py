"""Answers to finished jobs, kept for callers that submit the same job again."""

__all__ = ["FinishedJobs"]

from collections import OrderedDict

import attrs

from hibiscusstack.dispatch.answers import JobAnswer

RETENTION_MS = 120_000
MAX_TASK_RESULTS = 500_000


@attrs.frozen
class _FinishedJob:
    caller: str
    answer: JobAnswer
    expires_ms: int


class FinishedJobs:
    """A cache of the newest answers, bounded by age and by the number of task results.

    Each answer is kept for ``RETENTION_MS``, unless newer ones displace it first. It
    costs one unit for the job and one for each task result.

    >>> jobs = FinishedJobs()
    >>> jobs.put("me", JobAnswer("j1", None), now_ms=0)
    >>> jobs.get("j1", "someone else") is None
    True
    """

    def __init__(self, max_task_results: int = MAX_TASK_RESULTS) -> None:
        self._max_total_cost = max_task_results
        self._jobs: OrderedDict[str, _FinishedJob] = OrderedDict()
        self._total_cost = 0

    def put(self, caller: str, answer: JobAnswer, now_ms: int) -> None:
        """Keep an answer, and drop the oldest ones while the bound is exceeded."""
        self._jobs[answer.job_id] = _FinishedJob(caller, answer, now_ms + RETENTION_MS)
        self._total_cost += _cost_of(answer)
        while self._total_cost > self._max_total_cost:
            self._drop_oldest()

    def get(self, job_id: str, caller: str) -> JobAnswer | None:
        """Return the answer to a job of ``caller``, if it is still kept."""
        finished = self._jobs.get(job_id)
        if finished is None or finished.caller != caller:
            return None
        return finished.answer

    def drop_expired(self, now_ms: int) -> None:
        """Drop the answers whose retention time has passed."""
        while self._jobs and next(iter(self._jobs.values())).expires_ms <= now_ms:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        _, finished = self._jobs.popitem(last=False)
        self._total_cost -= _cost_of(finished.answer)


def _cost_of(answer: JobAnswer) -> int:
    return 1 + len(answer.results)
