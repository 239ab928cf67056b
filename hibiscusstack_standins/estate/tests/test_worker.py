"""Tests of a worker: starts, leases, stops, ends, lives and gangs."""

import attrs
import pytest

from hibiscusstack_standins.estate.events import EndsAcked, LifeEnded, RunStarted
from hibiscusstack_standins.estate.jobs import Catalog, Job, Step, TaskName
from hibiscusstack_standins.estate.messages import Answer, Request, Unanswered
from hibiscusstack_standins.estate.progress import Gangs
from hibiscusstack_standins.estate.runs import Capacity, checkpoint_of
from hibiscusstack_standins.estate.worker import Worker, WorkerFaults, WorkerPlan

JOB = "5c0e7a21d94b36f8"
PLAN = WorkerPlan("w1", capacity=Capacity(cpu=1_000), hold_max_ms=10_000)


def worker_of(*steps, plan=PLAN, long_running=False, **changes):
    """Return a worker of a job with these steps."""
    job = Job(JOB, steps=steps or (Step(count=20),), long_running=long_running)
    return Worker(attrs.evolve(plan, **changes), Catalog(job))


def name(index=0, step=0):
    return f"{JOB}.0.{step}.{index}"


def call(worker, now_ms, path, **body):
    headers = body.pop("headers", {})
    return worker.handle(now_ms, Request(path, body, headers=headers, caller="edge"))


def start(worker, now_ms=0, task=None, run=1, *, until_ms=9_000, token=1, **more):
    fields = {"task": task or name(), "run": run, "until_ms": until_ms}
    fields |= {"spec": "s", "fencing_token": token, **more}
    return call(worker, now_ms, "/run-start", **fields)


def stop(worker, now_ms=0, task=None, run=1, token=1):
    fields = {"task": task or name(), "run": run, "fencing_token": token}
    return call(worker, now_ms, "/run-stop", **fields)


def hold(worker, now_ms, token=1, **more):
    return call(worker, now_ms, "/hold", fencing_token=token, **more)


def ends(worker, now_ms, **more):
    return hold(worker, now_ms, **more).body["ended"]


def reason(answer):
    assert answer.status == 409
    return answer.body["reason"]


def test_a_run_is_listed_while_it_runs_and_when_it_has_ended():
    worker = worker_of(Step(work_ms=100))
    assert start(worker) == Answer(200, {"clock_ms": 0, "born": 0})
    body = hold(worker, 41).body
    assert body == {
        "clock_ms": 41,
        "born": 0,
        "active": [[name(), 1, "", 41]],
        "ended": [],
    }
    body = hold(worker, 100).body
    assert (body["active"], body["ended"]) == ([], [[1, name(), 1, "done", ""]])


def test_ends_are_listed_until_they_are_acknowledged():
    worker = worker_of(Step(count=3, work_ms=10))
    for index in range(3):
        start(worker, index, task=name(index))
    assert [row[0] for row in ends(worker, 50)] == [1, 2, 3]
    assert [row[0] for row in ends(worker, 50, acked_through=2)] == [3]
    assert [row[0] for row in ends(worker, 50, acked_through=1)] == [3]
    acks = [e for e in worker.events if isinstance(e, EndsAcked)]
    assert [ack.acked_through for ack in acks] == [2]


def test_ends_come_500_at_a_time():
    worker = worker_of(Step(count=600, work_ms=10))
    for index in range(600):
        start(worker, task=name(index))
    assert [row[0] for row in ends(worker, 10)] == list(range(1, 501))
    rest = ends(worker, 10, acked_through=500)
    assert [row[0] for row in rest] == list(range(501, 601))


def test_a_run_that_is_there_is_answered_as_first():
    worker = worker_of(Step(work_ms=100))
    start(worker)
    assert start(worker, 5).status == 200
    assert sum(isinstance(e, RunStarted) for e in worker.events) == 1


def test_a_lower_token_does_nothing():
    worker = worker_of()
    start(worker, token=7)
    assert reason(start(worker, task=name(1), token=6)) == "fence"
    assert reason(start(worker, task=name(1), token=0)) == "fence"
    assert reason(stop(worker, token=6)) == "fence"
    assert reason(hold(worker, 0, token=6)) == "fence"
    assert worker.running() == [(name(), 1)]


