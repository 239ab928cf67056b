"""Handling of run ends, and when they may be acknowledged to the target."""

__all__ = ["handle_deferred_ends", "handle_run_end"]

from hibiscusstack.pool.active_jobs import parse_task_name
from hibiscusstack.pool.coordination.closing import close_job, complete_if_done
from hibiscusstack.pool.coordination.job_tracking import (
    enqueue_job,
    find_task,
    uncount_stray_run,
)
from hibiscusstack.pool.coordination.late_ends import (
    apply_stored_end,
    apply_untracked_end,
)
from hibiscusstack.pool.coordination.requeuing import requeue_task
from hibiscusstack.pool.coordination.sending import send_hold
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.orders import RUN_DONE, RUN_FAILED, RunEnd
from hibiscusstack.pool.target_state import Run, TargetState


def handle_run_end(
    state: CoordinatorState, target: TargetState, end: RunEnd, now_ms: float
) -> None:
    """Apply a run end, or defer it until its stored job is known.

    The target keeps the end until it is acknowledged. An end that affects a stored job
    is acknowledged only once the journal has saved the effect.
    """
    journal = state.journal
    parsed = parse_task_name(end.task)
    job_id = parsed[0] if parsed else ""
    if journal is None:
        # No stored jobs are known here, so an end of an unknown job may belong to one.
        # The target keeps such an end until its earlier lease has expired, when the
        # periodic checks let it go. Only these two outcomes count.
        may_count = end.outcome in {RUN_DONE, RUN_FAILED}
        is_early = now_ms < target.no_renewal_until_ms
        if may_count and is_early and job_id not in state.jobs:
            target.note_unacknowledged(end.number, now_ms)
        _apply_run_end(state, target, end, now_ms)
        return
    if journal.is_recovering and job_id not in state.jobs:
        # The run may belong to a stored job that the journal has not read yet.
        target.note_unacknowledged(end.number, now_ms)
        state.deferred_ends.append((target, end))
        return
    if _may_be_of_unread_job(state, target, end, job_id):
        target.note_unacknowledged(end.number, now_ms)
        deferred = (target, end)
        state.deferred_ends.append(deferred)
        journal.look_up(job_id, lambda: _handle_end_after_lookup(state, deferred))
        return
    _handle_end_of_read_job(state, target, end, now_ms)


def _may_be_of_unread_job(
    state: CoordinatorState, target: TargetState, end: RunEnd, job_id: str
) -> bool:
    """Return whether an end may affect a stored job that has not been read yet.

    Only runs of an earlier coordinator may belong to such a job.
    """
    run = target.runs.get((end.task, end.run))
    is_of_earlier = run is None or (run.job is None and run.is_reported)
    return (
        is_of_earlier
        and job_id not in state.jobs
        and state.journal.may_lack_job(job_id)
    )


def _handle_end_after_lookup(
    state: CoordinatorState, deferred: tuple[TargetState, RunEnd]
) -> None:
    """Handle an end after the log was read for its job, unless that has been done.

    If the stored jobs are being recovered again, it stays deferred until they are.
    """
    if deferred not in state.deferred_ends or state.journal.is_recovering:
        return
    state.deferred_ends.remove(deferred)
    target, end = deferred
    target.unacknowledged_ends.discard(end.number)
    _handle_end_of_read_job(state, target, end, state.clock.now_ms())


def _handle_end_of_read_job(
    state: CoordinatorState, target: TargetState, end: RunEnd, now_ms: float
) -> None:
    """Apply an end; one of a stored job is acknowledged once its effect is saved."""
    journal, parsed = state.journal, parse_task_name(end.task)
    job_id = parsed[0] if parsed else ""
    _apply_run_end(state, target, end, now_ms)
    if journal.is_unsaved(job_id):
        target.note_unacknowledged(end.number, now_ms)
        journal.when_saved(
            job_id, lambda: _acknowledge_saved_end(state, target, end.number)
        )


def handle_deferred_ends(state: CoordinatorState, now_ms: float) -> None:
    """Handle the ends that arrived before all stored jobs were known."""
    deferred, state.deferred_ends = state.deferred_ends, []
    for target, end in deferred:
        target.unacknowledged_ends.discard(end.number)
        handle_run_end(state, target, end, now_ms)


def _acknowledge_saved_end(
    state: CoordinatorState, target: TargetState, number: int
) -> None:
    """Allow an end to be acknowledged; if no other is unsaved, send a hold at once."""
    target.unacknowledged_ends.discard(number)
    if target.unacknowledged_ends or target.silent_since_ms is not None:
        return
    # The next hold acknowledges the end; it is due at once.
    target.next_hold_ms = 0.0
    is_current = state.targets.get(target.listing.name) is target
    if is_current and not target.is_hold_in_flight and not state.is_superseded:
        send_hold(state, target)


def _apply_run_end(
    state: CoordinatorState, target: TargetState, end: RunEnd, now_ms: float
) -> None:
    run = target.runs.get((end.task, end.run))
    if run is None:
        apply_untracked_end(state, end)
        return
    target.remove(run)
    job, task = run.job, run.task
    if job is None or task is None:
        uncount_stray_run(state, run.name)
        # The stored job of the run may have become known since the run was added.
        job, task = find_task(state, run.name)
        if task is not None and job.is_stored:
            apply_stored_end(state, job, task, end)
        return
    # Resuming takes restore_ms, so the checkpoint of a shorter run saves nothing.
    if now_ms - run.started_ms >= state.timing.restore_ms:
        task.note_checkpoint(end.run, end.checkpoint)
    if end.outcome == RUN_DONE:
        if job.is_stored:
            state.journal.task_done(job.job.job_id, task.key)
        _record_success(state, target, run, now_ms)
    elif end.outcome == RUN_FAILED:
        if job.is_stored:
            state.journal.task_failed(job.job.job_id, task.key, run.number)
        _record_failure(state, target, run, now_ms)
    else:
        requeue_task(state, target, run, now_ms, end.outcome)


def _record_success(
    state: CoordinatorState, target: TargetState, run: Run, now_ms: float
) -> None:
    target.health.note_success()
    job, task = run.job, run.task
    if task.is_suspect:
        state.losses.refute(target.instance_key)
        state.losses.clear(run.name)
    job.active_count -= 1
    job.note_run_time(task, now_ms - run.started_ms)
    job.note_done(task)
    if job.job.job_id not in state.jobs:
        return
    complete_if_done(state, job)
    if job.ready:
        enqueue_job(state, job)


def _record_failure(
    state: CoordinatorState, target: TargetState, run: Run, now_ms: float
) -> None:
    target.paused_until_ms = max(
        target.paused_until_ms, target.health.note_failure(now_ms)
    )
    run.task.failures += 1
    run.task.avoided_targets.add(target.listing.name)
    if run.task.failures >= run.job.job.max_attempts:
        run.job.active_count -= 1
        close_job(
            state,
            run.job,
            JobEnd.FAILED,
            "a task reached its maximum number of attempts",
        )
        return
    requeue_task(state, target, run, now_ms, "failed")
