"""Requeuing of tasks whose runs ended without a result."""

__all__ = ["await_term_confirmation", "drop_all_runs", "drop_run", "requeue_task"]

from hibiscusstack.pool.active_jobs import TaskState
from hibiscusstack.pool.coordination.checkpoints import save_checkpoint
from hibiscusstack.pool.coordination.job_tracking import enqueue_job, uncount_stray_run
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.target_state import Run, TargetState


def requeue_task(
    state: CoordinatorState, target: TargetState, run: Run, now_ms: float, cause: str
) -> None:
    """Requeue the task of a run that ended without a result at ``target``."""
    job, task = run.job, run.task
    job.active_count -= 1
    task.state = TaskState.WAITING
    if state.jobs.get(job.job.job_id) is not job:
        return
    save_checkpoint(state, job, task)
    state.events.task_requeued(run, target, cause, now_ms)
    job.ready.insert(0, task)
    enqueue_job(state, job)


def await_term_confirmation(state: CoordinatorState, run: Run, now_ms: float) -> None:
    """Let a stored task wait until it is known that no successor had its run.

    A successor may have renewed the lease of the run, or have handled its end. Hosts
    hand jobs with callers to a successor, which the silence of their owners shows.
    """
    if run.job is not None and run.job.is_stored:
        run.task.presumed_end_ms = state.presumed_end_ms = now_ms


def drop_run(
    state: CoordinatorState,
    target: TargetState,
    run: Run,
    now_ms: float,
    cause: str = "not listed by the target",
    *,
    is_presumed: bool = False,
) -> None:
    """Treat a run as ended, because its target will not report its end.

    An end that ``is_presumed`` was concluded without word of the target.
    """
    target.remove(run)
    if run.job is None:
        uncount_stray_run(state, run.name)
        return
    if is_presumed:
        await_term_confirmation(state, run, now_ms)
    requeue_task(state, target, run, now_ms, cause)


def drop_all_runs(
    state: CoordinatorState, target: TargetState, now_ms: float, cause: str
) -> None:
    """Presume all runs of a target ended, since its instance or lease has ended."""
    state.events.runs_lost(target, cause, now_ms)
    for run in list(target.runs.values()):
        drop_run(state, target, run, now_ms, cause, is_presumed=True)
