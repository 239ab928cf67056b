"""Tasks that were lost with their targets, and may have crashed them."""

__all__ = [
    "drop_lost_runs",
    "fail_if_given_up",
    "has_left_as_announced",
    "mark_suspects",
    "note_loss",
    "refute_survived_loss",
]

from hibiscusstack.pool.active_jobs import ActiveJob, parse_task_name
from hibiscusstack.pool.coordination.closing import close_job
from hibiscusstack.pool.coordination.job_tracking import find_task
from hibiscusstack.pool.coordination.requeuing import drop_all_runs
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.target_losses import MIN_CRASHES, LossEvidence, TargetLoss
from hibiscusstack.pool.target_state import RunKey, TargetState

# Targets that fall silent within this time are lost for a common reason.
SAME_TIME_MS = 50


def note_loss(
    state: CoordinatorState,
    target: TargetState,
    evidence: LossEvidence,
    alive: frozenset[RunKey] = frozenset(),
) -> None:
    """Note the loss of a target instance, except for its runs that are ``alive``.

    The end that a target has announced is no loss.
    """
    if has_left_as_announced(state, target):
        withdraw_start(state, target)
        return
    known = state.losses.loss(target.instance_key)
    tasks = frozenset(
        name for name, number in target.runs if (name, number) not in alive
    )
    if not tasks:
        return
    if known is not None and known.evidence >= evidence:
        return
    state.losses.note(
        TargetLoss(
            *target.instance_key,
            tasks,
            evidence,
            _is_single(state, target),
        )
    )
    for run in target.runs.values():
        if run.task is not None and run.name in tasks:
            run.task.is_suspect = state.losses.must_isolate(run.name)


def has_left_as_announced(state: CoordinatorState, target: TargetState) -> bool:
    """Return whether a lost target has left as it had announced.

    One that is lost earlier than that has crashed or was cut off, as any other.
    """
    lost_ms = target.silent_since_ms
    if lost_ms is None:
        lost_ms = state.clock.now_ms()
    return target.listing.is_leaving and lost_ms >= target.listing.leaves_after_ms


def withdraw_start(state: CoordinatorState, target: TargetState) -> None:
    """Drop the recorded start of a suspect at a target that has left as announced.

    Each further start counts nevertheless for a task whose starts are bounded.
    """
    start = state.losses.loss(target.instance_key)
    if start is None or start.evidence is not LossEvidence.STARTED:
        return
    if not any(_must_count_start(state, name, start) for name in start.tasks):
        state.losses.refute(start.key)


def _is_single(state: CoordinatorState, target: TargetState) -> bool:
    """Return whether no other target fell silent at about the same time."""
    silent_ms = target.silent_since_ms
    return silent_ms is None or not any(
        other is not target
        and other.silent_since_ms is not None
        and abs(other.silent_since_ms - silent_ms) <= SAME_TIME_MS
        for other in state.targets.values()
    )


def drop_lost_runs(
    state: CoordinatorState, target: TargetState, now_ms: float, cause: str
) -> None:
    """Treat the runs of a lost target as ended, and give up tasks that crash targets.

    The loss must have been noted. The other tasks are requeued.
    """
    jobs = [run.job for run in target.runs.values() if run.job is not None]
    drop_all_runs(state, target, now_ms, cause)
    for job in jobs:
        if state.jobs.get(job.job.job_id) is job:
            fail_if_given_up(state, job)


def fail_if_given_up(state: CoordinatorState, job: ActiveJob) -> bool:
    """Fail a job if one of its tasks has crashed too many targets; return whether.

    A job that was given up before is answered alike when it is submitted again.
    """
    job_id = job.job.job_id
    cause = state.losses.given_up_cause(job_id)
    for name in () if cause else sorted(state.losses.suspects_of(job_id)):
        task = job.tasks.get(parse_task_name(name)[1])
        pending = None if task is None else task.recorded_start
        losses = state.losses.responsible_losses(name, job.is_stored, pending)
        if losses:
            state.events.task_given_up(job, name, losses, state.clock.now_ms())
            targets = ", ".join(sorted(loss.target for loss in losses))
            cause = f"given up: task {name} crashed targets {targets}"
            state.losses.give_up(job_id, cause)
            break
    if cause:
        close_job(state, job, JobEnd.FAILED, cause)
    return bool(cause)


def mark_suspects(state: CoordinatorState, job: ActiveJob) -> None:
    """Mark the tasks of a job that may have crashed targets as suspects."""
    for name in state.losses.suspects_of(job.job.job_id):
        task = job.tasks.get(parse_task_name(name)[1])
        if task is not None:
            task.is_suspect = state.losses.must_isolate(name)


def refute_survived_loss(state: CoordinatorState, target: TargetState) -> None:
    """Drop the loss of an instance that has answered, unless it still counts.

    A start that is recorded beforehand and not made yet has nothing to survive. And
    each further start counts for a task whose starts are bounded.
    """
    loss = state.losses.loss(target.instance_key)
    if loss is None:
        return
    if not loss.is_crash:
        for name in loss.tasks:
            job, task = find_task(state, name)
            if task is None:
                continue
            is_pending = task.recorded_start == loss.key
            if is_pending or (job.is_stored and _must_count_start(state, name, loss)):
                return
    state.losses.refute(loss.key)


def _must_count_start(state: CoordinatorState, name: str, start: TargetLoss) -> bool:
    """Return whether a start counts although its target has survived it.

    This holds for a task that has crashed two targets otherwise, until it is done. Its
    runs may end for other reasons again and again, as when coordinators change.
    """
    others = (loss for loss in state.losses.losses_of(name) if loss.key != start.key)
    crash_count = sum(loss.is_crash for loss in others)
    return start.tasks == {name} and crash_count >= MIN_CRASHES
