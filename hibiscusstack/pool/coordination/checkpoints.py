"""Checkpoints from which the next runs of tasks resume."""

__all__ = ["record_checkpoints", "save_checkpoint"]

from hibiscusstack.pool.active_jobs import ActiveJob, PoolTask
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.orders import HoldReply
from hibiscusstack.pool.target_state import TargetState


def record_checkpoints(target: TargetState, reply: HoldReply) -> None:
    """Record the checkpoints of the runs that a target reported."""
    for name, number, checkpoint in reply.checkpoints:
        run = target.runs.get((name, number))
        if run is not None and run.task is not None:
            run.task.note_checkpoint(number, checkpoint)


def save_checkpoint(state: CoordinatorState, job: ActiveJob, task: PoolTask) -> None:
    """Write the newest checkpoint to the journal, if the task is of a stored job."""
    if job.is_stored and task.checkpoint:
        state.journal.task_checkpointed(
            job.job.job_id, task.key, task.checkpoint_run, task.checkpoint
        )
