"""Admission of whole jobs at their owner, by estimated finish and by bounds."""

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
from hibiscusstack.dispatch.policy.policy import PolicyInForce

MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 30_000
QUOTA_RETRY_AFTER_MS = 500
JITTER_STEPS = 1_024
IMPOSSIBLE_FACTOR = 2.0
SMALL_TEAM_FACTOR = 1.5


@attrs.frozen
class _Admitted:
    class_name: str
    work_ms: float


class AdmissionControl:
    """Admits a whole job or refuses it whole, at once.

    A job is refused when it could never run in time, when its caller or team has as
    much in progress as it may, when this host has as many tasks in progress as it
    may, and when it would start later than the published queue allows or finish
    after its deadline. All but the first say when to come back.

    While a class is full, a team that has less than its part of the class's queue
    is still admitted up to ``SMALL_TEAM_FACTOR`` times the published queue, so a flood
    by one team leaves the others in.

    What is counted is what this host owns. Bounds of a data centre are divided by
    its hosts: the balancer spreads callers over them. Memory is bounded by
    ``max_queued_tasks`` tasks in progress. Before any home has reported its load,
    only the counts bound what is admitted.
    """

    def __init__(self, in_force: PolicyInForce, run_times: RunTimes) -> None:
        self._in_force = in_force
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
        """Return why the job is refused, or ``None`` when it is admitted."""
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
        """Account for the end of an admitted job."""
        admitted = self._admitted.pop(job.job_id, None)
        if admitted is not None:
            self._counts.remove(job, admitted.class_name, admitted.work_ms)

    def _check_timeout(self, job: Job, expected_ms: list[float]) -> Problem | None:
        longest_ms = max(expected_ms, default=0.0)
        if longest_ms <= IMPOSSIBLE_FACTOR * job.timeout_ms:
            return None
        detail = f"a task takes about {round(longest_ms)} ms, {job.timeout_ms} are left"
        return Problem(Reason.DEADLINE, detail)

    def _check_quotas(self, job: Job, hosts: int) -> Problem | None:
        limits = self._in_force.policy.limits
        tasks = len(job.tasks)
        if self._counts.total.tasks + tasks > limits.max_queued_tasks:
            detail = f"this host has {self._counts.total.tasks} tasks in progress"
            return _refusal(Reason.OVERLOADED, detail, QUOTA_RETRY_AFTER_MS, job)
        caller = self._counts.of_caller(job.caller)
        if caller.jobs >= limits.max_jobs_per_caller:
            detail = f"the caller has {caller.jobs} jobs in progress"
            return _refusal(Reason.QUOTA, detail, QUOTA_RETRY_AFTER_MS, job)
        if caller.tasks + tasks > limits.max_tasks_per_caller:
            detail = f"the caller has {caller.tasks} tasks in progress"
            return _refusal(Reason.QUOTA, detail, QUOTA_RETRY_AFTER_MS, job)
        team_limit = self._in_force.policy.team_named(job.team).max_queued
        team = self._counts.of_team(job.team)
        if team_limit is not None and team.tasks + tasks > math.ceil(
            team_limit / hosts
        ):
            detail = f"the team has {team.tasks} tasks in progress here"
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
        policy = self._in_force.policy
        wait_ms = estimate_wait_ms(policy, backlog, class_name)
        limit_ms = policy.limits.max_queue_ms
        is_below_share = self._is_below_fair_share(job, class_name)
        if wait_ms > limit_ms * (SMALL_TEAM_FACTOR if is_below_share else 1.0):
            detail = f"the work of its class waits about {_capped(wait_ms)} ms"
            return _refusal(Reason.OVERLOADED, detail, wait_ms - limit_ms, job)
        work_ms = math.fsum(expected_ms)
        drain_ms = estimate_wait_ms(policy, backlog, class_name, work_ms)
        finish_ms = drain_ms + max(expected_ms, default=0.0)
        if finish_ms <= job.timeout_ms:
            return None
        detail = f"it would finish in about {_capped(finish_ms)} ms"
        return _refusal(Reason.OVERLOADED, detail, finish_ms - job.timeout_ms, job)

    def _is_below_fair_share(self, job: Job, class_name: str) -> bool:
        """Tell whether a team has less than its part of a full class's queue."""
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
    detail = f"{len(job.tasks)} tasks, at most {MAX_TASKS_PER_JOB} are accepted"
    return Problem(Reason.TOO_LARGE, detail)


def _capped(duration_ms: float) -> int:
    return round(min(duration_ms, 1e9))


def _refusal(reason: Reason, detail: str, retry_ms: float, job: Job) -> Problem:
    """Return a refusal whose time to come back is spread by the job's id.

    Without the spread, all that were refused together would come back together.
    """
    base_ms = min(max(retry_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
    step = xxhash.xxh3_64_intdigest(job.job_id.encode()) % JITTER_STEPS
    return Problem(reason, detail, round(base_ms * (1 + step / JITTER_STEPS)))
