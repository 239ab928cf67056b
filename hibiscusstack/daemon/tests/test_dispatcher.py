"""Tests that the dispatcher carries out each effect once and in order."""

import inspect

import attrs
from twisted.internet.defer import Deferred, succeed

from hibiscusstack.clock import ManualClock
from hibiscusstack.daemon.dispatcher import Dispatcher
from hibiscusstack.daemon.peer_spans import PeerSpans
from hibiscusstack.daemon.targets import TargetCaller
from hibiscusstack.dispatch.answers import Outcome, TaskResult
from hibiscusstack.dispatch.effects import (
    SendPeer,
    StartTask,
    StopTasks,
    TaskFinished,
    TaskNotSent,
    TaskSilent,
    TaskStates,
)
from hibiscusstack.dispatch.engine import Engine
from hibiscusstack.dispatch.jobs import Job, Task
from hibiscusstack.dispatch.messages import (
    BatchResults,
    CancelBatch,
    HostName,
    PlaceBatch,
)
from hibiscusstack.dispatch.submission.ids import IdIssuer
from hibiscusstack.dispatch.targets import TargetInfo
from hibiscusstack.telemetry.metrics import StatsdMetrics
from hibiscusstack.telemetry.traces import build_tracer

OWN = HostName("dc1", "h1", 1)
PEER = HostName("dc1", "h2", 1)
TARGET = TargetInfo("t1", "127.0.0.1", 1, "dc1")


@attrs.define
class FakeTargetClient:
    """Answers each start with ``reply`` at once; without a reply, never."""

    reply: object = None
    starts: list = attrs.field(factory=list)
    stops: list = attrs.field(factory=list)

    def start(self, target, effect):
        """Answer a start, or raise ``reply`` if it is an exception."""
        self.starts.append((target, effect))
        if isinstance(self.reply, Exception):
            raise self.reply
        return Deferred() if self.reply is None else succeed(self.reply)

    def stop(self, target, effect):
        """Answer a stop with unknown states, as if the target were unreachable."""
        self.stops.append((target, effect))
        return succeed(TaskStates(effect.target, effect.task_ids, None))


class DispatcherHarness:
    """A dispatcher with a fake target client; records the messages to peers."""

    def __init__(self, client):
        self.clock = ManualClock()
        self.tracer = build_tracer("none", 100, "h1")
        metrics = StatsdMetrics("", 8125, "h1")
        ids = IdIssuer(OWN, self.clock, bytes(32))
        engine = Engine(OWN, self.clock, ids)
        caller = TargetCaller(client, self.clock, self.tracer, metrics, 60_000)
        self.dispatcher = Dispatcher(engine, caller, PeerSpans(self.tracer), metrics)
        self.sent = []
        self.dispatcher.send = self._send
        self.dispatcher.replace_targets([TARGET])
        self.ids = ids

    def _send(self, to, message):
        self.sent.append((to, message))
        return True

    def submit_job(self, tasks=1):
        """Submit a job with a new id; return the id and the deferred answer."""
        job_id = self.ids.mint(1)[0]
        job = Job(job_id, "c", tuple(Task(i, "k") for i in range(tasks)))
        return job_id, self.dispatcher.submit(job)


def make_finished_reply(index=0):
    return TaskFinished(TaskResult(index, Outcome.SUCCEEDED, "v"))


def outcome_of(answered):
    return answered.result.outcome


def test_submission_receives_its_answer():
    harness = DispatcherHarness(FakeTargetClient(make_finished_reply()))
    job_id, answered = harness.submit_job()
    assert outcome_of(answered) is Outcome.SUCCEEDED
    assert answered.result.job_id == job_id
    assert harness.dispatcher.is_idle