def test_a_refused_call_raises_the_token_but_an_unhealthy_answer_does_not():
    worker = worker_of()
    assert reason(start(worker, until_ms=0, token=5)) == "late"
    assert reason(start(worker, token=4)) == "fence"
    worker.set_faults(0, WorkerFaults(status=503))
    assert start(worker, token=9).status == 503
    worker.set_faults(0, WorkerFaults())
    assert start(worker, token=5).status == 200


def test_a_start_carried_out_after_its_time_is_late():
    worker = worker_of()
    assert reason(start(worker, 500, until_ms=500)) == "late"
    assert start(worker, 499, until_ms=500).status == 200


def test_a_run_that_is_not_higher_than_one_that_ended_is_old():
    worker = worker_of(Step(work_ms=10))
    start(worker, run=2)
    hold(worker, 10)
    assert reason(start(worker, 11, run=2)) == "old"
    assert reason(start(worker, 11, run=1)) == "old"
    assert start(worker, 11, run=3).status == 200


def test_a_stop_bars_a_run_that_is_not_there_yet():
    worker = worker_of()
    assert stop(worker, run=2).status == 200
    assert reason(start(worker, 1, run=2)) == "old"
    assert start(worker, 1, run=3).status == 200


def test_a_guarded_worker_refuses_what_does_not_fit():
    worker = worker_of(Step(count=3, cpu=600, work_ms=100))
    start(worker)
    assert reason(start(worker, task=name(1))) == "room"
    assert hold(worker, 100).body["active"] == []
    assert start(worker, 100, task=name(1)).status == 200


def test_an_unguarded_worker_starts_what_it_is_told():
    worker = worker_of(Step(count=3, cpu=600), is_guarded=False)
    start(worker)
    assert start(worker, task=name(1)).status == 200
    assert [e.is_overfull for e in worker.events] == [False, True]


def test_capacity_is_free_when_the_end_of_a_stop_is_listed():
    worker = worker_of(Step(count=2, cpu=1_000, work_ms=1_000))
    start(worker)
    stop(worker, 10)
    assert reason(start(worker, 59, task=name(1))) == "room"
    assert start(worker, 60, task=name(1)).status == 200
    assert ends(worker, 60) == [[1, name(), 1, "stopped", ""]]


def test_work_that_is_complete_before_the_stop_is_done():
    worker = worker_of(Step(work_ms=30))
    start(worker)
    stop(worker, 0)
    assert ends(worker, 50)[0][3] == "done"


def test_everything_lapses_with_the_lease():
    worker = worker_of(Step(count=2, work_ms=5_000))
    start(worker, until_ms=300)
    start(worker, task=name(1), until_ms=400)
    hold(worker, 100, until_ms=350)
    assert ends(worker, 399) == []
    assert [row[3] for row in ends(worker, 400)] == ["lapsed", "lapsed"]


def test_a_lease_is_never_longer_than_its_bound():
    worker = worker_of(Step(work_ms=5_000), hold_max_ms=1_000)
    start(worker, until_ms=4_000)
    assert ends(worker, 999) == []
    assert ends(worker, 1_000)[0][3] == "lapsed"


@pytest.mark.parametrize("cause", ["room", "old"])
def test_a_refused_start_still_lengthens_the_lease(cause):
    worker = worker_of(Step(count=2, work_ms=5_000, cpu=1_000))
    start(worker, until_ms=300)
    stop(worker, task=name(1))
    run = {"room": 2, "old": 1}[cause]
    assert reason(start(worker, 100, name(1), run, until_ms=800)) == cause
    assert ends(worker, 799) == []
    assert len(ends(worker, 800)) == 1


def test_a_late_or_fenced_start_lengthens_nothing():
    worker = worker_of(Step(work_ms=5_000))
    start(worker, until_ms=300, token=2)
    assert reason(start(worker, 100, name(1), until_ms=800, token=1)) == "fence"
    assert ends(worker, 300, token=2)[0][3] == "lapsed"


def test_a_slow_clock_lets_a_lease_last_longer():
    worker = worker_of(Step(work_ms=5_000), clock_rate=0.98)
    start(worker, until_ms=980)
    assert ends(worker, 999) == []
    assert ends(worker, 1_001)[0][3] == "lapsed"
    assert hold(worker, 2_000).body["clock_ms"] == 1_960


