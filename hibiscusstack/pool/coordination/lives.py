"""Lives of targets: how they are taken over, end and follow one another."""

__all__ = ["begin_life", "end_life", "replace_listing", "retake_fenced", "take_target"]

import math
from collections.abc import Iterable

import attrs
from eliot import log_message

from hibiscusstack.pool.coordination.closing import close_job
from hibiscusstack.pool.coordination.known_work import forget_stray_run
from hibiscusstack.pool.coordination.making_again import drop_all_runs, drop_run
from hibiscusstack.pool.coordination.sending import send_hold, send_look, send_stop
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.orders import HoldReply
from hibiscusstack.pool.target_state import TakeoverPhase, TargetState
from hibiscusstack.pool.targets import ListedTarget


def replace_listing(state: CoordinatorState, listed: Iterable[ListedTarget]) -> None:
    """Take over a newer list of targets."""
    now_ms = state.clock.now_ms()
    state.listed = by_name = {listing.name: listing for listing in listed}
    for name, target in list(state.targets.items()):
        listing = by_name.get(name)
        if listing is None:
            if target.unlisted_since_ms is None:
                target.unlisted_since_ms = now_ms
        elif target.is_replaced_by(listing):
            end_life(state, target, "restarted")
        elif listing.instance_started_ms != target.listing.instance_started_ms:
            # Only its own lists tell which starts reached the new life.
            send_look(state, target)
        else:
            target.unlisted_since_ms = None
            target.is_unlisted_instance = False
            target.replace_listing(listing)
    for name, listing in by_name.items():
        if name not in state.targets:
            state.missing.discard(name)
            take_target(state, listing, now_ms)


def take_target(state: CoordinatorState, listing: ListedTarget, now_ms: float) -> None:
    """Begin to take over a life of a target that is listed."""
    send_hold(state, _add_life(state, listing, now_ms))


def begin_life(
    state: CoordinatorState, target: TargetState, reply: HoldReply, sent_ms: float
) -> TargetState:
    """Return the state of a new life, with the runs that may have reached it.

    A start for the earlier life, sent before its end was noticed, may have been
    taken by the new one, or still be on its way there.
    """
    now_ms = state.clock.now_ms()
    log_message(
        "pool:target_gone", target=target.listing.name, cause="another life answered"
    )
    listing = state.listed.get(target.listing.name)
    is_listed = (
        listing is not None and listing.instance_started_ms == reply.instance_started_ms
    )
    if not is_listed:
        listing = attrs.evolve(
            target.listing, instance_started_ms=reply.instance_started_ms
        )
    new = _add_life(state, listing, now_ms)
    new.is_unlisted_instance = not is_listed
    new.lease_expiry_ms = now_ms + state.timing.max_orphan_run_ms
    active = set(reply.active)
    for key, run in list(target.runs.items()):
        is_open = run.confirmed_ms is None or run.confirmed_ms >= sent_ms
        if key in active or is_open:
            target.remove(run)
            new.add(run)
        if key not in active and is_open:
            run.confirmed_ms = None
            send_stop(state, new, run)
    drop_all_runs(state, target, now_ms, "another life answered")
    return new


def end_life(state: CoordinatorState, target: TargetState, cause: str) -> None:
    """Forget a life of a target that is over, with all that ran there."""
    now_ms = state.clock.now_ms()
    name = target.listing.name
    log_message("pool:target_gone", target=name, cause=cause)
    state.drop_target(name)
    if target.silent_since_ms is not None or target.phase is TakeoverPhase.LOOKING:
        state.missing.add(name)
    state.orders.close_connections(target.listing)
    drop_all_runs(state, target, now_ms, cause)


def retake_fenced(state: CoordinatorState) -> None:
    """Take over anew, with a later token, what another coordinator had taken."""
    now_ms = state.clock.now_ms()
    for target in list(state.targets.values()):
        if target.phase is TakeoverPhase.FENCED:
            _leave_runs(state, target, now_ms)
            take_target(state, target.listing, now_ms)


def _add_life(
    state: CoordinatorState, listing: ListedTarget, now_ms: float
) -> TargetState:
    """Return the state of a life of which nothing is known yet."""
    state.takeovers += 1
    target = TargetState(listing, state.timing, state.takeovers, now_ms)
    if state.voids_ends:
        target.no_renewal_until_ms = math.inf
    state.set_target(target)
    return target


def _leave_runs(state: CoordinatorState, target: TargetState, now_ms: float) -> None:
    """Give up the jobs with runs at a target that another coordinator took."""
    for run in list(target.runs.values()):
        if run.job is not None and run.job.is_stored:
            run.job.is_resubmitted = True
            run.job.unheard_since_ms = now_ms
            drop_run(state, target, run, now_ms)
        elif run.job is not None and run.job.job.job_id in state.jobs:
            close_job(state, run.job, JobEnd.UNKNOWN, "another host took its target")
    for run in list(target.runs.values()):
        target.remove(run)
        forget_stray_run(state, run.name)
