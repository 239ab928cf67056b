"""Tests of the queries about tasks and how the answers of targets resolve them."""

from hibiscusstack.dispatch.answers import Outcome, TaskResult
from hibiscusstack.dispatch.effects import StopTasks, TaskState, TaskStates
from hibiscusstack.dispatch.homes.home import NO_ANSWER_GRACE_MS
from hibiscusstack.dispatch.observation.reconciliation import (
    POLL_INTERVAL_MS,
    RETRY_INTERVAL_MS,
    TaskReconciler,
    TaskResolution,
)
from hibiscusstack.dispatch.tests.fleets import Fleet, make_job

BOTH = frozenset({"t1", "t2"})
LONG_HISTORY_MS = 60_000


def make_states(target, *task_ids, state=None, results=None):
    states = dict.fromkeys(task_ids, state) if state else None
    return TaskStates(
        target, task_ids, states, results or {}, memory_ms=LONG_HISTORY_MS
    )


def make_reconciler(targets=BOTH, deadline_ms=1_000):
    reconciler = TaskReconciler()
    reconciler.open_query("j/0/1", 0, targets, 0, deadline_ms)
    reconciler.requests_due(0)
    return reconciler


def test_a_task_never_started_only_if_every_target_reports_so():
    reconciler = make_reconciler()
    never = TaskState.NEVER_STARTED
    assert (
        reconciler.task_states_received(make_states("t1", "j/0/1", state=never), 1)
        == []
    )
    resolutions = reconciler.task_states_received(
        make_states("t2", "j/0/1", state=never), 1
    )
    assert resolutions == [TaskResolution("j/0/1", is_never_started=True)]
    assert len(reconciler) == 0


def test_a_result_from_one_target_resolves_the_task():
    reconciler = make_reconciler()
    result = TaskResult(7, Outcome.SUCCEEDED, "licence")
    answer = make_states(
        "t2", "j/0/1", state=TaskState.FINISHED, results={"j/0/1": result}
    )
    (resolution,) = reconciler.task_states_received(answer, 1)
    assert resolution.result == TaskResult(0, Outcome.SUCCEEDED, "licence")


def test_a_running_task_is_polled_on_its_target_only():
    reconciler = make_reconciler()
    reconciler.task_states_received(
        make_states("t1", "j/0/1", state=TaskState.RUNNING), 1
    )
    assert reconciler.requests_due(1) == []
    due = reconciler.requests_due(1 + POLL_INTERVAL_MS)
    assert due == [StopTasks("t1", ("j/0/1",))]


def test_an_unreachable_target_is_asked_again():
    reconciler = make_reconciler(frozenset({"t1"}))
    reconciler.task_states_received(make_states("t1", "j/0/1"), 1)
    assert reconciler.requests_due(RETRY_INTERVAL_MS) == []
    assert len(reconciler.requests_due(1 + RETRY_INTERVAL_MS)) == 1


def test_an_overdue_query_is_closed_once():
    reconciler = make_reconciler(deadline_ms=1_000)
    assert reconciler.close_overdue(999) == []
    assert reconciler.close_overdue(1_000) == [TaskResolution("j/0/1")]
    assert reconciler.close_overdue(1_000) == []


def test_an_answer_to_another_request_is_ignored():
    reconciler = make_reconciler()
    assert (
        reconciler.task_states_received(
            make_states("t1", "j/9/9", state=TaskState.FINISHED), 1
        )
        == []
    )
    assert len(reconciler) == 1


def test_a_query_about_one_task_does_not_lose_the_resolution_of_another():
    fleet = Fleet(hosts=1, targets=2, slots=1)
    home = fleet.engines[fleet.names[0]]._home
    fleet.submit(0, make_job(fleet.mint(0), 5, timeout_ms=100))
    fleet.run(4)
    for target in fleet.targets.values():
        target.is_cut = bool(target.running)
        target.lose_answers = True
    query_deadline_ms = 100 + NO_ANSWER_GRACE_MS
    silent_after_ms = 7
    fleet.run(query_deadline_ms - silent_after_ms - fleet.clock.now_ms())
    fleet.submit(0, make_job(fleet.mint(0), 5))
    fleet.run(3_000)
    assert home.running_count == 0
