"""Whole engines against scripted targets: one start, one whole true answer."""

import pytest

from hibiscusstack.dispatch.answers import Outcome, Reason
from hibiscusstack.dispatch.effects import StartTask, TaskRefused
from hibiscusstack.dispatch.jobs import Job, Task
from hibiscusstack.dispatch.messages import PlaceBatch, QueryBatch
from hibiscusstack.dispatch.policy.text import read_policy
from hibiscusstack.dispatch.tests.fleets import (
    Fleet,
    make_job,
    make_tasks,
    one_data_centre_fleet,
)
from hibiscusstack.dispatch.views import QueueSnapshot


def outcomes_of(answer):
    return [result.outcome for result in answer.results]


def test_job_succeeds_with_whole_answer():
    fleet = one_data_centre_fleet()
    request = fleet.submit(0, make_job(fleet.mint(0), *[100] * 20))
    fleet.run(200)
    answer = fleet.answers[request]
    assert answer.outcome is Outcome.SUCCEEDED
    assert [result.index for result in answer.results] == list(range(20))
    assert fleet.total_starts() == 20


def test_slots_are_never_exceeded():
    fleet = Fleet(hosts=1, targets=2, slots=4)
    request = fleet.submit(0, make_job(fleet.mint(0), *[50] * 40))
    fleet.run(1_000)
    assert fleet.answers[request].outcome is Outcome.SUCCEEDED
    assert max(t.max_running for t in fleet.targets.values()) == 4


def test_the_queue_of_a_host_is_shown():
    fleet = Fleet(hosts=1, targets=1, slots=1)
    fleet.submit(0, make_job(fleet.mint(0), 50, 50, 50))
    fleet.run(20)
    (engine,) = fleet.engines.values()
    assert engine.view_queue() == [QueueSnapshot("default", "default", 2, 100)]


def test_resubmission_elsewhere_joins_the_first():
    fleet = one_data_centre_fleet()
    job = make_job(fleet.mint(0), 100, 100)
    first = fleet.submit(0, job)
    second = fleet.submit(1, job)
    fleet.run(50)
    third = fleet.submit(2, job)
    fleet.run(500)
    late = fleet.submit(1, job)
    fleet.run(50)
    answers = [fleet.answers[r] for r in (first, second, third, late)]
    assert all(answer == answers[0] for answer in answers)
    assert fleet.total_starts() == 2


def test_another_caller_never_gets_the_answer():
    fleet = one_data_centre_fleet()
    job_id = fleet.mint(0)
    fleet.submit(0, make_job(job_id, 10))
    fleet.run(50)
    request = fleet.submit(1, make_job(job_id, 10, caller="other guard"))
    fleet.run(50)
    answer = fleet.answers[request]
    assert answer.outcome is Outcome.NOT_RUN
    assert answer.results == ()


def test_failed_task_cancels_the_rest_at_once():
    fleet = Fleet(hosts=1, targets=1, slots=1)
    fleet.targets["t0"].fails = True
    request = fleet.submit(0, make_job(fleet.mint(0), 50, 50, 50))
    fleet.run(80)
    answer = fleet.answers[request]
    assert answer.outcome is Outcome.FAILED
    assert outcomes_of(answer) == [Outcome.FAILED] + [Outcome.NOT_RUN] * 2
    fleet.run(1_000)
    assert fleet.total_starts() == 1


def test_lost_answer_is_found_out_from_the_target():
    fleet = one_data_centre_fleet()
    for target in fleet.targets.values():
        target.lose_answers = True
    request = fleet.submit(0, make_job(fleet.mint(0), 100, 100))
    fleet.run(1_000)
    assert fleet.answers[request].outcome is Outcome.SUCCEEDED
    assert fleet.total_starts() == 2


