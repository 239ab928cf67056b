"""Tests of what a stand-in target runs, refuses and remembers."""

from twisted.internet.task import Clock

from hibiscusstack_standins.worker import Refusal, TargetWorker, TaskRequest


def worker_of(slots: int = 8) -> tuple[TargetWorker, Clock]:
    """Return a worker and the clock that drives it."""
    clock = Clock()
    return TargetWorker("t1", slots, clock), clock


def request_of(task_id: str = "j/0/1", run_ms: int = 50, **changes) -> TaskRequest:
    """Return a request to run for ``run_ms``."""
    payload = {"run_ms": run_ms, "value": 7} | changes.pop("payload", {})
    return TaskRequest(task_id, payload, **({"lease_ms": 1_000} | changes))


def test_a_task_runs_for_its_time_and_echoes_its_value():
    worker, clock = worker_of()
    ended = []
    assert worker.start(request_of(run_ms=50), ended.append) is None
    clock.advance(0.049)
    assert ended == []
    clock.advance(0.001)
    assert (ended[0].succeeded, ended[0].value, ended[0].run_time_ms) == (True, 7, 50)


def test_a_task_sent_twice_starts_twice():
    worker, _ = worker_of()
    for _ in range(2):
        assert worker.start(request_of(), lambda _: None) is None
    assert worker.starts == {"j/0/1": 2}


def test_a_full_target_refuses():
    worker, _ = worker_of(slots=1)
    worker.start(request_of("j/0/1"), lambda _: None)
    assert worker.start(request_of("j/1/1"), lambda _: None) == Refusal("busy")
    assert worker.starts == {"j/0/1": 1}
    assert worker.refused == {"busy": 1}


def test_a_stop_is_remembered():
    worker, _ = worker_of()
    assert worker.stop(["j/0/1"], True) == {"j/0/1": {"state": "never_started"}}
    assert worker.start(request_of(), lambda _: None) == Refusal("stopped")


def test_a_stop_leaves_a_running_task_or_ends_it():
    worker, clock = worker_of()
    ended = []
    worker.start(request_of(), ended.append)
    assert worker.stop(["j/0/1"], True) == {"j/0/1": {"state": "running"}}
    assert worker.stop(["j/0/1"], False) == {"j/0/1": {"state": "stopped"}}
    assert [result.succeeded for result in ended] == [False]
    clock.advance(1)
    assert len(ended) == 1
    assert worker.usage()["running"] == 0


def test_a_result_is_kept_for_some_minutes():
    worker, clock = worker_of()
    worker.start(request_of(), lambda _: None)
    clock.advance(0.05)
    state = worker.stop(["j/0/1"], True)["j/0/1"]
    assert (state["state"], state["value"]) == ("finished", 7)
    clock.advance(301)
    assert worker.stop(["j/0/1"], True)["j/0/1"]["state"] != "finished"


def test_a_task_ends_with_its_lease():
    worker, clock = worker_of()
    ended = []
    worker.start(request_of(run_ms=500, lease_ms=100), ended.append)
    clock.advance(0.1)
    assert [result.succeeded for result in ended] == [False]
    refused = worker.start(request_of(lease_ms=0), ended.append)
    assert refused == Refusal("lease_expired")


def test_failing_and_straggling_tasks():
    worker, clock = worker_of()
    ended = []
    worker.start(request_of("j/0/1"), ended.append, straggle_factor=4)
    worker.start(request_of("j/1/1"), ended.append, fails=True)
    worker.start(request_of("j/2/1", payload={"fail": True}), ended.append)
    clock.advance(0.05)
    assert [result.succeeded for result in ended] == [False, False]
    clock.advance(0.15)
    assert ended[2].succeeded
