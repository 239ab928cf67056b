"""Handling of the replies to starts, stops and holds."""

__all__ = ["handle_hold_reply", "handle_start_reply", "handle_stop_reply"]

from eliot import log_message

from hibiscusstack.pool.coordination.closing import close_job
from hibiscusstack.pool.coordination.reported_runs import apply_reported_runs
from hibiscusstack.pool.coordination.requeuing import requeue_task
from hibiscusstack.pool.coordination.sending import (
    mark_fenced,
    mark_silent,
    send_hold,
    send_poll,
    send_stop,
)
from hibiscusstack.pool.coordination.starting import start_waiting_tasks
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.orders import (
    FencedOut,
    HoldOrder,
    HoldReply,
    NotReached,
    Refused,
    ReplyLost,
    Started,
    StartOrder,
    StopOrder,
    Stopped,
)
from hibiscusstack.pool.target_state import Run, RunState, TakeoverPhase, TargetState

FULL_TARGET_START_PAUSE_MS = 20


def handle_start_reply(
    state: CoordinatorState,
    name: str,
    instance_started_ms: int,
    order: StartOrder,
    reply: Started | Refused | FencedOut | NotReached | ReplyLost,
) -> None:
    """Handle the reply to a start, and start waiting tasks."""
    state.events.start_replied(reply)
    target = _find_target(state, name, instance_started_ms, order.takeover_number)
    if target is None:
        return
    now_ms = state.clock.now_ms()
    run = target.runs.get((order.task, order.run))
    if isinstance(reply, FencedOut):
        mark_fenced(state, target)
    elif isinstance(reply, Started):
        had_clock = target.clock_offset_ms is not None
        target.note_clock(reply.clock_ms, now_ms)
        if run is not None:
            run.mark_confirmed(now_ms)
        if had_clock:
            # A run that was confirmed leaves no more room than before.
            return
    elif run is None or run.state is not RunState.STARTING:
        return
    elif isinstance(reply, ReplyLost):
        mark_silent(state, target, now_ms, reply)
        send_poll(state, target)
        send_stop(state, target, run)
    else:
        _handle_failed_start(state, target, run, reply, now_ms)
    start_waiting_tasks(state)


def handle_stop_reply(
    state: CoordinatorState,
    name: str,
    instance_started_ms: int,
    order: StopOrder,
    reply: Stopped | Refused | FencedOut | NotReached | ReplyLost,
) -> None:
    """Handle the reply to a stop; a new confirmation triggers a poll."""
    target = _find_target(state, name, instance_started_ms, order.takeover_number)
    if target is None:
        return
    now_ms = state.clock.now_ms()
    if isinstance(reply, FencedOut):
        mark_fenced(state, target)
        return
    run = target.runs.get((order.task, order.run))
    if run is None or not isinstance(reply, Stopped):
        return
    target.note_clock(reply.clock_ms, now_ms)
    if run.stop_confirmed_ms is None:
        run.stop_confirmed_ms = now_ms
        send_poll(state, target)


def handle_hold_reply(
    state: CoordinatorState,
    name: str,
    instance_started_ms: int,
    order: HoldOrder,
    reply: HoldReply | Refused | FencedOut | NotReached | ReplyLost,
) -> None:
    """Handle the reply to a hold or poll, and send the next hold if it is due.

    A poll is a hold whose ``wait_ms`` is 0.
    """
    target = _find_target(state, name, instance_started_ms, order.takeover_number)
    if target is None:
        return
    now_ms = state.clock.now_ms()
    if order.wait_ms == 0:
        target.is_poll_in_flight = False
    else:
        target.is_hold_in_flight = False
    poll_callbacks = (
        target.pop_poll_waiters(order.sent_ms) if order.wait_ms == 0 else ()
    )
    # Callbacks requested after the last poll was sent need another poll.
    if target.poll_waiters:
        send_poll(state, target)
    if isinstance(reply, HoldReply):
        target = apply_reported_runs(state, target, reply, order.sent_ms, now_ms)
        if target.unacknowledged_ends:
            target.next_hold_ms = now_ms + target.next_hold_delay_ms(now_ms)
    elif isinstance(reply, FencedOut):
        mark_fenced(state, target)
    elif target.last_heard_ms <= order.sent_ms:
        mark_silent(state, target, now_ms, reply)
        target.next_hold_ms = now_ms + state.timing.order_retry_ms
    # A fenced target would refuse every further hold. To others, a hold is sent once
    # its delay is over, unless one is in flight.
    is_hold_due = (
        target.phase is not TakeoverPhase.FENCED and now_ms >= target.next_hold_ms
    )
    if is_hold_due and not target.is_hold_in_flight:
        send_hold(state, target)
    start_waiting_tasks(state)
    for callback in poll_callbacks:
        callback()


def _find_target(
    state: CoordinatorState, name: str, instance_started_ms: int, takeover: int
) -> TargetState | None:
    """Return the target of an order, or ``None`` if a later takeover has begun."""
    target = state.targets.get(name)
    if (
        state.is_superseded
        or target is None
        or target.listing.instance_started_ms != instance_started_ms
    ):
        return None
    return target if target.takeover_number == takeover else None


def _handle_failed_start(
    state: CoordinatorState,
    target: TargetState,
    run: Run,
    reply: Refused | NotReached,
    now_ms: float,
) -> None:
    """Requeue the task of a start that failed, or fail its job if no retry can help.

    The reason codes of a refusal that allow a retry are ``room``: no free capacity;
    ``instance``: another instance of the target runs; ``late``: the order's lease end
    has passed on the target's clock; ``unhealthy``: the target is unhealthy; and
    ``old``: the order is obsolete.
    """
    target.remove(run)
    if isinstance(reply, NotReached):
        mark_silent(state, target, now_ms, reply)
        send_poll(state, target)
    elif reply.reason == "room":
        target.paused_until_ms = now_ms + FULL_TARGET_START_PAUSE_MS
        send_poll(state, target)
    elif reply.reason == "instance":
        mark_silent(state, target, now_ms, reply)
        send_poll(state, target)
    elif reply.reason == "late":
        # The clock offset gave a lease end in the past, so it must be measured again.
        target.clock_offset_ms = None
        send_poll(state, target)
    elif reply.reason == "unhealthy":
        paused_until_ms = target.health.note_fault(now_ms)
        target.paused_until_ms = max(target.paused_until_ms, paused_until_ms)
    elif reply.reason != "old":
        log_message("pool:start_refused", level="warning", reason=reply.reason)
        run.job.active_count -= 1
        if state.jobs.get(run.job.job.job_id) is run.job:
            close_job(
                state,
                run.job,
                JobEnd.FAILED,
                f"the target refused the start: {reply.reason}",
            )
        return
    cause = "unreached" if isinstance(reply, NotReached) else reply.reason
    requeue_task(state, target, run, now_ms, cause)
