"""Read-only views of a pool host for operators."""

__all__ = [
    "PoolDetails",
    "PoolQueueView",
    "PoolTargetView",
    "PoolView",
    "queue_views",
    "target_view",
]

from collections.abc import Iterable

import attrs

from hibiscusstack.pool.active_jobs import ActiveJob
from hibiscusstack.pool.target_state import TargetState


@attrs.frozen
class PoolView:
    """State of one host.

    ``term`` is the fencing token of the newest term that the host knows, 0 for none,
    and ``holder`` is the host that claimed this term. ``jobs_in_progress`` counts the
    jobs that this host coordinates, and ``jobs_waiting_here`` the jobs whose callers
    wait at this host.
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


@attrs.frozen
class PoolTargetView:
    """State of one target, as the coordinator knows it.

    ``free_cpu`` is in thousandths of a core. ``lease_left_ms`` is the time until the
    lease expires, if it isn't renewed; runs may go on for that long.
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
    """Jobs of one pool and priority with tasks that wait for free capacity."""

    pool: str
    priority: int
    jobs: int
    tasks: int
    oldest_wait_ms: int


@attrs.frozen
class PoolDetails:
    """State of a host; of its targets and queue too, if it coordinates."""

    host: PoolView
    targets: tuple[PoolTargetView, ...] = ()
    queue: tuple[PoolQueueView, ...] = ()


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


def queue_views(jobs: Iterable[ActiveJob], now_ms: float) -> list[PoolQueueView]:
    """Return a view for each pool and priority of the waiting jobs, sorted by both."""
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


def _health_label(state: TargetState, now_ms: float) -> str:
    if state.listing.is_leaving:
        return "leaving"
    if state.unlisted_since_ms is not None:
        return "unlisted"
    if state.silent_since_ms is not None:
        return "silent"
    if now_ms < state.paused_until_ms:
        return "paused"
    return "on-trial" if state.health.is_on_trial else "sound"
