"""Questions to targets, and the verdicts that their answers allow."""

from hibiscusstack.dispatch.answers import Outcome, TaskResult
from hibiscusstack.dispatch.effects import StopTasks, TaskState, TaskStates
from hibiscusstack.dispatch.homes.home import SILENCE_GRACE_MS
from hibiscusstack.dispatch.observation.reconciliation import (
    RETRY_INTERVAL_MS,
    RUNNING_POLL_INTERVAL_MS,
    TaskReconciler,
    TaskResolution,
)
from hibiscusstack.dispatch.tests.fleets import Fleet, job_of

BOTH = frozenset({"t1", "t2"})
LONG_MEMORY_MS = 60_000


def say(target, *task_ids, state=None, results=None):
    states = dict.fromkeys(task_ids, state) if state else None
    return TaskStates(target, task_ids, states, results or {}, memory_ms=LONG_MEMORY_MS)


def asked(targets=BOTH, give_up_ms=1_000):
    inquiry = TaskReconciler()
    inquiry.open_query("j/0/1", 0, targets, 0, give_up_ms)
    inquiry.requests_due(0)
    return inquiry


def test_every_target_must_say_that_a_task_never_started():
    inquiry = asked()
    never = TaskState.NEVER_STARTED
    assert inquiry.task_states_received(say("t1", "j/0/1", state=never), 1) == []
    verdicts = inquiry.task_states_received(say("t2", "j/0/1", state=never), 1)
    assert verdicts == [TaskResolution("j/0/1", is_never_started=True)]
    assert len(inquiry) == 0


def test_a_result_settles_the_question_whatever_others_say():
    inquiry = asked()
    result = TaskResult(7, Outcome.SUCCEEDED, "licence")
    answer = say("t2", "j/0/1", state=TaskState.FINISHED, results={"j/0/1": result})
    (verdict,) = inquiry.task_states_received(answer, 1)
    assert verdict.result == TaskResult(0, Outcome.SUCCEEDED, "licence")


def test_a_running_task_is_asked_about_again_on_its_target_only():
    inquiry = asked()
    inquiry.task_states_received(say("t1", "j/0/1", state=TaskState.RUNNING), 1)
    assert inquiry.requests_due(1) == []
    due = inquiry.requests_due(1 + RUNNING_POLL_INTERVAL_MS)
    assert due == [StopTasks("t1", ("j/0/1",))]


def test_an_unreachable_target_is_asked_again():
    inquiry = asked(frozenset({"t1"}))
    inquiry.task_states_received(say("t1", "j/0/1"), 1)
    assert inquiry.requests_due(RETRY_INTERVAL_MS) == []
    assert len(inquiry.requests_due(1 + RETRY_INTERVAL_MS)) == 1


def test_a_question_is_given_up_once():
    inquiry = asked(give_up_ms=1_000)
    assert inquiry.close_overdue(999) == []
    assert inquiry.close_overdue(1_000) == [TaskResolution("j/0/1")]
    assert inquiry.close_overdue(1_000) == []


def test_an_answer_to_an_older_request_counts_for_nothing():
    inquiry = asked()
    assert (
        inquiry.task_states_received(say("t1", "j/9/9", state=TaskState.FINISHED), 1)
        == []
    )
    assert len(inquiry) == 1


def test_asking_about_one_task_loses_no_verdict_on_another():
    fleet = Fleet(hosts=1, targets=2, slots=1)
    home = fleet.engines[fleet.names[0]]._home
    fleet.submit(0, job_of(fleet.mint(0), 5, timeout_ms=100))
    fleet.run(4)
    for target in fleet.targets.values():
        target.is_cut = bool(target.running)
        target.lose_answers = True
    given_up_ms = 100 + SILENCE_GRACE_MS
    silent_after_ms = 7
    fleet.run(given_up_ms - silent_after_ms - fleet.clock.now_ms())
    fleet.submit(0, job_of(fleet.mint(0), 5))
    fleet.run(3_000)
    assert home.running_count == 0
