"""The life of the daemon, from its start to a graceful stop."""

__all__ = ["Lifecycle", "LifecycleActions", "Phase", "StopCause", "build_lifecycle"]

from enum import Enum
from typing import Protocol

from automat import TypeMachineBuilder


class Phase(Enum):
    """Where the daemon is in its life.

    ``LEAVING`` still takes jobs, while the balancer learns to send no more.
    """

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"
    DRAINING = "draining"
    STOPPED = "stopped"


class StopCause(Enum):
    """Why the daemon stopped; the value is the process's exit code."""

    DRAINED = 0
    START_FAILED = 3
    DRAIN_TIMEOUT = 4
    SECOND_SIGNAL = 5


class Lifecycle(Protocol):
    """What happens to the daemon."""

    def configured(self) -> None:
        """Take note that a configuration is known."""

    def stop_requested(self) -> None:
        """Begin a graceful stop, or end at once if one has begun."""

    def drain_requested(self) -> None:
        """Begin a graceful stop unless one has begun."""

    def left_balancer(self) -> None:
        """Take note that the balancer had its time."""

    def became_idle(self) -> None:
        """Take note that nothing is in progress."""

    def timed_out(self) -> None:
        """Take note that the time for a graceful stop is over."""


class LifecycleActions(Protocol):
    """What the daemon does when its phase changes."""

    def enter(self, phase: Phase) -> None:
        """Show a new phase."""

    def leave_balancer(self) -> None:
        """Fail readiness and start the timers of a graceful stop."""

    def refuse_new_work(self) -> None:
        """Take no more jobs and tell the peers."""

    def stop(self, cause: StopCause) -> None:
        """Close everything and end the process."""


def _leave(_: Lifecycle, actions: LifecycleActions) -> None:
    actions.enter(Phase.LEAVING)
    actions.leave_balancer()


def _drain(_: Lifecycle, actions: LifecycleActions) -> None:
    actions.enter(Phase.DRAINING)
    actions.refuse_new_work()


def _become_ready(_: Lifecycle, actions: LifecycleActions) -> None:
    actions.enter(Phase.READY)


def _stop_drained(_: Lifecycle, actions: LifecycleActions) -> None:
    _stop(actions, StopCause.DRAINED)


def _stop_late(_: Lifecycle, actions: LifecycleActions) -> None:
    _stop(actions, StopCause.DRAIN_TIMEOUT)


def _stop_at_once(_: Lifecycle, actions: LifecycleActions) -> None:
    _stop(actions, StopCause.SECOND_SIGNAL)


def _stop(actions: LifecycleActions, cause: StopCause) -> None:
    actions.enter(Phase.STOPPED)
    actions.stop(cause)


def _build_machine():
    """Return the machine; an input that a state does not name changes nothing."""
    builder = TypeMachineBuilder(Lifecycle, LifecycleActions)
    starting = builder.state("starting")
    ready = builder.state("ready")
    leaving = builder.state("leaving")
    draining = builder.state("draining")
    stopped = builder.state("stopped")
    transitions = [
        (starting, Lifecycle.configured, ready, _become_ready),
        (starting, Lifecycle.stop_requested, leaving, _leave),
        (starting, Lifecycle.drain_requested, leaving, _leave),
        (ready, Lifecycle.stop_requested, leaving, _leave),
        (ready, Lifecycle.drain_requested, leaving, _leave),
        (leaving, Lifecycle.left_balancer, draining, _drain),
        (leaving, Lifecycle.stop_requested, stopped, _stop_at_once),
        (leaving, Lifecycle.timed_out, stopped, _stop_late),
        (draining, Lifecycle.became_idle, stopped, _stop_drained),
        (draining, Lifecycle.stop_requested, stopped, _stop_at_once),
        (draining, Lifecycle.timed_out, stopped, _stop_late),
    ]
    for state, event, following, action in transitions:
        state.upon(event).to(following)(action)
    _ignore_the_rest(
        builder, transitions, (starting, ready, leaving, draining, stopped)
    )
    return builder.build()


def _ignore_the_rest(builder, transitions, states) -> None:
    events = (
        Lifecycle.configured,
        Lifecycle.stop_requested,
        Lifecycle.drain_requested,
        Lifecycle.left_balancer,
        Lifecycle.became_idle,
        Lifecycle.timed_out,
    )
    named = {(id(state), event) for state, event, _, _ in transitions}
    for state in states:
        for event in events:
            if (id(state), event) not in named:
                state.upon(event).loop().returns(None)


_MACHINE = _build_machine()


def build_lifecycle(actions: LifecycleActions) -> Lifecycle:
    """Return the machine in its first phase, which drives ``actions``."""
    return _MACHINE(actions)
