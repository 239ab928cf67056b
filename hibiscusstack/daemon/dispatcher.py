"""The engine with everything around it that carries out its effects."""

__all__ = ["Dispatcher"]

from collections import deque
from collections.abc import Callable, Iterable

from eliot import log_message
from twisted.internet.defer import Deferred

from hibiscusstack.daemon.framing import fit_to_frames
from hibiscusstack.daemon.hops import PeerHops
from hibiscusstack.daemon.targets import TargetCaller
from hibiscusstack.dispatch.answers import JobAnswer
from hibiscusstack.dispatch.effects import (
    Answer,
    Effect,
    SendPeer,
    StartTask,
    StopTasks,
    TargetReply,
    TaskStates,
)
from hibiscusstack.dispatch.engine import Engine
from hibiscusstack.dispatch.jobs import Job
from hibiscusstack.dispatch.messages import Heartbeat, HostName, Message
from hibiscusstack.dispatch.policy.policy import Policy
from hibiscusstack.dispatch.targets import TargetInfo
from hibiscusstack.telemetry.metrics import Metric, Metrics

Send = Callable[[HostName, Message], bool]


class Dispatcher:
    """Feeds the engine and carries out its effects, one after another.

    An effect that calls back at once adds to the end of the line and never nests.
    """

    def __init__(
        self, engine: Engine, targets: TargetCaller, hops: PeerHops, metrics: Metrics
    ) -> None:
        self.engine = engine
        self.send: Send = _send_nothing
        self._targets = targets
        self._hops = hops
        self._metrics = metrics
        self._waiting: dict[int, Deferred[JobAnswer]] = {}
        self._last_request = 0
        self._effects: deque[Effect] = deque()
        self._is_busy = False

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is in progress and every caller has its answer."""
        return self.engine.is_idle and not self._waiting and not self._effects

    @property
    def waiting(self) -> int:
        """The number of submissions without an answer."""
        return len(self._waiting)

    def submit(self, job: Job) -> Deferred[JobAnswer]:
        """Return the answer to a job."""
        self._last_request += 1
        request = self._last_request
        answered: Deferred[JobAnswer] = Deferred()
        self._waiting[request] = answered
        self.carry_out(self.engine.submit(request, job))
        return answered

    def cancel(self, job_id: str, caller: str) -> None:
        """Cancel a job, here or at its owner."""
        self.carry_out(self.engine.cancel(job_id, caller))

    def tick(self) -> None:
        """Let the engine act on the passing of time."""
        self.carry_out(self.engine.tick())

    def drain(self) -> None:
        """Let the engine refuse new work."""
        self.carry_out(self.engine.drain())

    def configure(self, policy: Policy, offset: int) -> None:
        """Put a configuration in force."""
        self.carry_out(self.engine.apply_configuration(policy, offset))

    def replace_targets(self, targets: Iterable[TargetInfo]) -> None:
        """Take over the targets of a newer live list."""
        listed = tuple(targets)
        self._targets.replace_targets(listed)
        self.carry_out(self.engine.targets_listed(listed))

    def build_heartbeat(self) -> Heartbeat:
        """Return what peers have to know of this host."""
        return self.engine.heartbeat()

    def peer_connected(self, peer: HostName) -> None:
        """Pass on a new connection."""
        self.carry_out(self.engine.peer_connected(peer))

    def peer_disconnected(self, peer: HostName) -> None:
        """Pass on the end of a connection."""
        self.carry_out(self.engine.peer_disconnected(peer))

    def peer_lost(self, peer: HostName) -> None:
        """Pass on the loss of a peer."""
        self._hops.lost(peer)
        self._metrics.count(Metric.PEERS_LOST)
        self.carry_out(self.engine.peer_lost(peer))

    def peer_message(self, sender: HostName, message: Message) -> None:
        """Pass on a message."""
        received = self._hops.received(sender, message)
        self.carry_out(self.engine.receive(sender, received))

    def carry_out(self, effects: Iterable[Effect]) -> None:
        """Carry out effects in order."""
        self._effects.extend(effects)
        if self._is_busy:
            return
        self._is_busy = True
        try:
            while self._effects:
                self._carry_out_one(self._effects.popleft())
        finally:
            self._is_busy = False

    def _carry_out_one(self, effect: Effect) -> None:
        match effect:
            case Answer():
                self._answer(effect)
            case SendPeer():
                self._send(effect)
            case StartTask():
                self._targets.start(effect, self._target_replied)
            case StopTasks():
                self._targets.stop(effect, self._task_states_received)

    def _answer(self, effect: Answer) -> None:
        waiting = self._waiting.pop(effect.request, None)
        if waiting is not None:
            waiting.callback(effect.answer)

    def _send(self, effect: SendPeer) -> None:
        self._hops.sent(effect.to, effect.message)
        for part in fit_to_frames(effect.message):
            is_sent = self.send(effect.to, part)
            self._metrics.count(
                Metric.PEER_MESSAGES if is_sent else Metric.PEER_FAILURES
            )
            if not is_sent:
                self._log_failure(effect.to, part)

    def _log_failure(self, to: HostName, message: Message) -> None:
        name = type(message).__name__
        log_message("daemon:not_sent", level="debug", to=to.name, message=name)

    def _target_replied(self, started: StartTask, reply: TargetReply) -> None:
        self.carry_out(self.engine.target_replied(started, reply))

    def _task_states_received(self, states: TaskStates) -> None:
        self.carry_out(self.engine.task_states_received(states))


def _send_nothing(to: HostName, message: Message) -> bool:
    return False
