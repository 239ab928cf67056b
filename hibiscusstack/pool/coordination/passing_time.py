"""What the passing of time brings: lapsed leases, hung runs, holds that are due."""

__all__ = ["pass_time"]

from eliot import log_message

from hibiscusstack.pool.coordination.closing import close_job
from hibiscusstack.pool.coordination.lives import end_life
from hibiscusstack.pool.coordination.making_again import drop_all_runs, drop_run
from hibiscusstack.pool.coordination.sending import send_hold, send_stop
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.target_state import Run, RunState, TakeoverPhase, TargetState

MOST_LOOKED_AT = 32
MOST_TURNS = 5


def pass_time(state: CoordinatorState) -> None:
    """Look at the targets and at each waiting job.

    Many targets are looked at in turns, since the cost of a call bounds how soon
    replies are taken.
    """
    now_ms = state.clock.now_ms()
    targets = list(state.targets.values())
    turns = min(MOST_TURNS, 1 + len(targets) // MOST_LOOKED_AT)
    state.turn += 1
    for target in targets[state.turn % turns :: turns]:
        _look_at(state, target, now_ms)
    _refuse_hopeless(state, now_ms)


def _look_at(state: CoordinatorState, target: TargetState, now_ms: float) -> None:
    if target.phase is TakeoverPhase.FENCED:
        _drop_fenced_runs(state, target, now_ms)
        return
    if target.lease_expiry_ms <= now_ms and target.silent_since_ms is not None:
        drop_all_runs(state, target, now_ms, "the lease lapsed")
    if state.voids_ends and now_ms >= target.no_renewal_until_ms:
        target.unacknowledged_ends.clear()
    _stop_runs(state, target, now_ms)
    if not target.is_hold_in_flight and now_ms >= target.next_hold_ms:
        send_hold(state, target)
    unlisted_ms = target.unlisted_since_ms
    is_gone = (
        unlisted_ms is not None and now_ms - unlisted_ms > state.timing.unlisted_ms
    )
    if is_gone and not target.runs:
        end_life(state, target, "not listed any more")


def _drop_fenced_runs(
    state: CoordinatorState, target: TargetState, now_ms: float
) -> None:
    """Take the runs of a target as ended that whoever took it may have adopted.

    If a later term has taken stored jobs over, this host knows by ``seclusion_ms``.
    """
    over_ms = now_ms - target.fenced_ms - state.timing.max_orphan_run_ms
    if over_ms < 0:
        return
    for run in list(target.runs.values()):
        is_stored = run.job is not None and run.job.is_stored
        if not is_stored or over_ms >= state.timing.seclusion_ms:
            drop_run(state, target, run, now_ms, "the lease lapsed")


def _stop_runs(state: CoordinatorState, target: TargetState, now_ms: float) -> None:
    """Stop runs that hang, and send stops again that were not confirmed."""
    retry_ms = state.timing.order_retry_ms
    for run in list(target.runs.values()):
        if run.state is RunState.STOPPING:
            if run.stop_confirmed_ms is None and now_ms - run.stop_sent_ms >= retry_ms:
                send_stop(state, target, run)
        elif run.job is not None and run.is_overdue(now_ms):
            _give_up_run(state, target, run, now_ms)


def _give_up_run(
    state: CoordinatorState, target: TargetState, run: Run, now_ms: float
) -> None:
    """Stop a run that hangs, to make it elsewhere."""
    run.task.avoided_targets.add(target.listing.name)
    run.task.overdue_count += 1
    state.events.counters.overdue_runs += 1
    pause_ms = target.health.note_fault(now_ms)
    target.paused_until_ms = max(target.paused_until_ms, pause_ms)
    log_message(
        "pool:run_overdue",
        target=target.listing.name,
        task=run.name,
        ran_ms=int(now_ms - run.started_ms),
        estimate_ms=run.task.step.estimate_ms,
    )
    send_stop(state, target, run)


def _refuse_hopeless(state: CoordinatorState, now_ms: float) -> None:
    """Refuse the jobs that the queue leaves no chance."""
    queue = state.queue
    if not len(queue):
        return
    queue.demote_late(now_ms)
    capacity_milli = sum(
        target.listing.capacity.cpu_milli
        for target in state.targets.values()
        if target.may_start(now_ms)
    )
    for job in queue.check_early_rejections(now_ms, capacity_milli):
        close_job(state, job, JobEnd.REFUSED, "no room in time")
    for job in queue.jobs_past_cutoff(now_ms):
        close_job(state, job, JobEnd.REFUSED, "no room in time")