def test_a_restarted_target_proves_nothing_about_earlier_starts():
    fleet = one_data_centre_fleet()
    request = fleet.submit(0, make_job(fleet.mint(0), 500, timeout_ms=2_000))
    fleet.run(100)
    for name in list(fleet.targets):
        fleet.restart_target(name)
    fleet.run(5_000)
    assert fleet.total_starts() == 1
    assert fleet.answers[request].outcome is Outcome.UNKNOWN


def test_restarted_targets_prove_nothing_for_a_lost_home():
    fleet = one_data_centre_fleet()
    request = fleet.submit(0, make_job(fleet.mint(0), *[300] * 12))
    fleet.run(100)
    for name in list(fleet.targets):
        fleet.restart_target(name)
    fleet.kill(1)
    fleet.run(60_000)
    assert fleet.total_starts() == 12
    assert fleet.answers[request].outcome is not Outcome.SUCCEEDED


def lose_paused_home(fleet):
    fleet.call(0, "peer_disconnected", fleet.names[1])
    fleet.call(0, "peer_lost", fleet.names[1])
    fleet.run(500)
    for name in list(fleet.targets):
        fleet.restart_target(name)
    fleet.run(500)


def test_a_home_that_wakes_starts_nothing_that_it_held():
    fleet = Fleet(hosts=2, targets=4, slots=1)
    request = fleet.submit(0, make_job(fleet.mint(0), *[400] * 12))
    fleet.run(20)
    fleet.pause(1)
    lose_paused_home(fleet)
    fleet.run(3_000)
    fleet.resume(1)
    fleet.run(10_000)
    assert request in fleet.answers
    assert fleet.count_started_twice() == 0


def test_a_home_that_wakes_starts_nothing_that_arrived_meanwhile():
    fleet = Fleet(hosts=2, targets=4, slots=1)
    fleet.run(20)
    fleet.pause(1)
    request = fleet.submit(0, make_job(fleet.mint(0), *[400] * 12))
    fleet.run(20)
    lose_paused_home(fleet)
    fleet.run(3_000)
    fleet.resume(1)
    fleet.run(10_000)
    assert request in fleet.answers
    assert fleet.count_started_twice() == 0


def test_silent_target_ends_as_unknown_by_the_deadline():
    fleet = Fleet(hosts=1, targets=1)
    request = fleet.submit(0, make_job(fleet.mint(0), 100, timeout_ms=2_000))
    fleet.run(20)
    fleet.targets["t0"].is_cut = True
    fleet.run(2_300)
    answer = fleet.answers[request]
    assert answer.outcome is Outcome.UNKNOWN
    assert fleet.total_starts() == 1


@pytest.mark.parametrize("kill_after_ms", [0, 1, 2, 3, 5, 50, 101, 104])
def test_lost_home_is_recovered_through_the_targets(kill_after_ms):
    fleet = Fleet(hosts=3, targets=6, slots=2)
    request = fleet.submit(0, make_job(fleet.mint(0), *[100] * 24))
    fleet.run(kill_after_ms)
    fleet.kill(1)
    fleet.run(3_000)
    assert fleet.answers[request].outcome is Outcome.SUCCEEDED
    assert fleet.count_started_twice() == 0
    assert fleet.total_starts() == 24


def test_lost_owner_is_answered_unknown_and_nobody_starts_again():
    fleet = one_data_centre_fleet()
    job = make_job(fleet.mint(0), 100)
    request = fleet.submit(1, job)
    fleet.run(20)
    fleet.kill(0)
    fleet.run(10)
    assert fleet.answers[request].problem.reason is Reason.OWNER_LOST
    again = fleet.submit(2, job)
    assert fleet.answers[again].outcome is Outcome.UNKNOWN
    fleet.run(1_000)
    assert fleet.total_starts() == 1


def test_first_attempt_that_reached_no_owner_was_not_run():
    fleet = one_data_centre_fleet()
    job = make_job(fleet.mint(0), 100, is_first_attempt=True)
    fleet.kill(0)
    request = fleet.submit(1, job)
    assert fleet.answers[request].outcome is Outcome.NOT_RUN


