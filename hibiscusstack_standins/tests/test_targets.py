"""Tests of the faults that a stand-in target shows over HTTP."""

import json

import pytest
from twisted.internet.address import IPv4Address
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.web.server import Site

from hibiscusstack_standins.faults import TargetFaults
from hibiscusstack_standins.serving import SilenceableFactory
from hibiscusstack_standins.targets import TargetResource
from hibiscusstack_standins.worker import TargetWorker


class Rig:
    """One stand-in target and one connection to it, in memory."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.worker = TargetWorker("t1", 8, self.clock)
        self.resource = TargetResource(self.worker, self.clock)
        site = Site(self.resource, reactor=self.clock)
        self.factory = SilenceableFactory(site)
        self.connect()

    def connect(self) -> None:
        """Replace the connection by a new one."""
        self.transport = StringTransport()
        self._protocol = self.factory.buildProtocol(IPv4Address("TCP", "10.0.0.2", 9))
        self._protocol.makeConnection(self.transport)

    def post(self, path: str, body: dict) -> None:
        """Send one request."""
        data = json.dumps(body).encode()
        head = f"POST {path} HTTP/1.1\r\nHost: t\r\nContent-Length: {len(data)}\r\n\r\n"
        self._protocol.dataReceived(head.encode() + data)

    def start(self, task_id: str = "j/0/1", **changes) -> None:
        """Ask for the start of a task of 50 ms."""
        self.post("/v1/tasks", {"task_id": task_id, "lease_ms": 1_000} | changes)

    def answers(self) -> list[tuple[int, dict]]:
        """Return each status and body that came on the connection."""
        parts = self.transport.value().split(b"HTTP/1.1 ")[1:]
        return [
            (int(part[:3]), json.loads(part.partition(b"\r\n\r\n")[2]))
            for part in parts
        ]


@pytest.fixture
def rig() -> Rig:
    return Rig()


def test_a_task_is_answered_when_it_has_ended(rig):
    rig.start(payload={"value": 7})
    assert rig.answers() == []
    rig.clock.advance(0.05)
    body = {"task_id": "j/0/1", "succeeded": True, "value": 7, "run_time_ms": 50}
    assert rig.answers() == [(200, body)]


@pytest.mark.parametrize(
    ("faults", "started", "answered"),
    [
        ({"refuse": "busy"}, 0, [409]),
        ({"refuse": "busy", "answer_twice": True}, 0, [409, 409]),
        ({"leaving": True}, 0, [409]),
        ({"hang": True}, 0, []),
        ({"mute": True}, 1, []),
        ({"lose_answer": True}, 1, []),
        ({"answer_twice": True}, 1, [200, 200]),
        ({"answer_delay_ms": 100}, 1, []),
        ({"straggle_factor": 3.0}, 1, []),
        ({"fail_every_task": True}, 1, [200]),
        ({"fail_every_task": True, "share": 0.0}, 1, [200]),
    ],
)
def test_each_fault_shows(rig, faults, started, answered):
    rig.resource.faults = TargetFaults(**faults)
    rig.start()
    rig.clock.advance(0.05)
    rig.clock.advance(0.02)
    assert rig.worker.starts.total() == started
    assert [status for status, _ in rig.answers()] == answered


def test_an_answer_under_another_name(rig):
    rig.resource.faults = TargetFaults(answer_other=True)
    rig.start("j/0/1")
    rig.clock.advance(0.05)
    assert rig.answers()[0][1]["task_id"] != "j/0/1"


def test_open_connections_go_silent_while_new_ones_work(rig):
    rig.start("j/0/1")
    silent = rig.transport
    assert rig.factory.silence_open_connections() == 1
    rig.start("j/1/1")
    rig.clock.advance(0.05)
    assert silent.value() == b""
    assert not silent.disconnecting
    assert dict(rig.worker.starts) == {"j/0/1": 1}
    rig.connect()
    rig.post("/v1/tasks/stop", {"task_ids": ["j/0/1", "j/1/1"]})
    tasks = rig.answers()[0][1]["tasks"]
    assert tasks["j/0/1"]["state"] == "finished"
    assert tasks["j/1/1"] == {"state": "never_started"}


@pytest.mark.parametrize("body", [{}, {"task_id": 7}, {"task_id": "a", "lease_ms": ""}])
def test_a_malformed_start_starts_nothing(rig, body):
    rig.post("/v1/tasks", body)
    assert rig.answers()[0][0] == 400
    assert not rig.worker.starts


def test_a_malformed_stop_is_refused(rig):
    rig.post("/v1/tasks/stop", {"task_ids": [7]})
    assert rig.answers()[0][0] == 400


def test_an_unknown_path_is_not_found(rig):
    rig.post("/v2/tasks", {})
    assert rig.answers()[0][0] == 404
