"""Tests of whole engines: each task starts once, each job gets one correct answer."""

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


def test_job_succeeds_with_complete_answer():
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


def test_view_queue_shows_queued_tasks():
    fleet = Fleet(hosts=1, targets=1, slots=1)
    fleet.submit(0, make_job(fleet.mint(0), 50, 50, 50))
    fleet.run(20)
    (engine,) = fleet.engines.values()
    assert engine.view_queue() == [QueueSnapshot("default", "default", 2, 100)]


def test_resubmission_to_another_host_is_attached_to_the_first():
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


def test_failed_task_cancels_the_queued_tasks_at_once():
    fleet = Fleet(hosts=1, targets=1, slots=1)
    fleet.targets["t0"].fails = True
    request = fleet.submit(0, make_job(fleet.mint(0), 50, 50, 50))
    fleet.run(80)
    answer = fleet.answers[request]
    assert answer.outcome is Outcome.FAILED
    assert outcomes_of(answer) == [Outcome.FAILED] + [Outcome.NOT_RUN] * 2
    fleet.run(1_000)
    assert fleet.total_starts() == 1


def test_outcome_of_a_lost_answer_is_queried_from_the_target():
    fleet = one_data_centre_fleet()
    for target in fleet.targets.values():
        target.lose_answers = True
    request = fleet.submit(0, make_job(fleet.mint(0), 100, 100))
    fleet.run(1_000)
    assert fleet.answers[request].outcome is Outcome.SUCCEEDED
    assert fleet.total_starts() == 2


def test_restarted_target_does_not_prove_a_task_unstarted():
    fleet = one_data_centre_fleet()
    request = fleet.submit(0, make_job(fleet.mint(0), 500, timeout_ms=2_000))
    fleet.run(100)
    for name in list(fleet.targets):
        fleet.restart_target(name)
    fleet.run(5_000)
    assert fleet.total_starts() == 1
    assert fleet.answers[request].outcome is Outcome.UNKNOWN


def test_restarted_targets_do_not_prove_tasks_of_a_lost_home_unstarted():
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


def test_home_starts_no_queued_tasks_of_other_owners_after_a_pause():
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


def test_home_starts_no_tasks_that_arrived_during_a_pause():
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


def test_unreachable_target_leads_to_unknown_by_the_deadline():
    fleet = Fleet(hosts=1, targets=1)
    request = fleet.submit(0, make_job(fleet.mint(0), 100, timeout_ms=2_000))
    fleet.run(20)
    fleet.targets["t0"].is_cut = True
    fleet.run(2_300)
    answer = fleet.answers[request]
    assert answer.outcome is Outcome.UNKNOWN
    assert fleet.total_starts() == 1


@pytest.mark.parametrize("kill_after_ms", [0, 1, 2, 3, 5, 50, 101, 104])
def test_tasks_of_a_lost_home_are_recovered_through_the_targets(kill_after_ms):
    fleet = Fleet(hosts=3, targets=6, slots=2)
    request = fleet.submit(0, make_job(fleet.mint(0), *[100] * 24))
    fleet.run(kill_after_ms)
    fleet.kill(1)
    fleet.run(3_000)
    assert fleet.answers[request].outcome is Outcome.SUCCEEDED
    assert fleet.count_started_twice() == 0
    assert fleet.total_starts() == 24


def test_lost_owner_leads_to_unknown_and_no_second_start():
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


def test_first_attempt_that_did_not_reach_its_owner_was_not_run():
    fleet = one_data_centre_fleet()
    job = make_job(fleet.mint(0), 100, is_first_attempt=True)
    fleet.kill(0)
    request = fleet.submit(1, job)
    assert fleet.answers[request].outcome is Outcome.NOT_RUN


@pytest.mark.parametrize("cut_after_ms", [0, 1, 2, 60, 101])
def test_network_cut_between_owner_and_home_loses_no_task(cut_after_ms):
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
def test_home_wrongly_declared_lost_starts_no_task_twice(cut_after_ms):
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


def test_cancel_drops_queued_tasks():
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


def test_leaving_target_starts_no_tasks():
    fleet = Fleet(hosts=1, targets=2)
    fleet.targets["t0"].refuses = "leaving"
    request = fleet.submit(0, make_job(fleet.mint(0), *[10] * 40))
    fleet.run(2_000)
    assert fleet.answers[request].outcome is Outcome.SUCCEEDED
    assert sum(fleet.targets["t0"].starts.values()) == 0


def test_only_host_finishes_its_jobs_while_draining():
    fleet = Fleet(hosts=1, targets=1, slots=1)
    request = fleet.submit(0, make_job(fleet.mint(0), *[100] * 5))
    fleet.run(50)
    fleet.call(0, "drain")
    fleet.run(2_000)
    assert fleet.answers[request].outcome is Outcome.SUCCEEDED
    assert fleet.engines[fleet.names[0]].is_idle


def test_drain_returns_queued_tasks_and_every_job_is_answered():
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


def test_at_most_one_peer_message_per_twenty_tasks():
    fleet = one_data_centre_fleet()
    for _ in range(10):
        fleet.submit(0, make_job(fleet.mint(0), *[10] * 20))
        fleet.run(100)
    assert sum(fleet.peer_messages.values()) / 200 <= 0.05


def test_new_job_is_not_placed_on_a_disconnected_peer():
    fleet = Fleet(hosts=2, targets=8, slots=2)
    fleet.run(5)
    fleet.cut_link(0, 1)
    fleet.call(0, "peer_disconnected", fleet.names[1])
    request = fleet.submit(0, make_job(fleet.mint(0), *[50] * 30))
    fleet.run(500)
    assert fleet.answers[request].outcome is Outcome.SUCCEEDED


def test_tasks_wait_for_busy_targets():
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


def test_target_with_longer_tasks_is_not_ejected_as_slow():
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


def test_home_disconnected_from_an_owner_starts_none_of_its_queued_tasks():
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


def test_task_refused_after_its_owner_disconnected_is_returned():
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
