"""Read-only views of a pool host for operators."""

__all__ = [
    "PoolDetails",
    "PoolEvacuationView",
    "PoolQueueView",
    "PoolRunView",
    "PoolTargetView",
    "PoolView",
    "evacuation_views",
    "queue_views",
    "run_views",
    "target_view",
]

from collections.abc import Iterable, Mapping

import attrs

from hibiscusstack.pool.active_jobs import ActiveJob, parse_task_name
from hibiscusstack.pool.events import RecentRun
from hibiscusstack.pool.target_state import TargetState


@attrs.frozen
class PoolView:
    """State of one host.

    ``incarnation`` identifies the start of the host's process, and ``phase`` is
    "starting", "waiting", "ready" or "draining". ``term`` is the fencing token of the
    newest term that the host knows, 0 for none, and ``holder`` is the host that claimed
    this term. ``routes`` counts the routes of the configuration, and
    ``listed_targets`` the targets that are registered now. ``jobs_in_progress`` counts
    the jobs that this host coordinates, and ``jobs_waiting_here`` the jobs that this
    host received and has not answered yet, whether they run or not.
    ``missing_targets`` counts the recorded targets for which resubmitted jobs wait,
    because this coordinator does not control them and another may have work there.
    """

    host: str
    data_centre: str
    incarnation: int
    phase: str
    term: int
    holder: str
    is_coordinator: bool
    configuration_version: int
    routes: int
    listed_targets: int
    jobs_in_progress: int
    jobs_waiting_here: int
    missing_targets: int = 0


@attrs.frozen
class PoolTargetView:
    """State of one target, as the coordinator knows it.

    ``phase`` is a :class:`~hibiscusstack.pool.target_state.TakeoverPhase`. ``health``
    is one of these, the first that applies:

    - "leaving": the target is registered as leaving and gets no new runs;
    - "evacuated": its data centre is evacuated, so it gets no new runs;
    - "unlisted": the target is no longer registered;
    - "unrecorded": the log has no record of the target yet, without which it can't be
      used;
    - "silent": the target does not respond;
    - "paused": after a failure, a hang or a refused start, no runs start for a while;
    - "on-trial": after failures, the target gets one run at a time;
    - "sound": none of the above.

    ``free_cpu`` is in thousandths of a core. ``lease_left_ms`` is the time until the
    lease expires, if it isn't renewed; until then the target's runs may continue.
    """

    name: str
    pool: str
    data_centre: str
    phase: str
    health: str
    runs: int
    free_cpu: int
    free_memory_mb: int
    lease_left_ms: int


@attrs.frozen
class PoolQueueView:
    """Jobs of one pool and priority with tasks that wait for free capacity.

    ``tasks`` counts only the tasks that are ready to start. ``oldest_wait_ms`` is the
    time since the oldest of the jobs was received, even if some of its tasks have run.
    """

    pool: str
    priority: int
    jobs: int
    tasks: int
    oldest_wait_ms: int


@attrs.frozen
class PoolRunView:
    """One of the last runs that a host started or adopted as a coordinator.

    ``kind`` is "started", "resubmitted" if the job was resubmitted, or "adopted".
    ``token`` is the fencing token under which ``host`` coordinated, and ``age_ms`` the
    time since the start or adoption. Nothing is said of how the run ended.
    """

    host: str
    age_ms: int
    kind: str
    job: str
    task: str
    run: int
    target: str
    token: int


@attrs.frozen
class PoolEvacuationView:
    """A data centre that operators have asked to evacuate, as a coordinator sees it.

    ``asked_ms`` is the time since this host has read the request. ``runs`` are those
    that go on there until they end, on ``busy_targets`` of the ``targets``.
    """

    data_centre: str
    asked_ms: int
    targets: int
    busy_targets: int
    runs: int


@attrs.frozen
class PoolDetails:
    """State of a host; of its targets, queue and evacuations too, if it coordinates."""

    host: PoolView
    targets: tuple[PoolTargetView, ...] = ()
    queue: tuple[PoolQueueView, ...] = ()
    evacuations: tuple[PoolEvacuationView, ...] = ()


def target_view(state: TargetState, now_ms: float) -> PoolTargetView:
    """Return the view of a target at ``now_ms``."""
    return PoolTargetView(
        name=state.listing.name,
        pool=state.listing.pool,
        data_centre=state.listing.data_centre,
        phase=state.phase.value,
        health=_health_label(state, now_ms),
        runs=len(state.runs),
        free_cpu=state.free.cpu_milli,
        free_memory_mb=state.free.memory_mb,
        lease_left_ms=max(0, int(state.lease_expiry_ms - now_ms)),
    )


def evacuation_views(
    since_ms: Mapping[str, float], targets: Iterable[TargetState], now_ms: float
) -> list[PoolEvacuationView]:
    """Return a view for each data centre that is evacuated, sorted by its name."""
    runs_by_data_centre: dict[str, list[int]] = {name: [] for name in since_ms}
    for target in targets:
        runs = runs_by_data_centre.get(target.listing.data_centre)
        if runs is not None:
            runs.append(len(target.runs))
    return [
        PoolEvacuationView(
            data_centre=name,
            asked_ms=int(now_ms - since_ms[name]),
            targets=len(runs),
            busy_targets=sum(map(bool, runs)),
            runs=sum(runs),
        )
        for name, runs in sorted(runs_by_data_centre.items())
    ]


def queue_views(jobs: Iterable[ActiveJob], now_ms: float) -> list[PoolQueueView]:
    """Return a view for each pool and priority, sorted by pool, then priority.

    ``jobs`` must be only the jobs with tasks that wait for free capacity.
    """
    jobs_by_queue: dict[tuple[str, int], list[ActiveJob]] = {}
    for job in jobs:
        jobs_by_queue.setdefault((job.job.pool, job.job.priority), []).append(job)
    return [
        PoolQueueView(
            pool=pool,
            priority=priority,
            jobs=len(queue_jobs),
            tasks=sum(len(job.ready) for job in queue_jobs),
            oldest_wait_ms=int(now_ms - min(job.received_ms for job in queue_jobs)),
        )
        for (pool, priority), queue_jobs in sorted(jobs_by_queue.items())
    ]


def run_views(
    host: str, runs: Iterable[RecentRun], now_ms: float, job_id: str | None = None
) -> list[PoolRunView]:
    """Return a view of each run, or of those of one job, in the same order."""
    views = []
    for started_ms, name, number, target, token, kind in runs:
        parsed = parse_task_name(name)
        job = parsed[0] if parsed is not None else name
        if job_id is None or job == job_id:
            age_ms = int(now_ms - started_ms)
            views.append(
                PoolRunView(host, age_ms, kind, job, name, number, target, token)
            )
    return views


def _health_label(state: TargetState, now_ms: float) -> str:
    labels = {
        "leaving": state.listing.is_leaving,
        "evacuated": state.is_evacuated,
        "unlisted": state.unlisted_since_ms is not None,
        "unrecorded": not state.is_recorded,
        "silent": state.silent_since_ms is not None,
        "paused": now_ms < state.paused_until_ms,
        "on-trial": state.health.is_on_trial,
        "sound": True,
    }
    return next(label for label, applies in labels.items() if applies)