@pytest.mark.parametrize("cut_after_ms", [0, 1, 2, 60, 101])
def test_cut_between_owner_and_home_loses_nothing(cut_after_ms):
    fleet = Fleet(hosts=2, targets=4, slots=2)
    request = fleet.submit(0, make_job(fleet.mint(0), *[100] * 16))
    fleet.run(cut_after_ms)
    fleet.cut_link(0, 1)
    fleet.run(200)
    fleet.restore_link(0, 1)
    fleet.run(2_000)
    assert fleet.answers[request].outcome is Outcome.SUCCEEDED
    assert fleet.total_starts() == 16


@pytest.mark.parametrize("cut_after_ms", [0, 1, 2, 60])
def test_home_taken_for_lost_starts_nothing_twice(cut_after_ms):
    fleet = Fleet(hosts=2, targets=4, slots=2)
    request = fleet.submit(0, make_job(fleet.mint(0), *[100] * 16))
    fleet.run(cut_after_ms)
    fleet.cut_link(0, 1)
    fleet.call(0, "peer_lost", fleet.names[1])
    fleet.run(300)
    fleet.restore_link(0, 1)
    fleet.run(3_000)
    assert fleet.answers[request].outcome is Outcome.SUCCEEDED
    assert fleet.total_starts() == 16


def test_cancel_drops_what_waits():
    fleet = Fleet(hosts=1, targets=1, slots=1)
    job = make_job(fleet.mint(0), 100, 100, 100)
    request = fleet.submit(0, job)
    fleet.run(10)
    fleet.call(0, "cancel", job.job_id, "someone else")
    assert request not in fleet.answers
    fleet.call(0, "cancel", job.job_id, job.caller)
    answer = fleet.answers[request]
    assert outcomes_of(answer) == [Outcome.UNKNOWN] + [Outcome.NOT_RUN] * 2
    fleet.run(1_000)
    assert fleet.total_starts() == 1


def test_job_without_targets_is_refused_at_once():
    fleet = Fleet(hosts=1, targets=0)
    request = fleet.submit(0, make_job(fleet.mint(0), 10))
    answer = fleet.answers[request]
    assert answer.outcome is Outcome.NOT_RUN
    assert answer.problem.reason is Reason.NO_MATCHING_TARGET


def test_leaving_target_gets_nothing_more():
    fleet = Fleet(hosts=1, targets=2)
    fleet.targets["t0"].refuses = "leaving"
    request = fleet.submit(0, make_job(fleet.mint(0), *[10] * 40))
    fleet.run(2_000)
    assert fleet.answers[request].outcome is Outcome.SUCCEEDED
    assert sum(fleet.targets["t0"].starts.values()) == 0


def test_a_host_that_drains_alone_finishes_what_it_took():
    fleet = Fleet(hosts=1, targets=1, slots=1)
    request = fleet.submit(0, make_job(fleet.mint(0), *[100] * 5))
    fleet.run(50)
    fleet.call(0, "drain")
    fleet.run(2_000)
    assert fleet.answers[request].outcome is Outcome.SUCCEEDED
    assert fleet.engines[fleet.names[0]].is_idle


def test_drain_gives_queued_work_back_and_answers_everyone():
    fleet = Fleet(hosts=2, targets=4, slots=1)
    remote = fleet.submit(0, make_job(fleet.mint(0), *[100] * 12))
    local = fleet.submit(1, make_job(fleet.mint(1), *[100] * 2))
    fleet.run(20)
    fleet.call(1, "drain")
    fleet.call(0, "receive", fleet.names[1], fleet.engines[fleet.names[1]].heartbeat())
    refused = fleet.submit(1, make_job(fleet.mint(1), 100))
    fleet.run(3_000)
    assert fleet.answers[remote].outcome is Outcome.SUCCEEDED
    assert fleet.answers[local].outcome is Outcome.SUCCEEDED
    assert fleet.answers[refused].problem.reason is Reason.DRAINING
    assert fleet.engines[fleet.names[1]].is_idle
    assert fleet.total_starts() == 14


