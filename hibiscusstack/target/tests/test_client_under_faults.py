"""Tests that the client's replies are true when stand-in targets have faults."""

import random

import pytest
from twisted.internet.address import IPv4Address
from twisted.internet.testing import MemoryReactorClock
from twisted.test.iosim import FakeTransport, connect
from twisted.web.server import Site

from hibiscusstack.dispatch.effects import (
    StopTasks,
    TaskFinished,
    TaskNotSent,
    TaskRefused,
    TaskState,
)
from hibiscusstack.dispatch.jobs import task_id_of
from hibiscusstack.target import TargetClient
from hibiscusstack.target.tests.network import make_start, make_target
from hibiscusstack_standins.faults import TargetFaults
from hibiscusstack_standins.serving import SilenceableFactory
from hibiscusstack_standins.targets import TargetResource
from hibiscusstack_standins.worker import TargetWorker

TASKS = 300
STEP_S = 0.005
FAULTS = [
    {},
    {"hang": True},
    {"mute": True},
    {"lose_answer": True},
    {"answer_twice": True},
    {"answer_other": True},
    {"answer_delay_ms": 150},
    {"answer_delay_ms": 1_500},
    {"fail_every_task": True},
    {"refuse": "busy"},
    {"refuse": "busy", "answer_twice": True},
    {"leaving": True},
    {"straggle_factor": 3.0},
]


class FaultyNetwork(MemoryReactorClock):
    """A reactor whose connections lead to one stand-in target."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.worker = TargetWorker("t1", 8, self)
        self.resource = TargetResource(self.worker, self, seed)
        self.factory = SilenceableFactory(Site(self.resource, reactor=self))
        self._pumps = []

    def connectTCP(self, host, port, factory, timeout=30, **others):  # noqa: N802
        """Connect to the target."""
        connector = super().connectTCP(host, port, factory, timeout, **others)
        client = factory.buildProtocol(None)
        server = self.factory.buildProtocol(IPv4Address("TCP", "10.0.0.2", 9))
        ends = FakeTransport(server, True), FakeTransport(client, False)
        self._pumps.append(connect(server, ends[0], client, ends[1]))
        return connector

    def step(self) -> None:
        """Advance the clock, deliver bytes, and change faults at random."""
        self.advance(STEP_S)
        while sum(bool(pump.pump()) for pump in self._pumps):
            pass
        if self.rng.random() < 0.05:
            faults = self.rng.choice(FAULTS)
            self.resource.faults = TargetFaults(**faults, share=0.5)
        if self.rng.random() < 0.01:
            self.factory.silence_open_connections()


def run_tasks(network: FaultyNetwork, client: TargetClient) -> list[tuple]:
    """Start many tasks, several at a time; return each start with its reply."""
    replies = []
    for number in range(TASKS):
        command = make_start(
            task_id_of("j", number, 1), 1_000, payload={"value": number}
        )
        started = client.start(make_target(), command)
        started.addCallback(lambda reply, c=command: replies.append((c, reply)))
        for _ in range(network.rng.randrange(8)):
            network.step()
    for _ in range(600):
        network.step()
    return replies


def check_reply(network: FaultyNetwork, command, reply) -> None:
    """Check one reply against all that the target did during the test."""
    starts = network.worker.starts[command.task_id]
    assert starts <= 1
    if isinstance(reply, TaskFinished):
        assert starts == 1
        assert reply.result.index == command.task.index
        assert reply.result.value in (command.task.index, {"error": "task failed"})
    if isinstance(reply, TaskRefused | TaskNotSent):
        assert starts == 0


@pytest.mark.parametrize("seed", range(6))
def test_every_reply_is_true_under_faults(seed):
    network = FaultyNetwork(seed)
    client = TargetClient(network)
    replies = run_tasks(network, client)
    assert len(replies) == TASKS
    for command, reply in replies:
        check_reply(network, command, reply)
    assert len({type(reply) for _, reply in replies}) >= 3


@pytest.mark.parametrize("seed", range(2))
def test_the_states_of_silent_tasks_are_true(seed):
    network = FaultyNetwork(seed)
    client = TargetClient(network)
    task_ids = tuple(command.task_id for command, _ in run_tasks(network, client))
    network.resource.faults = TargetFaults()
    answers = []
    client.stop(make_target(), StopTasks("t1", task_ids)).addCallback(answers.append)
    for _ in range(10):
        network.step()
    for task_id, state in answers[0].states.items():
        has_started = network.worker.starts[task_id] == 1
        assert (state is TaskState.NEVER_STARTED) is not has_started
