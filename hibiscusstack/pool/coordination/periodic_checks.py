"""Periodic checks: expired leases, hung runs, due holds and late jobs."""

__all__ = ["run_periodic_checks"]

from collections import Counter

from eliot import log_message

from hibiscusstack.pool.coordination.closing import close_job
from hibiscusstack.pool.coordination.evacuating import (
    log_emptied,
    refuse_stranded_jobs,
)
from hibiscusstack.pool.coordination.lost_targets import (
    drop_lost_runs,
    has_left_as_announced,
    note_loss,
)
from hibiscusstack.pool.coordination.requeuing import drop_run
from hibiscusstack.pool.coordination.sending import (
    send_hold,
    send_poll,
    send_stop,
)
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.coordination.target_instances import remove_instance
from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.target_losses import LossEvidence
from hibiscusstack.pool.target_state import Run, RunState, TakeoverPhase, TargetState

LOSS_NOTICE_MS = 50
TARGETS_PER_CHECK = 32
MAX_CHECK_GROUPS = 5
# Checks are to come every 10 ms.
LATE_CHECK_MS = 30


def run_periodic_checks(state: CoordinatorState) -> None:
    """Check one group of the targets, and all waiting jobs.

    Each call delays the handling of replies by its own cost. Many targets are
    therefore split into groups, and each call checks the next group.
    """
    now_ms = state.clock.now_ms()
    targets = list(state.targets.values())
    group_count = min(MAX_CHECK_GROUPS, 1 + len(targets) // TARGETS_PER_CHECK)
    state.check_count += 1
    if now_ms - state.last_check_ms > LATE_CHECK_MS:
        state.punctual_since_ms = now_ms
    state.last_check_ms = now_ms
    for target in targets[state.check_count % group_count :: group_count]:
        _check_target(state, target, now_ms)
    log_emptied(state)
    refuse_stranded_jobs(state)
    _reject_late_jobs(state, now_ms)


def _check_target(state: CoordinatorState, target: TargetState, now_ms: float) -> None:
    if target.phase is TakeoverPhase.FENCED:
        _drop_fenced_runs(state, target, now_ms)
        return
    if target.silent_since_ms is not None and target.runs:
        _check_lost_runs(state, target, now_ms)
    # Ends of stored jobs from before then must not count, so the target may drop them.
    if state.is_deputy and now_ms >= target.no_renewal_until_ms:
        target.unacknowledged_ends.clear()
    _stop_runs(state, target, now_ms)
    _probe_if_overdue(state, target, now_ms)
    if not target.is_hold_in_flight and now_ms >= target.next_hold_ms:
        send_hold(state, target)
    unlisted_ms = target.unlisted_since_ms
    is_gone = (
        unlisted_ms is not None and now_ms - unlisted_ms > state.timing.unlisted_ms
    )
    if is_gone and not target.runs:
        remove_instance(state, target, "no longer listed")


def _probe_if_overdue(
    state: CoordinatorState, target: TargetState, now_ms: float
) -> None:
    """Poll a target with runs that owes a reply, over another connection.

    One order without a reply says little of the target, which may answer the next.
    Replies that a late loop has not read yet aren't missing, and polls for them would
    make it later still, so the time of a late loop doesn't count.
    """
    if not target.runs:
        return
    if target.silent_since_ms is not None:
        owed_since_ms = target.silent_since_ms - state.timing.overdue_ms
    elif target.is_hold_in_flight and target.last_heard_ms <= target.hold_sent_ms:
        owed_since_ms = target.hold_sent_ms + target.hold_wait_ms
    else:
        return
    since_ms = max(owed_since_ms, state.punctual_since_ms, target.last_probe_ms)
    if now_ms >= since_ms + state.timing.overdue_ms:
        target.last_probe_ms = now_ms
        send_poll(state, target, is_probe=True)


def _check_lost_runs(
    state: CoordinatorState, target: TargetState, now_ms: float
) -> None:
    """Drop the runs of a silent target once its lease has expired.

    The loss is noted before that if its address refuses connections, so that it is
    recorded in the log as early as possible.
    """
    evidence = LossEvidence.REFUSING if target.is_refusing else LossEvidence.SILENT
    is_over = target.lease_expiry_ms <= now_ms
    if is_over or (
        target.is_refusing and now_ms - target.silent_since_ms >= LOSS_NOTICE_MS
    ):
        note_loss(state, target, evidence)
    if is_over:
        has_left = has_left_as_announced(state, target)
        cause = "the target has left" if has_left else "the lease expired"
        drop_lost_runs(state, target, now_ms, cause)


def _drop_fenced_runs(
    state: CoordinatorState, target: TargetState, now_ms: float
) -> None:
    """Treat the runs at a fenced target as ended, once they cannot be active.

    The coordinator that fenced the target may have adopted them if it is the holder of
    a later term. A deputy adopts none.
    """
    if now_ms - target.fenced_ms < state.timing.max_orphan_run_ms:
        return
    for run in list(target.runs.values()):
        drop_run(state, target, run, now_ms, "the lease expired", is_presumed=True)


def _stop_runs(state: CoordinatorState, target: TargetState, now_ms: float) -> None:
    """Stop hung runs, and resend stops that were not confirmed."""
    retry_ms = state.timing.order_retry_ms
    for run in list(target.runs.values()):
        if run.state is RunState.STOPPING:
            if run.stop_confirmed_ms is None and now_ms - run.stop_sent_ms >= retry_ms:
                send_stop(state, target, run)
        elif run.job is not None and run.is_overdue():
            _stop_overdue_run(state, target, run, now_ms)


def _stop_overdue_run(
    state: CoordinatorState, target: TargetState, run: Run, now_ms: float
) -> None:
    """Stop a hung run; its task should then run on another target."""
    run.task.avoided_targets.add(target.listing.name)
    run.task.overdue_count += 1
    state.events.counters.overdue_runs += 1
    paused_until_ms = target.health.note_fault(now_ms)
    target.paused_until_ms = max(target.paused_until_ms, paused_until_ms)
    log_message(
        "pool:run_overdue",
        target=target.listing.name,
        task=run.name,
        ran_ms=int(now_ms - run.started_ms),
        estimate_ms=run.task.step.estimate_ms,
    )
    send_stop(state, target, run)


def _reject_late_jobs(state: CoordinatorState, now_ms: float) -> None:
    """Reject the waiting jobs that, by the rules of the queue, would end too late."""
    queue = state.queue
    if not len(queue):
        return
    queue.demote_late(now_ms)
    capacity_milli = _expected_capacity_milli(state, now_ms)
    capacity = ""
    for find_jobs in (
        lambda: queue.check_early_rejections(now_ms, capacity_milli),
        lambda: queue.jobs_past_cutoff(now_ms),
    ):
        for job in find_jobs():
            capacity = capacity or _describe_capacity(state, capacity_milli, now_ms)
            close_job(state, job, JobEnd.REFUSED, "no capacity in time", capacity)


def _describe_capacity(
    state: CoordinatorState, capacity_milli: int, now_ms: float
) -> str:
    """Return what is logged with refused jobs about the targets and the queue.

    ``capacity_milli`` is the capacity with which waiting times were estimated, and
    ``usable`` counts the targets on which runs may start now. ``waiting_core_ms`` is
    the estimated work of all tasks that wait, in milliseconds of one core. One field
    for all is cheaper to log than one for each.
    """
    usable = [target for target in state.targets.values() if target.may_start(now_ms)]
    held_count = sum(
        target.phase is TakeoverPhase.HELD for target in state.targets.values()
    )
    waiting_milli_ms = sum(
        job.waiting_work_milli_ms() for job in state.queue.in_order()
    )
    used_milli = sum(target.used.cpu_milli for target in usable)
    return (
        f"listed:{len(state.listed)},held:{held_count},"
        f"not_held:{len(state.targets) - held_count},usable:{len(usable)},"
        f"capacity_milli:{capacity_milli},used_milli:{used_milli},"
        f"waiting_core_ms:{int(waiting_milli_ms / 1_000)}"
        f"{_describe_unusable(state, now_ms)}"
    )


def _describe_unusable(state: CoordinatorState, now_ms: float) -> str:
    """Return how many targets may start nothing, by the first reason that applies."""
    counts = Counter(
        reason
        for target in state.targets.values()
        if (reason := target.reason_not_to_start(now_ms))
    )
    return "".join(f",{reason}:{count}" for reason, count in sorted(counts.items()))


def _expected_capacity_milli(state: CoordinatorState, now_ms: float) -> int:
    """Return the CPU capacity that is expected soon, 0 while no target may start runs.

    A target that is being taken over or has just fallen silent counts, since it will
    probably be usable in a moment. One that stays silent for a whole lease does not.
    """
    targets = state.targets.values()
    if not any(target.may_start(now_ms) for target in targets):
        return 0
    return sum(
        target.listing.capacity.cpu_milli
        for target in targets
        if target.phase is not TakeoverPhase.FENCED
        and not target.listing.is_leaving
        and not target.is_evacuated
        and now_ms >= target.paused_until_ms
        and not _is_away(state, target, now_ms)
    )


def _is_away(state: CoordinatorState, target: TargetState, now_ms: float) -> bool:
    """Return whether a target has been silent for as long as a lease lasts."""
    silent_since_ms = target.silent_since_ms
    return (
        silent_since_ms is not None
        and now_ms >= silent_since_ms + state.timing.max_lease_ms
    )
