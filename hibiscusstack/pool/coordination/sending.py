"""Holds, polls and stops sent to targets, and targets marked silent or fenced."""

__all__ = [
    "mark_fenced",
    "mark_silent",
    "send_hold",
    "send_poll",
    "send_stop",
]

from eliot import log_message

from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.orders import (
    HoldOrder,
    NotReached,
    Refused,
    ReplyLost,
    StopOrder,
)
from hibiscusstack.pool.target_state import Run, RunState, TakeoverPhase, TargetState


def send_hold(state: CoordinatorState, target: TargetState) -> None:
    """Send the next hold; it renews the lease of a held, responsive target.

    The lease is not renewed while a stop is overdue, because only the expiry of the
    lease ends that run, nor before ``no_renewal_until_ms``.
    """
    now_ms = state.clock.now_ms()
    may_renew = _may_renew(target, now_ms)
    lease_end_on_target_ms = _plan_renewal(target, now_ms)
    timing = state.timing
    wait_ms = timing.hold_wait_ms if may_renew else timing.clearing_wait_ms
    target.is_hold_in_flight = True
    target.hold_sent_ms, target.hold_wait_ms = now_ms, wait_ms
    state.events.counters.holds += 1
    order = HoldOrder(
        state.token,
        target.acked_through,
        wait_ms,
        lease_end_on_target_ms,
        target.takeover_number,
        now_ms,
        target.newest_connection,
    )
    state.orders.hold(target.listing, order)


def send_poll(
    state: CoordinatorState, target: TargetState, *, is_probe: bool = False
) -> None:
    """Poll the runs and ends of a target, which replies without waiting.

    A poll may be in flight together with a hold. It acknowledges no ends, because the
    target may have restarted, and a new instance numbers its ends from the start. With
    ``is_probe`` it takes the place of an order without a reply: it is sent beside
    another poll, and renews the lease as a hold does.
    """
    if target.is_poll_in_flight and not is_probe:
        return
    target.is_poll_in_flight = True
    now_ms = state.clock.now_ms()
    order = HoldOrder(
        state.token,
        acked_through=0,
        wait_ms=0,
        until_ms=_plan_renewal(target, now_ms) if is_probe else None,
        takeover_number=target.takeover_number,
        sent_ms=now_ms,
    )
    state.events.counters.holds += 1
    state.orders.hold(target.listing, order)


def _may_renew(target: TargetState, now_ms: float) -> bool:
    return (
        target.phase is TakeoverPhase.HELD
        and not target.has_unconfirmed_stop(now_ms)
        and now_ms >= target.no_renewal_until_ms
    )


def _plan_renewal(target: TargetState, now_ms: float) -> int | None:
    """Return the end of the renewed lease, or ``None`` if it must not be renewed."""
    is_responsive = (
        target.silent_since_ms is None and target.clock_offset_ms is not None
    )
    if not (is_responsive and _may_renew(target, now_ms)):
        return None
    return target.plan_lease_renewal(now_ms)


def send_stop(state: CoordinatorState, target: TargetState, run: Run) -> None:
    """Send a stop for a run; the caller must resend it until the target confirms."""
    run.state = RunState.STOPPING
    run.stop_sent_ms = state.clock.now_ms()
    if run.stop_requested_ms is None:
        run.stop_requested_ms = run.stop_sent_ms
    order = StopOrder(run.name, run.number, state.token, target.takeover_number)
    state.events.counters.stops += 1
    state.orders.stop(target.listing, order)


def mark_silent(
    state: CoordinatorState,
    target: TargetState,
    now_ms: float,
    failure: Refused | NotReached | ReplyLost,
) -> None:
    """Mark an unresponsive target; it gets no work until it reports its runs again."""
    cause = failure.reason if isinstance(failure, Refused) else failure.cause
    target.last_failure = cause
    target.is_refusing = isinstance(failure, NotReached) and failure.is_refused
    if target.silent_since_ms is None:
        target.silent_since_ms = now_ms
        state.events.counters.silent_targets += 1
        log_message("pool:target_silent", target=target.listing.name, cause=cause)


def mark_fenced(state: CoordinatorState, target: TargetState) -> None:
    """Mark a target that another coordinator has taken over; it gets no more orders."""
    if target.phase is not TakeoverPhase.FENCED:
        target.phase = TakeoverPhase.FENCED
        target.fenced_ms = state.clock.now_ms()
        log_message("pool:target_fenced", target=target.listing.name)
