"""Runs the engine and carries out its effects."""

__all__ = ["Dispatcher"]

from collections import deque
from collections.abc import Callable, Iterable

from eliot import log_message
from twisted.internet.defer import Deferred

from hibiscusstack.daemon.framing import fit_to_frames
from hibiscusstack.daemon.peer_spans import PeerSpans
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
    """Passes events to the engine and carries out its effects in order.

    Effects wait in a queue. A callback that fires while one is carried out appends its
    own effects to the end of the queue, so that calls never nest.
    """

    def __init__(
        self,
        engine: Engine,
        targets: TargetCaller,
        peer_spans: PeerSpans,
        metrics: Metrics,
    ) -> None:
        self.engine = engine
        self.send: Send = _send_nothing
        self._targets = targets
        self._peer_spans = peer_spans
        self._metrics = metrics
        self._waiting: dict[int, Deferred[JobAnswer]] = {}
        self._last_request_number = 0
        self._effects: deque[Effect] = deque()
        self._is_carrying_out = False

    @property
    def is_idle(self) -> bool:
        """Tell whether no work is in progress and all submissions are answered."""
        return self.engine.is_idle and not self._waiting and not self._effects

    @property
    def waiting(self) -> int:
        """The number of submissions that are not answered yet."""
        return len(self._waiting)

    def submit(self, job: Job) -> Deferred[JobAnswer]:
        """Submit a job and return its answer."""
        self._last_request_number += 1
        request = self._last_request_number
        answered: Deferred[JobAnswer] = Deferred()
        self._waiting[request] = answered
        self.carry_out(self.engine.submit(request, job))
        return answered

    def cancel(self, job_id: str, caller: str) -> None:
        """Cancel a job, here or at its owner."""
        self.carry_out(self.engine.cancel(job_id, caller))

    def tick(self) -> None:
        """Let the engine do what is due by now."""
        self.carry_out(self.engine.tick())

    def drain(self) -> None:
        """Let the engine refuse new work."""
        self.carry_out(self.engine.drain())

    def apply_configuration(self, policy: Policy, offset: int) -> None:
        """Apply a new configuration version."""
        self.carry_out(self.engine.apply_configuration(policy, offset))

    def replace_targets(self, targets: Iterable[TargetInfo]) -> None:
        """Replace the targets by those of a newer live list."""
        listed = tuple(targets)
        self._targets.replace_targets(listed)
        self.carry_out(self.engine.targets_listed(listed))

    def build_heartbeat(self) -> Heartbeat:
        """Return the state of this host to be sent to peers."""
        return self.engine.heartbeat()

    def peer_connected(self, peer: HostName) -> None:
        """Report a new connection to a peer to the engine."""
        self.carry_out(self.engine.peer_connected(peer))

    def peer_disconnected(self, peer: HostName) -> None:
        """Report the end of a connection to the engine."""
        self.carry_out(self.engine.peer_disconnected(peer))

    def peer_lost(self, peer: HostName) -> None:
        """Report the loss of a peer to the engine, and end the peer's open spans."""
        self._peer_spans.peer_lost(peer)
        self._metrics.count(Metric.PEERS_LOST)
        self.carry_out(self.engine.peer_lost(peer))

    def peer_message(self, sender: HostName, message: Message) -> None:
        """Pass a message to the engine, with this host's span as its trace parent."""
        traced = self._peer_spans.message_received(sender, message)
        self.carry_out(self.engine.receive(sender, traced))

    def carry_out(self, effects: Iterable[Effect]) -> None:
        """Carry out effects in order, after those that are queued already."""
        self._effects.extend(effects)
        if self._is_carrying_out:
            return
        self._is_carrying_out = True
        try:
            while self._effects:
                self._carry_out_one(self._effects.popleft())
        finally:
            self._is_carrying_out = False

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
        answered = self._waiting.pop(effect.request, None)
        if answered is not None:
            answered.callback(effect.answer)

    def _send(self, effect: SendPeer) -> None:
        self._peer_spans.message_sent(effect.to, effect.message)
        for part in fit_to_frames(effect.message):
            is_sent = self.send(effect.to, part)
            self._metrics.count(
                Metric.PEER_MESSAGES if is_sent else Metric.PEER_FAILURES
            )
            if not is_sent:
                self._log_not_sent(effect.to, part)

    def _log_not_sent(self, to: HostName, message: Message) -> None:
        name = type(message).__name__
        log_message("daemon:not_sent", level="debug", to=to.name, message=name)

    def _target_replied(self, started: StartTask, reply: TargetReply) -> None:
        self.carry_out(self.engine.target_replied(started, reply))

    def _task_states_received(self, states: TaskStates) -> None:
        self.carry_out(self.engine.task_states_received(states))


def _send_nothing(to: HostName, message: Message) -> bool:
    return False