def test_immediate_replies_do_not_nest_calls():
    harness = DispatcherHarness(FakeTargetClient(make_finished_reply()))
    depths = []
    start = harness.dispatcher._targets.start

    def start_and_measure(effect, replied):
        depths.append(len(inspect.stack(0)))
        start(effect, replied)

    harness.dispatcher._targets.start = start_and_measure
    harness.submit_job(tasks=50)
    assert len(depths) > 1
    assert len(set(depths)) == 1


def test_client_error_leaves_task_outcome_unknown():
    client = FakeTargetClient(RuntimeError("broken"))
    harness = DispatcherHarness(client)
    _, answered = harness.submit_job()
    for _ in range(3_000):
        harness.clock.advance(20)
        harness.dispatcher.tick()
    assert len(client.starts) == 1
    assert outcome_of(answered) is Outcome.UNKNOWN


def test_unknown_target_is_never_called():
    client = FakeTargetClient(make_finished_reply())
    harness = DispatcherHarness(client)
    replies, states = [], []
    harness.dispatcher._targets.start(
        StartTask("t9", "j/0/1", Task(0, "k"), 100), lambda _, r: replies.append(r)
    )
    harness.dispatcher._targets.stop(StopTasks("t9", ("j/0/1",)), states.append)
    assert replies == [
        TaskNotSent("the target has never been on the live list of this host")
    ]
    assert states == [TaskStates("t9", ("j/0/1",), None)]
    assert not client.starts


def test_unlisted_target_can_still_be_called():
    client = FakeTargetClient(TaskSilent("lost"))
    harness = DispatcherHarness(client)
    harness.dispatcher.replace_targets([])
    harness.dispatcher.carry_out([StopTasks("t1", ("j/0/1",))])
    assert client.stops[0][0] == TARGET


def test_spans_of_batch_from_peer_form_one_trace():
    client = FakeTargetClient(make_finished_reply())
    harness = DispatcherHarness(client)
    harness.dispatcher.peer_connected(PEER)
    batch = PlaceBatch(1, "j9", (Task(0, "k"),), ("t1",), 1_000, "c", "t", "default")
    harness.dispatcher.peer_message(PEER, batch)
    spans = {span.name: span for span in harness.tracer.ring.spans_of("j9")}
    assert spans["target.task"].parent_id == spans["home.batch"].span_id
    assert client.starts[0][1].traceparent.split("-")[2] == spans["target.task"].span_id


def test_span_of_two_tasks_ends_with_second_result():
    harness = DispatcherHarness(FakeTargetClient())
    harness.dispatcher.peer_connected(PEER)
    tasks = (Task(0, "k"), Task(1, "k"))
    batch = PlaceBatch(1, "j9", tasks, ("t1",), 1_000, "c", "t", "default")
    harness.dispatcher.peer_message(PEER, batch)
    failed = TaskResult(0, Outcome.FAILED)
    harness.dispatcher.carry_out([SendPeer(PEER, BatchResults(1, (failed,)))])
    assert harness.tracer.ring.spans_of("j9") == ()
    harness.dispatcher.carry_out([SendPeer(PEER, BatchResults(1, (), (1,)))])
    assert [span.name for span in harness.tracer.ring.spans_of("j9")] == ["home.batch"]


def test_loss_of_peer_ends_its_spans():
    harness = DispatcherHarness(FakeTargetClient(None))
    harness.dispatcher.peer_connected(PEER)
    batch = PlaceBatch(1, "j9", (Task(0, "k"),), ("t1",), 1_000, "c", "t", "default")
    harness.dispatcher.peer_message(PEER, batch)
    harness.dispatcher.peer_lost(PEER)
    (span,) = harness.tracer.ring.spans_of("j9")
    assert span.attributes["peer_lost"] == "True"


def test_messages_are_sent_in_order():
    harness = DispatcherHarness(FakeTargetClient())
    effects = [SendPeer(PEER, CancelBatch(number)) for number in range(5)]
    harness.dispatcher.carry_out(effects)
    assert harness.sent == [(PEER, CancelBatch(number)) for number in range(5)]
