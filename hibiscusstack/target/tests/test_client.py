"""Tests of the replies that the client gives to starts, stops and queries."""

import pytest

from hibiscusstack.dispatch.answers import Outcome
from hibiscusstack.dispatch.effects import (
    StopTasks,
    TaskFinished,
    TaskNotSent,
    TaskRefused,
    TaskSilent,
    TaskState,
)
from hibiscusstack.exceptions import UnavailableError
from hibiscusstack.target import TargetClient, TargetUsage
from hibiscusstack.target.tests.network import (
    REFUSES,
    STAYS_SILENT,
    MemoryNetwork,
    finished_body,
    make_start,
    make_target,
)


@pytest.fixture
def network() -> MemoryNetwork:
    return MemoryNetwork()


@pytest.fixture
def client(network: MemoryNetwork) -> TargetClient:
    return TargetClient(network)


def reply_of(deferred):
    """Return the result of a deferred, or ``None`` if it has not fired."""
    fired = []

    def note(reply):
        fired.append(reply)
        return reply

    deferred.addCallback(note)
    return fired[0] if fired else None


def finish_one(client, network, task_id="j/0/1"):
    started = client.start(make_target(), make_start(task_id))
    network.server_ends[-1].answer(200, finished_body(task_id))
    assert isinstance(reply_of(started), TaskFinished)


def test_a_result_belongs_to_its_task(client, network):
    started = client.start(make_target(), make_start("j/4/1", payload={"gate": 3}))
    (request,) = network.server_ends[0].requests()
    assert request["task_id"] == "j/4/1"
    assert request["payload"] == {"gate": 3}
    network.server_ends[0].answer(200, finished_body("j/4/1"))
    result = reply_of(started).result
    assert (result.index, result.outcome, result.value) == (4, Outcome.SUCCEEDED, 7)


def test_a_failed_task_is_finished(client, network):
    started = client.start(make_target(), make_start())
    network.server_ends[0].answer(200, finished_body(succeeded=False))
    assert reply_of(started).result.outcome is Outcome.FAILED


@pytest.mark.parametrize("reason", ["busy", "leaving", "stopped", "lease_expired"])
def test_a_valid_refusal_is_reported_with_its_reason(client, network, reason):
    started = client.start(make_target(), make_start())
    network.server_ends[0].answer(409, {"type": reason})
    assert reply_of(started) == TaskRefused(reason)


def test_a_duplicate_refusal_cannot_answer_the_next_start(client, network):
    client.start(make_target(), make_start("j/0/1"))
    network.server_ends[0].answer(409, {"type": "busy"})
    second = client.start(make_target(), make_start("j/1/1"))
    assert network.server_ends[0].is_closed_by_client
    network.server_ends[0].answer(409, {"type": "busy"})
    assert reply_of(second) is None
    assert len(network.server_ends) == 2


def test_a_refused_connection_is_not_sent(client, network):
    network.behaviour = REFUSES
    assert isinstance(reply_of(client.start(make_target(), make_start())), TaskNotSent)


def test_a_connection_attempt_ends_with_the_timeout_of_the_task(client, network):
    network.behaviour = STAYS_SILENT
    started = client.start(make_target(), make_start(timeout_ms=400))
    host, port, factory, timeout, _ = network.tcpClients[0]
    assert (host, port, timeout) == ("10.0.0.1", 80, 0.4)
    factory.clientConnectionFailed(network.connectors[0], UnavailableError("t1", "x"))
    assert isinstance(reply_of(started), TaskNotSent)


def test_the_time_to_connect_is_bounded_by_its_own_setting(network):
    network.behaviour = STAYS_SILENT
    client = TargetClient(network, connect_timeout_ms=250)
    client.start(make_target(), make_start(timeout_ms=400))
    assert network.tcpClients[0][3] == 0.25


def test_a_payload_that_is_no_json_is_not_sent(client, network):
    command = make_start(payload=float("nan"))
    assert isinstance(reply_of(client.start(make_target(), command)), TaskNotSent)
    assert network.server_ends == []


