"""Adoption of runs that an earlier coordinator started for jobs known here."""

__all__ = ["add_unknown_run", "adopt_stray_runs"]

from hibiscusstack.pool.active_jobs import ActiveJob, PoolTask
from hibiscusstack.pool.coordination.job_tracking import (
    activate_task,
    count_stray_run,
    enqueue_job,
    find_task,
    has_only_unheard_owners,
    uncount_stray_run,
)
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.jobs import NO_RESOURCES
from hibiscusstack.pool.target_state import Run, RunState, TargetState


def add_unknown_run(
    state: CoordinatorState, target: TargetState, key: tuple[str, int], now_ms: float
) -> None:
    """Add a run that was not started here, and adopt it if its task is ready."""
    name, number = key
    run = Run(name, number, None, None, NO_RESOURCES, RunState.RUNNING, now_ms)
    run.is_reported = run.has_unknown_needs = True
    run.confirmed_ms = now_ms
    target.add(run)
    count_stray_run(state, name)
    _adopt_if_waiting(state, target, run, *find_task(state, name))


def adopt_stray_runs(state: CoordinatorState) -> None:
    """Adopt the stray runs of jobs that became known only after the runs."""
    for target in state.targets.values():
        for run in list(target.runs.values()):
            if run.job is None and run.state is not RunState.STOPPING:
                _adopt_if_waiting(state, target, run, *find_task(state, run.name))


def _adopt_if_waiting(
    state: CoordinatorState,
    target: TargetState,
    run: Run,
    job: ActiveJob | None,
    task: PoolTask | None,
) -> None:
    if task is None or task not in job.ready:
        return
    if state.is_deputy or has_only_unheard_owners(state, job):
        return
    # A run is continued only where a later coordinator will look for it.
    if not target.is_recorded:
        return
    uncount_stray_run(state, run.name)
    target.remove(run)
    run.job, run.task, run.needs = job, task, task.step.needs
    run.has_unknown_needs = False
    target.add(run)
    activate_task(state, job, task, run.started_ms)
    task.next_run = max(task.next_run, run.number + 1)
    # Requeue the job: started jobs come first and are not rejected as late.
    state.queue.discard(job)
    enqueue_job(state, job)
    state.events.run_adopted(
        run, target.listing.name, state.token, state.clock.now_ms()
    )