def test_a_hold_waits_for_an_end():
    worker = worker_of(Step(work_ms=100))
    start(worker)
    worker.submit(10, 1, Request("/hold", {"fencing_token": 1, "wait_ms": 1_000}))
    assert worker.advance(99) == []
    assert worker.next_due_ms() == 100
    (ticket, answer) = worker.advance(100)[0]
    assert (ticket, answer.body["ended"][0][3]) == (1, "done")


def test_a_hold_waits_for_its_time_at_most():
    worker = worker_of()
    worker.submit(0, 1, Request("/hold", {"wait_ms": 700}))
    assert worker.advance(699) == []
    assert worker.advance(700)[0][1].status == 200
    assert hold(worker, 700, wait_ms=2_001).status == 400
    assert hold(worker, 700, wait_ms=0.5).status == 400


def test_a_new_life_knows_nothing():
    worker = worker_of(Step(work_ms=1_000))
    start(worker, token=9)
    worker.submit(10, 1, Request("/hold", {"fencing_token": 9, "wait_ms": 500}))
    worker.crash(100)
    assert worker.advance(100) == [(1, Unanswered("reset"))]
    assert start(worker, 150) == Unanswered("refused")
    worker.restart(200)
    body = hold(worker, 250, token=0).body
    assert body == {"clock_ms": 50, "born": 200, "active": [], "ended": []}
    assert start(worker, 250, run=1, token=0).status == 200
    assert isinstance(worker.events[1], LifeEnded)


def test_a_life_in_the_millisecond_of_the_last_begins_with_its_clock_at_0():
    worker = worker_of()
    worker.restart(0)
    assert worker.born == 1
    assert reason(start(worker, 0, until_ms=0)) == "late"
    assert start(worker, 0, until_ms=1).body["clock_ms"] == 0
    assert ends(worker, 2)[0][3] == "lapsed"


def test_a_new_life_can_be_of_another_kind():
    worker = worker_of()
    worker.restart(0, attrs.evolve(PLAN, id="other", labels=("big",)))
    report = worker.report(0)
    assert (report["id"], report["born"], report["labels"]) == ("w1", 1, ["big"])


def test_another_incarnation_answers_421():
    worker = worker_of()
    headers = {"Hibiscusstack-Expect-Instance": "w0"}
    assert start(worker, headers=headers).status == 421
    headers = {"Hibiscusstack-Expect-Instance": "w1"}
    assert start(worker, headers=headers).status == 200


def test_a_draining_worker_serves_and_then_leaves():
    worker = worker_of(Step(work_ms=5_000))
    worker.drain(0, 2_000)
    assert start(worker, 500).status == 200
    report = worker.report(500)
    assert (report["state"], report["remaining_ms"]) == ("draining", 1_500)
    worker.advance(2_000)
    assert not worker.is_up
    assert worker.report(2_000) is None


def test_slow_stalled_and_failing_workers():
    worker = worker_of(Step(count=3, work_ms=100))
    start(worker)
    worker.set_faults(50, WorkerFaults(slow_factor=2))
    assert ends(worker, 149) == []
    assert ends(worker, 150)[0][3] == "done"
    worker.set_faults(200, WorkerFaults(stalls=True))
    start(worker, 200, task=name(1))
    assert hold(worker, 2_000).body["active"] == [[name(1), 1, "", 0]]
    worker.set_faults(2_000, WorkerFaults(fails_tasks=True))
    start(worker, 2_000, task=name(2))
    assert [row[3] for row in ends(worker, 2_010)] == ["done", "failed"]


def test_work_takes_longer_on_a_slower_worker_and_for_longer_tasks():
    worker = worker_of(Step(count=2, uneven_work_ms=(100, 40)), slowness=1.5)
    start(worker)
    start(worker, task=name(1))
    assert [row[1] for row in ends(worker, 149)] == [name(1)]
    assert len(ends(worker, 150)) == 2


def test_a_task_that_cannot_be_done_fails():
    worker = worker_of(Step(work_ms=100, fails=True))
    start(worker)
    assert ends(worker, 100)[0][3] == "failed"


def test_data_on_another_rack_takes_longer():
    worker = worker_of(Step(work_ms=100, data_rack="r1"), rack="r2")
    start(worker)
    assert ends(worker, 299) == []
    assert ends(worker, 300)[0][3] == "done"


