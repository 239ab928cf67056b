"""Log events that tell why tasks wait for an earlier run, or need not wait for it."""

__all__ = ["UNEXPLAINED", "note_delay", "note_resubmitted_start"]

from collections.abc import Iterable, Iterator
from itertools import islice

from hibiscusstack.pool.active_jobs import ActiveJob
from hibiscusstack.pool.coordination.job_tracking import has_only_unheard_owners
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.target_state import Run, TakeoverPhase, TargetState

MAX_LOGGED_NAMES = 5
UNEXPLAINED = "other"


def note_delay(state: CoordinatorState, job: ActiveJob, now_ms: float) -> None:
    """Count and log the first delay of a job for which an earlier run may be active.

    To be called when no task of the job may start. A job that is neither resubmitted
    nor has stray runs waits for its owner only, which isn't logged.
    """
    if job.is_delay_noted:
        return
    has_stray_runs = job.job.job_id in state.stray_run_counts
    if not job.is_resubmitted and not has_stray_runs:
        return
    job.is_delay_noted = True
    cause, names = _explain_delay(state, job, has_stray_runs)
    state.events.start_delayed(job, cause, names, state.token, now_ms)


def note_resubmitted_start(
    state: CoordinatorState, run: Run, target: TargetState, now_ms: float
) -> None:
    """Count and log why a task of a resubmitted job may start."""
    last_seen_ms = run.job.earlier_coordinator_last_seen_ms
    if now_ms >= last_seen_ms + state.timing.max_orphan_run_ms:
        reason = "leases expired"
    elif state.is_deputy or any(state.missing_names()):
        reason = UNEXPLAINED
    else:
        reason = "all recorded targets held"
    name = target.listing.name
    state.events.resubmitted_run_started(run, name, state.token, now_ms, reason)


def _explain_delay(
    state: CoordinatorState, job: ActiveJob, has_stray_runs: bool
) -> tuple[str, list[str]]:
    """Return the first cause of the delay, and some names of targets or hosts."""
    cause, names = UNEXPLAINED, iter(())
    if has_stray_runs:
        cause, names = "stray runs", _targets_with_stray_runs(state, job)
    elif has_only_unheard_owners(state, job):
        cause, names = "owners not heard", (owner.name for owner, _ in job.submissions)
    elif state.is_deputy:
        cause = "deputy"
    elif missing := sorted(state.missing_names()):
        cause, names = "missing targets", iter(missing)
    elif not_held := _first_names(
        target
        for target in state.targets.values()
        if target.phase is not TakeoverPhase.HELD
    ):
        cause, names = "targets not held", iter(not_held)
    elif silent := _first_names(
        target
        for target in state.targets.values()
        if target.silent_since_ms is not None
    ):
        cause, names = "silent targets", iter(silent)
    return cause, list(islice(names, MAX_LOGGED_NAMES))


def _first_names(targets: Iterable[TargetState]) -> list[str]:
    return [target.listing.name for target in islice(targets, MAX_LOGGED_NAMES)]


def _targets_with_stray_runs(state: CoordinatorState, job: ActiveJob) -> Iterator[str]:
    prefix = f"{job.job.job_id}."
    return (
        target.listing.name
        for target in state.targets.values()
        if any(
            run.job is None and run.name.startswith(prefix)
            for run in target.runs.values()
        )
    )