def test_a_timeout_leaves_the_outcome_unknown_and_closes_the_connection(
    client, network
):
    started = client.start(make_target(), make_start(timeout_ms=1_000))
    network.advance(0.999)
    assert reply_of(started) is None
    network.advance(0.002)
    assert isinstance(reply_of(started), TaskSilent)
    assert network.server_ends[0].is_closed_by_client


def test_a_late_response_is_not_delivered(client, network):
    started = client.start(make_target(), make_start("j/0/1", timeout_ms=100))
    network.advance(0.2)
    second = client.start(make_target(), make_start("j/0/1"))
    network.server_ends[0].answer(200, finished_body("j/0/1"))
    assert isinstance(reply_of(started), TaskSilent)
    assert reply_of(second) is None


def test_a_start_on_a_reused_connection_that_closes_is_unknown_and_not_retried(
    client, network
):
    finish_one(client, network)
    started = client.start(make_target(), make_start("j/1/1"))
    network.server_ends[0].close()
    assert isinstance(reply_of(started), TaskSilent)
    assert len(network.server_ends) == 1
    assert [r["task_id"] for r in network.server_ends[0].requests()] == [
        "j/0/1",
        "j/1/1",
    ]


def test_a_connection_that_closed_while_idle_is_not_reused(client, network):
    finish_one(client, network)
    network.server_ends[0].close()
    client.start(make_target(), make_start("j/1/1"))
    assert len(network.server_ends) == 2


def test_a_timeout_closes_the_idle_connections_too(client, network):
    starts = [client.start(make_target(), make_start(f"j/{i}/1")) for i in range(3)]
    for index in (0, 1):
        network.server_ends[index].answer(200, finished_body(f"j/{index}/1"))
    network.advance(1.0)
    assert isinstance(reply_of(starts[2]), TaskSilent)
    assert all(end.is_closed_by_client for end in network.server_ends)
    client.start(make_target(), make_start("j/3/1"))
    assert len(network.server_ends) == 4


def test_an_idle_connection_is_not_used_after_a_second(client, network):
    finish_one(client, network)
    network.advance(1.1)
    assert network.server_ends[0].is_closed_by_client
    finish_one(client, network, "j/1/1")
    assert len(network.server_ends) == 2


def test_a_stale_connection_is_not_used_before_the_timer_closes_it(client, network):
    client.start(make_target(), make_start())
    network.advance(0.5)
    network.server_ends[0].answer(200, finished_body())
    network.advance(0.6)
    network.advance(0.5)
    assert not network.server_ends[0].is_closed_by_client
    client.start(make_target(), make_start("j/1/1"))
    assert network.server_ends[0].is_closed_by_client
    assert len(network.server_ends) == 2


def test_a_connection_is_reused_at_once(client, network):
    finish_one(client, network)
    finish_one(client, network, "j/1/1")
    assert len(network.server_ends) == 1


def test_a_response_for_another_task_is_unknown_and_closes_the_connection(
    client, network
):
    started = client.start(make_target(), make_start("j/0/1"))
    network.server_ends[0].answer(200, finished_body("j/0/10"))
    assert isinstance(reply_of(started), TaskSilent)
    assert network.server_ends[0].is_closed_by_client


def test_a_duplicate_result_closes_the_connection(client, network):
    finish_one(client, network)
    network.server_ends[0].answer(200, finished_body())
    assert network.server_ends[0].is_closed_by_client


def test_starts_leave_connections_free_for_stops(client, network):
    target = make_target(connections=8)
    starts = [client.start(target, make_start(f"j/{i}/1")) for i in range(5)]
    assert len(network.server_ends) == 4
    assert isinstance(reply_of(starts[4]), TaskNotSent)
    client.stop(target, StopTasks("t1", ("j/0/1",)))
    assert len(network.server_ends) == 5