def test_a_paced_task_works_at_its_share():
    worker = worker_of(Step(work_ms=1_000))
    start(worker)
    paced = {"task": name(), "run": 1, "percent": 50, "fencing_token": 1}
    assert call(worker, 100, "/pace", **paced).status == 200
    assert ends(worker, 1_799) == []
    assert ends(worker, 1_800)[0][3] == "done"
    assert call(worker, 1_800, "/pace", **{**paced, "percent": 101}).status == 400


def test_a_row_can_show_the_cpu_in_use():
    worker = worker_of(Step(work_ms=1_000, cpu=800), shows_usage=True)
    start(worker)
    assert hold(worker, 100).body["active"][0][4] == 800
    call(worker, 100, "/pace", task=name(), run=1, percent=25, fencing_token=1)
    assert hold(worker, 200).body["active"][0][4] == 200


def test_a_task_that_lasts_is_at_work_after_its_startup():
    worker = worker_of(Step(), long_running=True)
    start(worker)
    assert hold(worker, 199).body["active"][0][3] == 0
    assert hold(worker, 5_000).body["active"][0][3] == 100


def test_a_checkpoint_carries_work_over():
    step = Step(work_ms=7_000, checkpointing=True)
    worker = worker_of(step)
    start(worker)
    task = TaskName.parse(name())
    assert hold(worker, 3_000).body["active"][0][2:] == [
        checkpoint_of(task, step, 2_000),
        42,
    ]
    stop(worker, 3_000)
    saved = ends(worker, 3_050)[0][4]
    assert saved == checkpoint_of(task, step, 3_050)
    other = worker_of(step)
    start(other, run=2, checkpoint=saved)
    assert ends(other, 600 + 3_949, until_ms=9_000) == []
    assert ends(other, 600 + 3_950)[0][3] == "done"


def test_broken_calls_are_refused():
    worker = worker_of()
    assert call(worker, 0, "/run-start").status == 400
    assert start(worker, task="x.y").status == 400
    assert start(worker, run=0).status == 400
    assert call(worker, 0, "/elsewhere").status == 404
    assert worker.handle(0, Request("/hold", b"raw")).status == 400


def gang_of(*racks, **changes):
    """Return workers that share a gang step of as many tasks."""
    step = Step(count=len(racks), work_ms=1_000, gang=True, **changes)
    catalog, gangs = Catalog(Job(JOB, steps=(step,))), Gangs()
    plans = [
        attrs.evolve(PLAN, id=f"w{number}", rack=rack, hold_max_ms=10_000)
        for number, rack in enumerate(racks)
    ]
    return [Worker(plan, catalog, gangs) for plan in plans]


def test_a_gang_works_from_the_moment_when_all_are_there():
    one, other = gang_of("r1", "r1")
    start(one)
    start(other, 400, task=name(1))
    assert ends(one, 1_399) == []
    assert ends(one, 1_400)[0][3] == ends(other, 1_400)[0][3] == "done"


def test_a_worker_is_due_when_other_members_decide_it():
    one, other = gang_of("r1", "r1")
    start(one)
    assert one.next_due_ms() == 3_000
    start(other, 400, task=name(1))
    assert one.next_due_ms() == other.next_due_ms() == 1_400


def test_a_gang_that_is_spread_over_racks_can_be_slow():
    one, other = gang_of("r1", "r2", rack_sensitive=True)
    start(one)
    start(other, task=name(1))
    assert ends(one, 2_999) == []
    assert ends(one, 3_000)[0][3] == "done"


def test_a_member_waits_for_the_others_for_a_time():
    one, other = gang_of("r1", "r1")
    start(one)
    assert ends(one, 2_999) == []
    assert ends(one, 3_000)[0][3] == "alone"
    start(other, 3_100, task=name(1))
    assert ends(other, 3_100)[0][3] == "broken"


def test_members_of_different_runs_do_not_meet():
    one, other = gang_of("r1", "r1")
    start(one, run=1)
    start(other, run=2, task=name(1))
    assert ends(one, 3_000)[0][3] == ends(other, 3_000)[0][3] == "alone"


@pytest.mark.parametrize("cause", ["stop", "crash"])
def test_a_gang_breaks_when_a_member_ends(cause):
    one, other = gang_of("r1", "r1")
    start(one)
    start(other, task=name(1))
    if cause == "stop":
        stop(one, 450)
        one.advance(500)
    else:
        one.crash(500)
    assert other.next_due_ms() == 500
    assert ends(other, 500)[0][3] == "broken"
