"""Target instances: their takeover, replacement and removal."""

__all__ = [
    "apply_target_list",
    "begin_takeover",
    "reclaim_fenced_targets",
    "remove_instance",
    "replace_instance",
    "take_over_unlisted",
]

import math
from collections.abc import Iterable

import attrs
from eliot import log_message

from hibiscusstack.pool.coordination.closing import close_job
from hibiscusstack.pool.coordination.job_tracking import uncount_stray_run
from hibiscusstack.pool.coordination.lost_targets import drop_lost_runs, note_loss
from hibiscusstack.pool.coordination.requeuing import await_term_confirmation, drop_run
from hibiscusstack.pool.coordination.sending import send_hold, send_poll, send_stop
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.orders import HoldReply
from hibiscusstack.pool.target_losses import LossEvidence
from hibiscusstack.pool.target_state import TakeoverPhase, TargetState
from hibiscusstack.pool.targets import ListedTarget


def apply_target_list(state: CoordinatorState, listed: Iterable[ListedTarget]) -> None:
    """Apply a newer list of targets, and begin the takeover of new ones.

    A target that has left the list is only marked here; the periodic checks remove it.
    """
    now_ms = state.clock.now_ms()
    state.listed = by_name = {listing.name: listing for listing in listed}
    for name, target in list(state.targets.items()):
        listing = by_name.get(name)
        if listing is None:
            if target.unlisted_since_ms is None:
                target.unlisted_since_ms = now_ms
        elif target.is_replaced_by(listing):
            remove_instance(state, target, "restarted")
        elif listing.instance_started_ms != target.listing.instance_started_ms:
            # Only the reply of the new instance tells which start orders reached it.
            send_poll(state, target)
        else:
            target.unlisted_since_ms = None
            target.is_unlisted_instance = False
            if listing is not target.listing:
                target.replace_listing(listing)
                target.listed_ms = now_ms
                state.room_limits = None
    for name, listing in by_name.items():
        if name not in state.targets:
            begin_takeover(state, listing, now_ms)


def take_over_unlisted(
    state: CoordinatorState, recorded: Iterable[ListedTarget]
) -> None:
    """Begin the takeover of recorded targets that are not listed.

    An earlier coordinator may have runs there: the entry of a target can lapse while
    the target goes on. Nothing is started there unless it is listed again.
    """
    now_ms = state.clock.now_ms()
    for target in recorded:
        if target.name not in state.targets:
            begin_takeover(state, target, now_ms)
            state.targets[target.name].unlisted_since_ms = now_ms


def begin_takeover(
    state: CoordinatorState, listing: ListedTarget, now_ms: float
) -> None:
    """Begin the takeover of a listed target instance."""
    send_hold(state, _add_instance(state, listing, now_ms))


def replace_instance(
    state: CoordinatorState, target: TargetState, reply: HoldReply, sent_ms: float
) -> TargetState:
    """Return the state of a new instance, with the runs that may have reached it.

    A start order that was sent before the end of the earlier instance was noticed may
    have been accepted by the new one, or may still arrive there. ``sent_ms`` is when
    the hold was sent to which the new instance replied. The other runs ended with the
    earlier instance, and their tasks are requeued.
    """
    now_ms = state.clock.now_ms()
    log_message(
        "pool:target_gone", target=target.listing.name, cause="a new instance answered"
    )
    listing = state.listed.get(target.listing.name)
    is_listed = (
        listing is not None and listing.instance_started_ms == reply.instance_started_ms
    )
    if not is_listed:
        listing = attrs.evolve(
            target.listing, instance_started_ms=reply.instance_started_ms
        )
    note_loss(state, target, LossEvidence.REPLACED, alive=frozenset(reply.active))
    replacement = _add_instance(state, listing, now_ms)
    replacement.is_unlisted_instance = not is_listed
    # A start order for the earlier instance may have renewed the lease of the new one.
    replacement.lease_expiry_ms = now_ms + state.timing.max_orphan_run_ms
    active = set(reply.active)
    for key, run in list(target.runs.items()):
        # A confirmation after the hold was sent may come from the new instance.
        may_be_at_replacement = run.confirmed_ms is None or run.confirmed_ms >= sent_ms
        if key in active or may_be_at_replacement:
            target.remove(run)
            replacement.add(run)
            await_term_confirmation(state, run, now_ms)
        if key not in active and may_be_at_replacement:
            # The start order may arrive later, so a stop must block it. If an earlier
            # confirmation counted, the next reply without the run would prove its end.
            run.confirmed_ms = None
            send_stop(state, replacement, run)
    drop_lost_runs(state, target, now_ms, "a new instance answered")
    return replacement


def remove_instance(state: CoordinatorState, target: TargetState, cause: str) -> None:
    """Remove a target instance that has ended, and requeue the tasks that ran there."""
    now_ms = state.clock.now_ms()
    name = target.listing.name
    log_message("pool:target_gone", target=name, cause=cause)
    state.drop_target(name)
    # A target that was started in its place may have its address.
    address = target.listing.address
    if all(other.listing.address != address for other in state.targets.values()):
        state.orders.close_connections(target.listing)
    note_loss(state, target, LossEvidence.REPLACED)
    drop_lost_runs(state, target, now_ms, cause)


def reclaim_fenced_targets(state: CoordinatorState) -> None:
    """Begin the takeover of all fenced targets again, with the new, higher token."""
    now_ms = state.clock.now_ms()
    for target in list(state.targets.values()):
        if target.phase is TakeoverPhase.FENCED:
            _release_runs(state, target, now_ms)
            begin_takeover(state, target.listing, now_ms)


def _add_instance(
    state: CoordinatorState, listing: ListedTarget, now_ms: float
) -> TargetState:
    """Register and return the state of an instance, for a new takeover.

    It replaces the state of an earlier instance of the same name.
    """
    state.takeover_count += 1
    target = TargetState(
        listing, state.timing, state.takeover_count, now_ms, listed_ms=now_ms
    )
    if state.is_deputy:
        # The first reply sets the time; until then no lease is renewed.
        target.no_renewal_until_ms = math.inf
    state.set_target(target)
    return target


def _release_runs(state: CoordinatorState, target: TargetState, now_ms: float) -> None:
    """Stop tracking the runs at a target that another coordinator has taken over.

    Tasks of stored jobs are requeued, and their jobs are marked as resubmitted because
    the runs may still be active there. Other jobs end as unknown.
    """
    for run in list(target.runs.values()):
        if run.job is not None and run.job.is_stored:
            run.job.is_resubmitted = True
            run.job.earlier_coordinator_last_seen_ms = now_ms
            drop_run(state, target, run, now_ms)
        elif run.job is not None and run.job.job.job_id in state.jobs:
            close_job(
                state,
                run.job,
                JobEnd.UNKNOWN,
                "another coordinator took over its target",
            )
    for run in list(target.runs.values()):
        target.remove(run)
        uncount_stray_run(state, run.name)
