"""Processing of the runs and ends that a target reports in its reply to a hold."""

__all__ = ["apply_reported_runs"]

from hibiscusstack.pool.coordination.adoption import add_unknown_run
from hibiscusstack.pool.coordination.checkpoints import record_checkpoints
from hibiscusstack.pool.coordination.lost_targets import refute_survived_loss
from hibiscusstack.pool.coordination.requeuing import drop_run
from hibiscusstack.pool.coordination.run_ends import handle_run_end
from hibiscusstack.pool.coordination.sending import send_stop
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.coordination.target_instances import replace_instance
from hibiscusstack.pool.orders import HoldReply
from hibiscusstack.pool.target_state import RunState, TakeoverPhase, TargetState


def apply_reported_runs(
    state: CoordinatorState,
    target: TargetState,
    reply: HoldReply,
    sent_ms: float,
    now_ms: float,
) -> TargetState:
    """Apply what a target reports; return the state of the instance that replied.

    ``sent_ms`` is when the hold was sent. A run that the target had confirmed before
    then and does not list has ended.
    """
    if (
        reply.instance_started_ms is not None
        and reply.instance_started_ms != target.listing.instance_started_ms
    ):
        target = replace_instance(state, target, reply, sent_ms)
    target.reports_instance = reply.instance_started_ms is not None
    if reply.connection is not None:
        known = target.newest_connection or 0
        target.newest_connection = max(known, reply.connection)
    target.last_heard_ms = max(target.last_heard_ms, sent_ms)
    target.note_clock(reply.clock_ms, now_ms)
    target.silent_since_ms = None
    target.is_refusing = False
    for end in reply.ended:
        if end.number > target.processed_through:
            target.processed_through = end.number
            handle_run_end(state, target, end, now_ms)
    active = set(reply.active)
    for key in active:
        if key not in target.runs:
            add_unknown_run(state, target, key, now_ms)
    record_checkpoints(target, reply)
    for key, run in list(target.runs.items()):
        if key in active:
            run.mark_confirmed(now_ms)
        elif not reply.has_more and run.was_confirmed_before(sent_ms):
            drop_run(state, target, run, now_ms)
    # The target may still crash under an isolated run.
    if reply.instance_started_ms is not None and target.isolated_run is None:
        refute_survived_loss(state, target)
    _advance_takeover(state, target, now_ms)
    if state.is_deputy and not reply.has_more:
        _renew_early_if_safe(target, now_ms)
    return target


def _renew_early_if_safe(target: TargetState, now_ms: float) -> None:
    """Let a deputy use a target at once that has no end to be discarded.

    Earlier runs have then ended without a result, and no others can start there, since
    the target refuses the token of the earlier coordinator.
    """
    if target.phase is TakeoverPhase.HELD and not target.unacknowledged_ends:
        target.no_renewal_until_ms = min(target.no_renewal_until_ms, now_ms)


def _advance_takeover(
    state: CoordinatorState, target: TargetState, now_ms: float
) -> None:
    """Advance the takeover of a target, and stop its stray runs when due."""
    if target.phase is TakeoverPhase.UNCONFIRMED:
        # The reply shows that the target has accepted the token of this coordinator.
        target.phase = TakeoverPhase.RECONCILING
        # An earlier coordinator may have renewed the lease until then.
        lease_expiry_ms = now_ms + state.timing.max_lease_ms
        target.lease_expiry_ms = max(target.lease_expiry_ms, lease_expiry_ms)
        if state.is_deputy:
            target.no_renewal_until_ms = now_ms + state.timing.max_lease_ms
    if (
        target.phase is not TakeoverPhase.RECONCILING
        and target.phase is not TakeoverPhase.HELD
    ):
        return
    stray_runs = [run for run in target.runs.values() if run.job is None]
    if target.phase is TakeoverPhase.HELD or _is_adoption_over(state, target, now_ms):
        for run in stray_runs:
            if run.state is not RunState.STOPPING:
                send_stop(state, target, run)
    if target.phase is TakeoverPhase.RECONCILING and not stray_runs:
        target.phase = TakeoverPhase.HELD


def _is_adoption_over(
    state: CoordinatorState, target: TargetState, now_ms: float
) -> bool:
    """Return whether the stray runs of a target have had enough time to be adopted.

    The time is longer while the stored jobs, to which the runs may belong, are being
    read.
    """
    is_recovering = state.journal is not None and state.journal.is_recovering
    timing = state.timing
    wait_ms = timing.recovery_ms if is_recovering else timing.adoption_ms
    return now_ms >= target.takeover_started_ms + wait_ms