def test_messages_between_hosts_stay_few():
    fleet = one_data_centre_fleet()
    for _ in range(10):
        fleet.submit(0, make_job(fleet.mint(0), *[10] * 20))
        fleet.run(100)
    assert sum(fleet.peer_messages.values()) / 200 <= 0.05


def test_fresh_job_does_not_wait_for_a_disconnected_peer():
    fleet = Fleet(hosts=2, targets=8, slots=2)
    fleet.run(5)
    fleet.cut_link(0, 1)
    fleet.call(0, "peer_disconnected", fleet.names[1])
    request = fleet.submit(0, make_job(fleet.mint(0), *[50] * 30))
    fleet.run(500)
    assert fleet.answers[request].outcome is Outcome.SUCCEEDED


def test_busy_targets_are_waited_for_until_the_deadline():
    fleet = Fleet(hosts=1, targets=1)
    fleet.targets["t0"].refuses = "busy"
    request = fleet.submit(0, make_job(fleet.mint(0), 10, 10))
    fleet.run(2_000)
    fleet.targets["t0"].refuses = ""
    fleet.run(200)
    assert fleet.answers[request].outcome is Outcome.SUCCEEDED


SHORT_ON_FIRST_TARGETS = """
[labels t0]
part = first

[placement short]
work = kind = short
targets = part = first
"""


def test_target_with_longer_work_is_not_taken_for_slow():
    fleet = Fleet(hosts=1, targets=4)
    fleet.call(0, "apply_configuration", read_policy(SHORT_ON_FIRST_TARGETS).ok, 1)
    for _ in range(20):
        short = [Task(i, "short", 5, run_time_ms=5) for i in range(8)]
        fleet.submit(0, Job(fleet.mint(0), "guard", tuple(short)))
        fleet.submit(0, make_job(fleet.mint(0), *[100] * 24))
        fleet.run(150)
    request = fleet.submit(0, make_job(fleet.mint(0), *[100] * 32))
    fleet.run(130)
    assert fleet.answers[request].outcome is Outcome.SUCCEEDED


def test_a_home_cut_off_from_an_owner_starts_none_of_its_queue():
    fleet = Fleet(hosts=2, targets=4, slots=1)
    fleet.run(5)
    fleet.submit(1, make_job(fleet.mint(1), 300, 300))
    fleet.run(5)
    request = fleet.submit(0, make_job(fleet.mint(0), *[100] * 24))
    fleet.run(20)
    fleet.cut_link(0, 1)
    fleet.call(0, "peer_disconnected", fleet.names[1])
    fleet.call(1, "peer_disconnected", fleet.names[0])
    fleet.call(0, "peer_lost", fleet.names[1])
    fleet.run(5)
    for view in fleet.engines[fleet.names[1]].view_targets():
        if view.home == fleet.names[1] and view.running:
            fleet.restart_target(view.target.name)
    fleet.run(6_000)
    assert fleet.answers[request].outcome is Outcome.SUCCEEDED
    assert fleet.count_started_twice() == 0


def test_a_task_refused_after_its_owner_went_away_is_not_started_again():
    fleet = Fleet(hosts=2, targets=2)
    owner, home = fleet.names
    engine = fleet.engines[home]
    batch = PlaceBatch(
        1, "job", make_tasks(100), ("t0", "t1"), 5_000, "guard", "team", "default"
    )
    (start,) = engine.receive(owner, batch)
    engine.peer_disconnected(owner)
    engine.target_replied(start, TaskRefused("busy"))
    fleet.clock.advance(100)
    assert not [e for e in engine.tick() if isinstance(e, StartTask)]
    (answer,) = engine.receive(owner, QueryBatch(1))
    assert answer.message.returned == (0,)
