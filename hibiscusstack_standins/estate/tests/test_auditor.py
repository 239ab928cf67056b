"""Tests of the auditor: each rule broken once, and kept."""

import attrs
import pytest

from hibiscusstack_standins.estate.auditor import AuditBounds, Auditor, ClientRecord
from hibiscusstack_standins.estate.events import (
    EndsAcked,
    LeaseLapsed,
    LifeEnded,
    RunEnded,
    RunStarted,
)
from hibiscusstack_standins.estate.jobs import Catalog, Job, Step, TaskName
from hibiscusstack_standins.estate.messages import Request
from hibiscusstack_standins.estate.runs import Capacity, checkpoint_of
from hibiscusstack_standins.estate.worker import Worker, WorkerPlan

JOB = "5c0e7a21d94b36f8"


def name(index=0, step=0):
    return f"{JOB}.0.{step}.{index}"


def started(at_ms, worker="w1", task=None, run=1, **more):
    return RunStarted(at_ms, worker, 0, task or name(), run, **more)


def ended(at_ms, how="done", worker="w1", task=None, *, run=1, number=1):
    return RunEnded(at_ms, worker, 0, task or name(), run, number, how)


def acked(at_ms, worker="w1", through=1):
    return EndsAcked(at_ms, worker, 0, through)


def rules(*events, job=None, client=None, services=None, until_ms=0, **bounds):
    """Return the names of the rules that these events break."""
    job = job or Job(JOB, steps=(Step(count=8),))
    clients = {JOB: client} if client else {}
    auditor = Auditor(Catalog(job), clients, services, AuditBounds(**bounds))
    return [found.rule for found in auditor.audit(events, until_ms)]


def job_of(*steps, **fields):
    return Job(JOB, steps=steps, **fields)


def test_a_run_that_is_over_does_not_stand_beside_the_next():
    over = [started(0), ended(100, "failed"), acked(110)]
    assert rules(*over, started(120, "w2", run=2)) == []
    assert rules(started(0), started(100, "w2", run=2)) == ["TWICE"]


def test_what_ran_on_a_worker_that_died_is_over():
    died = LifeEnded(50, "w1", 0)
    assert rules(started(0), died, started(60, "w2", run=2)) == []


def test_copies_of_a_speculative_task_may_stand_beside_each_other():
    job = job_of(Step(speculative=True))
    assert rules(started(0), started(10, "w2", run=2), job=job) == []


def test_a_start_after_a_noted_end_is_a_second_run():
    again = started(200, "w2", run=2)
    assert rules(started(0), ended(100), acked(110), again) == ["TWICE"]
    assert rules(started(0), ended(100), again, acked(300)) == ["TWICE"]
    assert rules(started(0), ended(100), again) == []


def test_an_end_behind_a_lapse_is_not_noted():
    again = started(200, "w2", run=2)
    lapsed = LeaseLapsed(150, "w1", 0)
    assert rules(started(0), ended(100), lapsed, acked(160), again) == []
    assert rules(started(0), ended(100), acked(120), lapsed, again) == ["TWICE"]


def test_without_disruption_an_end_counts_as_noted_soon():
    again = started(200, "w2", run=2)
    assert rules(started(0), ended(100), again, note_ms=100) == ["TWICE"]


def test_speculative_steps_have_a_second_to_learn_of_an_end():
    job = job_of(Step(speculative=True))
    first = [started(0), ended(100), acked(110)]
    assert rules(*first, started(1_110, "w2", run=2), job=job) == []
    assert rules(*first, started(1_111, "w2", run=2), job=job) == ["TWICE"]
    late = started(1_111, "w2", run=2, is_late=True)
    assert rules(*first, late, job=job) == []


def test_a_start_after_the_job_was_shown_as_completed():
    client = ClientRecord((200,), completed_ms=100)
    assert rules(started(1_100), client=client) == []
    assert rules(started(1_101), client=client) == ["TWICE"]


def test_one_end_of_a_gang_stands_for_all():
    job = job_of(Step(count=2, gang=True))
    events = [started(0), started(0, "w2", name(1)), ended(100), acked(110)]
    again = started(200, "w2", name(1), run=2)
    assert rules(*events, ended(100, worker="w2", task=name(1)), again, job=job) == [
        "TWICE"
    ]


@pytest.mark.parametrize("field", ["best_effort", "long_running"])
def test_some_jobs_may_run_again_but_not_beside_themselves(field):
    job = job_of(Step(), **{field: True})
    again = started(200, "w2", run=2)
    assert rules(started(0), ended(100), acked(110), again, job=job) == []
    assert rules(started(0), again, job=job) == ["TWICE"]


def test_a_worker_that_is_overfull():
    assert rules(started(0, is_overfull=True)) == ["LIMIT"]


