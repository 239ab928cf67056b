"""Data centres that are evacuated: no starts there, and no waiting for their room."""

__all__ = ["log_emptied", "refuse_stranded_jobs", "set_evacuated"]

from collections.abc import Collection

from eliot import log_message

from hibiscusstack.pool.coordination.closing import close_job
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.room_kinds import RoomLimits


def set_evacuated(state: CoordinatorState, data_centres: Collection[str]) -> None:
    """Set the data centres at whose targets nothing more is started.

    What runs there ends in its own time, and its leases are renewed as before.
    """
    names = frozenset(data_centres)
    if names == state.evacuated:
        return
    state.evacuated = names
    state.unemptied = set(names)
    state.room_limits = None
    for target in state.targets.values():
        state.update_evacuated(target)
    for name in sorted(names):
        targets = _targets_in(state, name)
        log_message(
            "pool:evacuating",
            data_centre=name,
            token=state.token,
            targets=len(targets),
            runs=sum(len(target.runs) for target in targets),
        )


def refuse_stranded_jobs(state: CoordinatorState) -> None:
    """Refuse the jobs at once that only evacuated targets have room for.

    A stored job waits, and so does one that has begun, since it can't be refused as not
    run.
    """
    if not state.evacuated:
        return
    limits = RoomLimits(target.listing for target in state.targets.values())
    for queue in state.queue.dormant_kinds():
        if not limits.may_fit(queue.kind):
            continue
        for job in queue.jobs():
            if not job.is_stored and job.first_start_ms is None:
                close_job(state, job, JobEnd.REFUSED, "its data centre is evacuated")


def log_emptied(state: CoordinatorState) -> None:
    """Log the data centres where the last run has ended, once for each request."""
    for name in sorted(state.unemptied):
        if not any(target.runs for target in _targets_in(state, name)):
            state.unemptied.discard(name)
            log_message("pool:evacuated", data_centre=name, token=state.token)


def _targets_in(state: CoordinatorState, data_centre: str) -> list:
    return [
        target
        for target in state.targets.values()
        if target.listing.data_centre == data_centre
    ]
