"""State machine of the daemon, from its start to a graceful stop."""

__all__ = ["Lifecycle", "LifecycleActions", "Phase", "StopCause", "build_lifecycle"]

from enum import Enum
from typing import Protocol

from automat import TypeMachineBuilder


class Phase(Enum):
    """The phase of the daemon.

    In ``LEAVING``, readiness checks fail but jobs are still accepted, until the load
    balancer has had time to send no more.
    """

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"
    DRAINING = "draining"
    STOPPED = "stopped"


class StopCause(Enum):
    """Why the daemon stopped; the value is the exit code of the process."""

    DRAINED = 0
    START_FAILED = 3
    DRAIN_TIMEOUT = 4
    SECOND_SIGNAL = 5


class Lifecycle(Protocol):
    """The events that drive the state machine."""

    def configured(self) -> None:
        """Become ready: a configuration is known."""

    def stop_requested(self) -> None:
        """Start a graceful stop, or stop at once if one has begun."""

    def drain_requested(self) -> None:
        """Start a graceful stop, unless one has begun."""

    def leave_delay_elapsed(self) -> None:
        """Start to drain: the load balancer has had time to stop sending jobs."""

    def became_idle(self) -> None:
        """End a drain: no work is in progress."""

    def drain_timed_out(self) -> None:
        """End a graceful stop that has reached its time limit."""


class LifecycleActions(Protocol):
    """The actions of the daemon when its phase changes."""

    def enter(self, phase: Phase) -> None:
        """Set the phase."""

    def fail_readiness(self) -> None:
        """Let readiness checks fail and start the timers of a graceful stop."""

    def refuse_new_work(self) -> None:
        """Refuse new jobs and tell the peers."""

    def stop(self, cause: StopCause) -> None:
        """Close everything and end the process."""


def _start_leaving(_: Lifecycle, actions: LifecycleActions) -> None:
    actions.enter(Phase.LEAVING)
    actions.fail_readiness()


def _start_draining(_: Lifecycle, actions: LifecycleActions) -> None:
    actions.enter(Phase.DRAINING)
    actions.refuse_new_work()


def _become_ready(_: Lifecycle, actions: LifecycleActions) -> None:
    actions.enter(Phase.READY)


def _stop_drained(_: Lifecycle, actions: LifecycleActions) -> None:
    _stop(actions, StopCause.DRAINED)


def _stop_on_drain_timeout(_: Lifecycle, actions: LifecycleActions) -> None:
    _stop(actions, StopCause.DRAIN_TIMEOUT)


def _stop_on_second_request(_: Lifecycle, actions: LifecycleActions) -> None:
    _stop(actions, StopCause.SECOND_SIGNAL)


def _stop(actions: LifecycleActions, cause: StopCause) -> None:
    actions.enter(Phase.STOPPED)
    actions.stop(cause)


def _build_machine():
    """Return the state machine; events without a transition are ignored."""
    builder = TypeMachineBuilder(Lifecycle, LifecycleActions)
    starting = builder.state("starting")
    ready = builder.state("ready")
    leaving = builder.state("leaving")
    draining = builder.state("draining")
    stopped = builder.state("stopped")
    transitions = [
        (starting, Lifecycle.configured, ready, _become_ready),
        (starting, Lifecycle.stop_requested, leaving, _start_leaving),
        (starting, Lifecycle.drain_requested, leaving, _start_leaving),
        (ready, Lifecycle.stop_requested, leaving, _start_leaving),
        (ready, Lifecycle.drain_requested, leaving, _start_leaving),
        (leaving, Lifecycle.leave_delay_elapsed, draining, _start_draining),
        (leaving, Lifecycle.stop_requested, stopped, _stop_on_second_request),
        (leaving, Lifecycle.drain_timed_out, stopped, _stop_on_drain_timeout),
        (draining, Lifecycle.became_idle, stopped, _stop_drained),
        (draining, Lifecycle.stop_requested, stopped, _stop_on_second_request),
        (draining, Lifecycle.drain_timed_out, stopped, _stop_on_drain_timeout),
    ]
    for state, event, next_state, action in transitions:
        state.upon(event).to(next_state)(action)
    _ignore_other_events(
        builder, transitions, (starting, ready, leaving, draining, stopped)
    )
    return builder.build()


def _ignore_other_events(builder, transitions, states) -> None:
    events = (
        Lifecycle.configured,
        Lifecycle.stop_requested,
        Lifecycle.drain_requested,
        Lifecycle.leave_delay_elapsed,
        Lifecycle.became_idle,
        Lifecycle.drain_timed_out,
    )
    handled = {(id(state), event) for state, event, _, _ in transitions}
    for state in states:
        for event in events:
            if (id(state), event) not in handled:
                state.upon(event).loop().returns(None)


_MACHINE = _build_machine()


def build_lifecycle(actions: LifecycleActions) -> Lifecycle:
    """Return a state machine in its first state that calls ``actions``."""
    return _MACHINE(actions)