def test_steps_start_in_their_order():
    job = job_of(Step(count=2), Step(after=(0,)))
    events = [started(0), started(0, "w1", name(1)), ended(90)]
    last = ended(100, task=name(1), number=2)
    assert rules(*events, last, started(100, task=name(step=1)), job=job) == []
    assert rules(*events, last, started(99, task=name(step=1)), job=job) == ["ORDER"]
    failed = attrs.evolve(last, how="failed")
    assert rules(*events, failed, started(200, task=name(step=1)), job=job) == ["ORDER"]


def test_occurrences_start_at_their_time():
    job = Job(JOB, repeat_count=2, first_ms=1_000, interval_ms=500)
    second = f"{JOB}.1.0.0"
    assert rules(started(1_250, task=second), job=job) == []
    assert rules(started(1_249, task=second), job=job) == ["ORDER"]
    assert rules(started(2_000, task=f"{JOB}.2.0.0"), job=job) == ["UNASKED"]


def test_failed_runs_use_the_budget_up():
    job = job_of(Step(), max_attempts=2)
    events = []
    for run in (1, 2):
        at_ms = 100 * run
        events += [
            started(at_ms, run=run),
            ended(at_ms + 50, "failed", run=run, number=run),
        ]
    events.append(acked(260, through=2))
    third = started(300, run=3)
    assert rules(*events, third, job=job) == ["BUDGET"]
    assert rules(*events[:-1], third, job=job) == []
    assert rules(*events, third, job=attrs.evolve(job, long_running=True)) == []


def test_stopped_runs_use_no_budget():
    job = job_of(Step(), max_attempts=1)
    events = [started(0), ended(50, "stopped"), acked(60), started(70, run=2)]
    assert rules(*events, job=job) == []


def test_routes_labels_and_affinity():
    services = {"q": {"s"}}
    assert rules(started(0, service="s"), services=services) == []
    assert rules(started(0, service="t"), services=services) == ["ROUTE"]
    job = job_of(Step(requires="big"))
    assert rules(started(0, labels=("big",)), job=job) == []
    assert rules(started(0, labels=("small",)), job=job) == ["ROUTE"]
    job = job_of(Step(count=3, anti_affinity=1))
    one, two = started(0), started(1, task=name(1))
    assert rules(one, two, job=job) == ["ROUTE"]
    assert rules(one, attrs.evolve(two, worker="w2"), job=job) == []
    assert rules(one, ended(1), two, job=job) == []


def test_what_nobody_asked_for():
    step = Step(checkpointing=True)
    job = job_of(step, spec="text")
    assert rules(started(0, spec="text"), job=job) == []
    assert rules(started(0, spec="other"), job=job) == ["UNASKED"]
    assert rules(started(0, task="f" * 16 + ".0.0.0"), job=job) == ["UNASKED"]
    assert rules(started(0, spec="text", task=name(1)), job=job) == ["UNASKED"]
    own = checkpoint_of(TaskName.parse(name()), step, 3_000)
    other = checkpoint_of(TaskName.parse(name(1)), step, 3_000)
    assert rules(started(0, spec="text", checkpoint=own), job=job) == []
    assert rules(started(0, spec="text", checkpoint=other), job=job) == ["UNASKED"]


def test_cancelled_jobs_neither_start_nor_run_on():
    client = ClientRecord((200,), cancelled_ms=1_000)
    assert rules(started(4_000), ended(4_050, "stopped"), client=client) == []
    assert rules(started(4_001), ended(4_010), client=client) == ["UNASKED"]
    assert rules(started(4_001, is_late=True), ended(4_010), client=client) == []
    assert rules(started(0), ended(4_051), client=client) == ["UNASKED"]
    assert rules(started(0), client=client, until_ms=4_051) == ["UNASKED"]
    assert rules(started(0), client=client, until_ms=4_050) == []


def test_a_job_whose_every_attempt_was_rejected_does_not_run():
    assert rules(started(0), client=ClientRecord((503, 429))) == ["REFUSED"]
    assert rules(started(0), client=ClientRecord((503, None))) == []
    assert rules(started(0), client=ClientRecord((503, 200))) == []


def test_a_violation_names_the_run():
    auditor = Auditor(Catalog())
    found = auditor.audit([started(7, "w3", run=2)])[0]
    assert (found.rule, found.at_ms, found.worker) == ("UNASKED", 7, "w3")
    assert (found.task, found.run) == (name(), 2)


def test_the_events_of_a_worker_are_judged():
    plan = WorkerPlan("w1", capacity=Capacity(cpu=100), is_guarded=False)
    catalog = Catalog(job_of(Step(count=2, cpu=100, work_ms=100)))
    worker = Worker(plan, catalog)
    for now_ms, index, run in ((0, 0, 1), (200, 1, 1), (250, 1, 2)):
        body = {"task": name(index), "run": run, "until_ms": 900}
        assert worker.handle(now_ms, Request("/run-start", body)).status == 200
    found = Auditor(catalog).audit(worker.events)
    assert [(v.rule, v.run) for v in found] == [("LIMIT", 2), ("TWICE", 2)]
