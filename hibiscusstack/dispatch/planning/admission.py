"""Admission control of jobs at their owner, by quotas and estimated finish time.

The estimates use the loads of homes. A home is the host that queues and starts the
tasks of its targets.
"""

__all__ = ["AdmissionControl"]

import math
from collections.abc import Mapping

import attrs
import xxhash

from hibiscusstack.dispatch.answers import Problem, Reason
from hibiscusstack.dispatch.jobs import MAX_TASKS_PER_JOB, Job
from hibiscusstack.dispatch.loads import HomeLoad
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.dispatch.observation.run_times import RunTimes
from hibiscusstack.dispatch.planning.estimates import Backlog, estimate_wait_ms
from hibiscusstack.dispatch.planning.work_counts import WorkCounts
from hibiscusstack.dispatch.policy.policy import CurrentPolicy

MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 30_000
QUOTA_RETRY_AFTER_MS = 500
JITTER_STEPS = 1_024
MAX_RUN_TIME_FACTOR = 2.0
SMALL_TEAM_FACTOR = 1.5


@attrs.frozen
class _Admitted:
    class_name: str
    work_ms: float


class AdmissionControl:
    """Admits or refuses a job as a whole, without waiting.

    A job is refused for one of these reasons:

    - It has too many tasks, or a task is expected to run for more than
      ``MAX_RUN_TIME_FACTOR`` times the job's timeout. Such a refusal is final.
    - Its caller, its team or this host has reached its limit of work in progress.
    - It would start later than ``max_queue_ms`` allows, or finish after its deadline.

    The last two kinds of refusal say after which time to retry.

    While the queue of a class is full, a team with less than its share of that queue
    is still admitted up to ``SMALL_TEAM_FACTOR`` times ``max_queue_ms``. A flood by
    one team therefore doesn't shut out the others.

    Only jobs owned by this host are counted. The limit of a team applies to a data
    centre and is divided by its number of hosts, since the balancer spreads callers
    over them. ``max_queued_tasks`` bounds the memory used. The start and finish are
    checked only if a home has reported its load and too few slots are free.
    """

    def __init__(self, current_policy: CurrentPolicy, run_times: RunTimes) -> None:
        self._current_policy = current_policy
        self._run_times = run_times
        self._counts = WorkCounts()
        self._admitted: dict[str, _Admitted] = {}

    def admit(
        self,
        job: Job,
        class_name: str,
        loads: Mapping[HostName, HomeLoad],
        now_ms: int,
    ) -> Problem | None:
        """Admit the job and return ``None``, or return why it is refused."""
        expected_ms = [self._run_times.expected_ms(task) for task in job.tasks]
        hosts = max(len(loads), 1)
        problem = (
            _check_size(job)
            or self._check_timeout(job, expected_ms)
            or self._check_quotas(job, hosts)
            or self._check_finish_time(job, class_name, expected_ms, loads)
        )
        if problem is not None:
            return problem
        work_ms = math.fsum(expected_ms)
        self._counts.add(job, class_name, work_ms)
        self._admitted[job.job_id] = _Admitted(class_name, work_ms)
        return None

    def finished(self, job: Job, class_name: str, now_ms: int) -> None:
        """Remove an ended job from the counts of work in progress."""
        admitted = self._admitted.pop(job.job_id, None)
        if admitted is not None:
            self._counts.remove(job, admitted.class_name, admitted.work_ms)

    def _check_timeout(self, job: Job, expected_ms: list[float]) -> Problem | None:
        longest_ms = max(expected_ms, default=0.0)
        if longest_ms <= MAX_RUN_TIME_FACTOR * job.timeout_ms:
            return None
        detail = (
            f"a task takes about {round(longest_ms)} ms, timeout is {job.timeout_ms} ms"
        )
        return Problem(Reason.DEADLINE, detail)

    def _check_quotas(self, job: Job, hosts: int) -> Problem | None:
        limits = self._current_policy.policy.limits
        tasks = len(job.tasks)
        if self._counts.total.tasks + tasks > limits.max_queued_tasks:
            detail = (
                f"this host has {self._counts.total.tasks} tasks in progress "
                "(max_queued_tasks)"
            )
            return _refusal(Reason.OVERLOADED, detail, QUOTA_RETRY_AFTER_MS, job)
        caller = self._counts.of_caller(job.caller)
        if caller.jobs >= limits.max_jobs_per_caller:
            detail = f"caller has {caller.jobs} jobs in progress (max_jobs_per_caller)"
            return _refusal(Reason.QUOTA, detail, QUOTA_RETRY_AFTER_MS, job)
        if caller.tasks + tasks > limits.max_tasks_per_caller:
            detail = (
                f"caller has {caller.tasks} tasks in progress (max_tasks_per_caller)"
            )
            return _refusal(Reason.QUOTA, detail, QUOTA_RETRY_AFTER_MS, job)
        team_limit = self._current_policy.policy.team_named(job.team).max_queued
        team = self._counts.of_team(job.team)
        if team_limit is not None and team.tasks + tasks > math.ceil(
            team_limit / hosts
        ):
            detail = (
                f"team has {team.tasks} tasks in progress at this host (max_queued)"
            )
            return _refusal(Reason.QUOTA, detail, QUOTA_RETRY_AFTER_MS, job)
        return None

    def _check_finish_time(
        self,
        job: Job,
        class_name: str,
        expected_ms: list[float],
        loads: Mapping[HostName, HomeLoad],
    ) -> Problem | None:
        backlog = Backlog.sum_of(loads.values())
        if not loads or backlog.free_slots >= len(job.tasks):
            return None
        policy = self._current_policy.policy
        wait_ms = estimate_wait_ms(policy, backlog, class_name)
        limit_ms = policy.limits.max_queue_ms
        is_below_share = self._is_below_fair_share(job, class_name)
        if wait_ms > limit_ms * (SMALL_TEAM_FACTOR if is_below_share else 1.0):
            detail = f"jobs of its class wait about {_capped(wait_ms)} ms to start"
            return _refusal(Reason.OVERLOADED, detail, wait_ms - limit_ms, job)
        work_ms = math.fsum(expected_ms)
        drain_ms = estimate_wait_ms(policy, backlog, class_name, work_ms)
        finish_ms = drain_ms + max(expected_ms, default=0.0)
        if finish_ms <= job.timeout_ms:
            return None
        detail = f"the job would finish in about {_capped(finish_ms)} ms"
        return _refusal(Reason.OVERLOADED, detail, finish_ms - job.timeout_ms, job)

    def _is_below_fair_share(self, job: Job, class_name: str) -> bool:
        """Return whether the job's team has less than its share of its class's queue.

        The share is half of an equal division of the work in progress among the
        teams. A team that is alone in its class has no share.
        """
        team = self._counts.of_class_and_team(class_name, job.team)
        all_teams = self._counts.of_class(class_name)
        team_count = self._counts.teams_in(class_name)
        is_new = not team.jobs
        if team_count + is_new < 2:
            return False
        return team.work_ms < all_teams.work_ms / (2 * (team_count + is_new))


def _check_size(job: Job) -> Problem | None:
    if len(job.tasks) <= MAX_TASKS_PER_JOB:
        return None
    detail = f"job has {len(job.tasks)} tasks, at most {MAX_TASKS_PER_JOB} are allowed"
    return Problem(Reason.TOO_LARGE, detail)


def _capped(duration_ms: float) -> int:
    """Return a duration rounded and limited to 1e9 ms; estimates can be infinite."""
    return round(min(duration_ms, 1e9))


def _refusal(reason: Reason, detail: str, retry_ms: float, job: Job) -> Problem:
    """Return a refusal with a retry time that has jitter derived from the job's id.

    Without jitter, all jobs refused at the same time would be retried together.
    """
    base_ms = min(max(retry_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
    step = xxhash.xxh3_64_intdigest(job.job_id.encode()) % JITTER_STEPS
    return Problem(reason, detail, round(base_ms * (1 + step / JITTER_STEPS)))
