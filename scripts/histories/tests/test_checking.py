"""Planted violations of each promise are found; a clean history passes."""

import attrs
import pytest

from scripts.histories.checking import Promise, check_history
from scripts.histories.faults import FaultKind, draw_faults
from scripts.histories.records import (
    Attempt,
    ConfigurationSeen,
    GracefulStop,
    History,
    LeavingTarget,
    Published,
    TaskStart,
    Unavailable,
    read_journal,
)
from scripts.submitting import Submission

TASKS = [
    {"kind": "check", "payload": {"value": "a"}, "idempotent": True},
    {"kind": "book_turn", "payload": {"value": "b"}, "idempotent": False},
]


def result(index, outcome="succeeded", value=None):
    value = value or TASKS[index]["payload"]["value"]
    return {"index": index, "outcome": outcome, "value": value}


def answer(outcome="succeeded", job_id="j"):
    return {"id": job_id, "outcome": outcome, "tasks": [result(0), result(1)]}


def clean_history():
    history = History(seed=1)
    body = {"caller": "guard", "tasks": TASKS}
    history.submissions = [Submission("j", body, answer=answer())]
    history.starts = [TaskStart(10, "t1", "j/0/1"), TaskStart(20, "t2", "j/1/2")]
    history.attempts = [Attempt("j", "h1", 0, 500, 200)]
    history.leaving = [LeavingTarget("t1", 5)]
    history.stops = [GracefulStop("h1", 100, 0)]
    history.published = [
        Published(0, 1, 1_000, "accepted"),
        Published(0, 0, 1_000, "status 409"),
    ]
    history.seen = [
        ConfigurationSeen("h1", 7, 900, 0),
        ConfigurationSeen("h1", 7, 6_900, 0),
        ConfigurationSeen("h1", 7, 7_100, 1),
        ConfigurationSeen("h1", 8, 7_200, 1),
    ]
    return history


def promises_broken_by(history):
    return {violation.promise for violation in check_history(history)}


def test_a_clean_history_breaks_nothing():
    assert check_history(clean_history()) == []


def start_again(history):
    history.starts.append(TaskStart(30, "t2", "j/0/9"))


def start_a_booking_again(history):
    history.starts.append(TaskStart(30, "t1", "j/1/9"))


def answer_in_part(history):
    history.submissions[0].answer["tasks"].pop()


def answer_with_a_failure_inside(history):
    history.submissions[0].answer["tasks"][0]["outcome"] = "failed"


def answer_with_the_value_of_another(history):
    history.submissions[0].answer["tasks"][0]["value"] = "z"


def answer_of_another_job(history):
    history.submissions[0].answer["id"] = "k"


def answer_nothing(history):
    history.submissions[0].answer = None


def answer_otherwise_the_second_time(history):
    history.submissions[0].extra_answers.append(
        {"id": "j", "outcome": "failed", "tasks": [result(0), result(1, "failed")]}
    )


def call_it_not_run(history):
    history.submissions[0].answer = {"id": "j", "outcome": "not_run", "tasks": []}


def call_one_task_not_run(history):
    tasks = [result(0), result(1, "not_run")]
    history.submissions[0].answer = {"id": "j", "outcome": "failed", "tasks": tasks}


def run_an_abandoned_id(history):
    history.submissions[0].abandoned_ids.append("k")
    history.starts.append(TaskStart(40, "t1", "k/0/1"))


def start_late_on_a_leaving_target(history):
    history.starts[0] = TaskStart(3_006, "t1", "j/0/1")


def cut_off_a_request(history):
    history.attempts[0] = attrs.evolve(history.attempts[0], status=0)


def stop_with_work_left(history):
    history.stops[0] = GracefulStop("h1", 100, 4)


def be_late_with_a_version(history):
    history.seen[2] = ConfigurationSeen("h1", 7, 7_100, 0)


def go_back(history):
    history.seen.append(ConfigurationSeen("h1", 8, 7_300, 0))


def accept_both_racers(history):
    history.published[1] = Published(0, 2, 9_000, "accepted")


PLANTED = [
    (start_again, Promise.STARTS_ONCE),
    (start_a_booking_again, Promise.STARTS_ONCE),
    (start_a_booking_again, Promise.AT_MOST_ONCE),
    (answer_in_part, Promise.WHOLE_ANSWER),
    (answer_with_a_failure_inside, Promise.WHOLE_ANSWER),
    (answer_with_the_value_of_another, Promise.OWN_ANSWER),
    (answer_of_another_job, Promise.OWN_ANSWER),
    (answer_nothing, Promise.OWN_ANSWER),
    (answer_otherwise_the_second_time, Promise.OWN_ANSWER),
    (call_it_not_run, Promise.NOT_RUN_IS_TRUE),
    (call_one_task_not_run, Promise.NOT_RUN_IS_TRUE),
    (run_an_abandoned_id, Promise.NOT_RUN_IS_TRUE),
    (start_late_on_a_leaving_target, Promise.LEAVING),
    (cut_off_a_request, Promise.GRACEFUL_STOP),
    (stop_with_work_left, Promise.GRACEFUL_STOP),
    (be_late_with_a_version, Promise.IN_FORCE),
    (go_back, Promise.NEVER_BACK),
    (accept_both_racers, Promise.ONE_WINNER),
]


@pytest.mark.parametrize(("plant", "promise"), PLANTED)
def test_a_planted_violation_is_found(plant, promise):
    history = clean_history()
    plant(history)
    assert promise in promises_broken_by(history)


def test_every_promise_has_a_planted_violation():
    assert {promise for _, promise in PLANTED} == set(Promise)


def test_an_idempotent_task_that_starts_twice_is_no_second_booking():
    history = clean_history()
    start_again(history)
    assert promises_broken_by(history) == {Promise.STARTS_ONCE}


def test_a_paused_host_has_its_time_after_it_wakes():
    history = clean_history()
    history.seen.append(ConfigurationSeen("h2", 9, 8_000, 0))
    assert promises_broken_by(history) == {Promise.IN_FORCE}
    history.unavailable.append(Unavailable("h2", 500, 2_500))
    assert promises_broken_by(history) == set()


def test_a_caller_that_gave_up_waiting_was_not_cut_off():
    history = clean_history()
    cut_off_a_request(history)
    gave_up = attrs.evolve(history.attempts[0], has_waited_in_vain=True)
    history.attempts[0] = gave_up
    assert promises_broken_by(history) == set()


def test_a_journal_cut_short_is_read_as_far_as_it_goes(tmp_path):
    path = tmp_path / "journal"
    path.write_text('{"at_ms": 1, "target": "t", "task_id": "j/0/1"}\n{"at_ms": 2')
    assert read_journal(path) == [TaskStart(1, "t", "j/0/1")]
    assert read_journal(tmp_path / "none") == []


def test_fifty_seeds_draw_every_kind_of_fault():
    kinds = {fault.kind for seed in range(1, 51) for fault in draw_faults(seed, 3, 2)}
    assert kinds == set(FaultKind)
