"""The dispatcher carries out effects, each once and in order."""

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
class FakeClient:
    """Answers as told, at once or never."""

    reply: object = None
    starts: list = attrs.field(factory=list)
    stops: list = attrs.field(factory=list)

    def start(self, target, effect):
        """Answer a start, or raise."""
        self.starts.append((target, effect))
        if isinstance(self.reply, Exception):
            raise self.reply
        return Deferred() if self.reply is None else succeed(self.reply)

    def stop(self, target, effect):
        """Say that the target could not be reached."""
        self.stops.append((target, effect))
        return succeed(TaskStates(effect.target, effect.task_ids, None))


class Host:
    """One dispatcher over a fake client."""

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

    def submit(self, tasks=1):
        """Submit a job of its own id."""
        job_id = self.ids.mint(1)[0]
        job = Job(job_id, "c", tuple(Task(i, "k") for i in range(tasks)))
        return job_id, self.dispatcher.submit(job)


def finished(index=0):
    return TaskFinished(TaskResult(index, Outcome.SUCCEEDED, "v"))


def outcome_of(answered):
    return answered.result.outcome


def test_an_answer_reaches_the_one_who_asked():
    host = Host(FakeClient(finished()))
    job_id, answered = host.submit()
    assert outcome_of(answered) is Outcome.SUCCEEDED
    assert answered.result.job_id == job_id
    assert host.dispatcher.is_idle


def test_replies_that_come_at_once_do_not_nest():
    host = Host(FakeClient(finished()))
    depths = []
    start = host.dispatcher._targets.start

    def start_and_measure(effect, replied):
        depths.append(len(inspect.stack(0)))
        start(effect, replied)

    host.dispatcher._targets.start = start_and_measure
    host.submit(tasks=50)
    assert len(depths) > 1
    assert len(set(depths)) == 1


def test_an_error_in_the_client_proves_nothing_about_the_task():
    client = FakeClient(RuntimeError("broken"))
    host = Host(client)
    _, answered = host.submit()
    for _ in range(3_000):
        host.clock.advance(20)
        host.dispatcher.tick()
    assert len(client.starts) == 1
    assert outcome_of(answered) is Outcome.UNKNOWN


def test_an_unknown_target_is_never_called():
    client = FakeClient(finished())
    host = Host(client)
    replies, states = [], []
    host.dispatcher._targets.start(
        StartTask("t9", "j/0/1", Task(0, "k"), 100), lambda _, r: replies.append(r)
    )
    host.dispatcher._targets.stop(StopTasks("t9", ("j/0/1",)), states.append)
    assert replies == [
        TaskNotSent("the target has never been on the live list of this host")
    ]
    assert states == [TaskStates("t9", ("j/0/1",), None)]
    assert not client.starts


def test_a_target_that_left_the_list_can_still_be_asked():
    client = FakeClient(TaskSilent("lost"))
    host = Host(client)
    host.dispatcher.replace_targets([])
    host.dispatcher.carry_out([StopTasks("t1", ("j/0/1",))])
    assert client.stops[0][0] == TARGET


def test_the_hops_of_a_batch_from_a_peer_are_one_trace():
    client = FakeClient(finished())
    host = Host(client)
    host.dispatcher.peer_connected(PEER)
    batch = PlaceBatch(1, "j9", (Task(0, "k"),), ("t1",), 1_000, "c", "t", "default")
    host.dispatcher.peer_message(PEER, batch)
    spans = {span.name: span for span in host.tracer.ring.spans_of("j9")}
    assert spans["target.task"].parent_id == spans["home.batch"].span_id
    assert client.starts[0][1].traceparent.split("-")[2] == spans["target.task"].span_id


def test_a_hop_of_two_tasks_ends_with_the_second():
    host = Host(FakeClient())
    host.dispatcher.peer_connected(PEER)
    tasks = (Task(0, "k"), Task(1, "k"))
    batch = PlaceBatch(1, "j9", tasks, ("t1",), 1_000, "c", "t", "default")
    host.dispatcher.peer_message(PEER, batch)
    failed = TaskResult(0, Outcome.FAILED)
    host.dispatcher.carry_out([SendPeer(PEER, BatchResults(1, (failed,)))])
    assert host.tracer.ring.spans_of("j9") == ()
    host.dispatcher.carry_out([SendPeer(PEER, BatchResults(1, (), (1,)))])
    assert [span.name for span in host.tracer.ring.spans_of("j9")] == ["home.batch"]


def test_a_lost_peer_ends_its_hops():
    host = Host(FakeClient(None))
    host.dispatcher.peer_connected(PEER)
    batch = PlaceBatch(1, "j9", (Task(0, "k"),), ("t1",), 1_000, "c", "t", "default")
    host.dispatcher.peer_message(PEER, batch)
    host.dispatcher.peer_lost(PEER)
    (span,) = host.tracer.ring.spans_of("j9")
    assert span.attributes["peer_lost"] == "True"


def test_messages_go_out_in_order():
    host = Host(FakeClient())
    effects = [SendPeer(PEER, CancelBatch(number)) for number in range(5)]
    host.dispatcher.carry_out(effects)
    assert host.sent == [(PEER, CancelBatch(number)) for number in range(5)]