def test_stops_close_idle_connections_to_stay_within_the_limit(client, network):
    target = make_target(connections=2)
    started = client.start(target, make_start())
    network.server_ends[0].answer(200, finished_body())
    assert reply_of(started)
    client.stop(target, StopTasks("t1", ("j/0/1",)))
    client.stop(target, StopTasks("t1", ("j/1/1",)))
    assert network.server_ends[0].is_closed_by_client


def test_a_stop_uses_a_new_connection_and_returns_the_states(client, network):
    finish_one(client, network)
    command = StopTasks("t1", ("j/0/1", "j/1/1"))
    stopped = client.stop(make_target(), command)
    finished = finished_body() | {"state": "finished"}
    tasks = {"j/0/1": finished, "j/1/1": {"state": "never_started"}}
    network.server_ends[1].answer(200, {"memory_ms": 60_000, "tasks": tasks})
    states = reply_of(stopped)
    assert states.states["j/1/1"] is TaskState.NEVER_STARTED
    assert states.results["j/0/1"].value == 7
    assert network.server_ends[1].is_closed_by_client


@pytest.mark.parametrize(
    "tasks",
    [{}, {"j/0/1": {"state": "odd"}}, {"j/0/1": {"state": "finished"}}, [], None],
)
def test_malformed_states_are_unknown_states(client, network, tasks):
    stopped = client.stop(make_target(), StopTasks("t1", ("j/0/1",)))
    network.server_ends[0].answer(200, {"memory_ms": 60_000, "tasks": tasks})
    assert reply_of(stopped).states is None


def test_an_unreachable_target_gives_unknown_states(client, network):
    network.behaviour = REFUSES
    stopped = client.stop(make_target(), StopTasks("t1", ("j/0/1",)))
    assert reply_of(stopped).states is None


def test_a_connection_whose_task_the_target_never_started_is_closed(client, network):
    started = client.start(make_target(), make_start("j/0/1"))
    stopped = client.stop(make_target(), StopTasks("t1", ("j/0/1",)))
    tasks = {"j/0/1": {"state": "never_started"}}
    network.server_ends[1].answer(200, {"memory_ms": 60_000, "tasks": tasks})
    assert reply_of(stopped).states["j/0/1"] is TaskState.NEVER_STARTED
    assert reply_of(started) is None
    network.advance(0)
    assert isinstance(reply_of(started), TaskSilent)
    assert network.server_ends[0].is_closed_by_client


def test_a_connection_whose_task_runs_is_kept(client, network):
    started = client.start(make_target(), make_start("j/0/1"))
    client.stop(make_target(), StopTasks("t1", ("j/0/1",)))
    tasks = {"j/0/1": {"state": "running"}}
    network.server_ends[1].answer(200, {"memory_ms": 60_000, "tasks": tasks})
    network.advance(0)
    assert not network.server_ends[0].is_closed_by_client
    network.server_ends[0].answer(200, finished_body("j/0/1"))
    assert isinstance(reply_of(started), TaskFinished)


def test_usage_is_decoded(client, network):
    fetched = client.fetch_usage(make_target())
    body = {"processors_milli": 1500, "memory_mb": 64, "running": 2}
    network.server_ends[0].answer(200, body)
    assert reply_of(fetched) == TargetUsage(1500, 64, 2)


def test_malformed_usage_is_unavailable(client, network):
    fetched = client.fetch_usage(make_target())
    network.server_ends[0].answer(200, {"processors_milli": "many"})
    failures = []
    fetched.addErrback(failures.append)
    assert failures[0].check(UnavailableError)


def test_closing_a_target_leaves_the_outcome_of_its_starts_unknown(client, network):
    started = client.start(make_target(), make_start())
    client.close_target("t1")
    assert isinstance(reply_of(started), TaskSilent)


def test_a_target_at_a_new_port_gets_new_connections(client, network):
    finish_one(client, network)
    client.start(make_target(port=81), make_start("j/1/1"))
    assert network.server_ends[0].is_closed_by_client
    assert network.tcpClients[-1][1] == 81


def test_closing_leaves_no_timer(client, network):
    finish_one(client, network)
    client.close()
    assert network.getDelayedCalls() == []
