"""Tests of admission control."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusstack.dispatch.answers import Reason
from hibiscusstack.dispatch.loads import HomeLoad
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.dispatch.observation.run_times import RunTimes
from hibiscusstack.dispatch.planning.admission import AdmissionControl
from hibiscusstack.dispatch.tests.builders import THREE_CLASSES, make_job, make_policy

HOMES = [HostName("dc1", name, 1) for name in ("a", "b")]
LIMITS = "[limits]\nmax_queue_ms = 1000\nmax_jobs_per_caller = 3\n"


def make_admission(text=THREE_CLASSES + LIMITS, run_times=None):
    return AdmissionControl(make_policy(text), run_times or RunTimes())


def make_loads(free_slots=0, **queued):
    by_class = tuple(sorted(queued.items()))
    total = sum(queued.values())
    load = HomeLoad(free_slots, total, 12, slots=96, queued_ms_by_class=by_class)
    return dict.fromkeys(HOMES, load)


def test_free_slots_admit_at_once():
    loads = make_loads(free_slots=10, urgent=10**9)
    assert make_admission().admit(make_job(20), "middle", loads, 0) is None


@pytest.mark.parametrize(
    ("class_name", "is_admitted"), [("urgent", False), ("middle", True)]
)
def test_full_queue_refuses_only_its_own_class(class_name, is_admitted):
    loads = make_loads(urgent=1_000_000)
    problem = make_admission().admit(make_job(), class_name, loads, 0)
    assert (problem is None) == is_admitted


def test_refusal_has_a_retry_time():
    problem = make_admission().admit(make_job(), "urgent", make_loads(urgent=10**6), 0)
    assert problem.reason is Reason.OVERLOADED
    wait_ms = 2 * 10**6 / 192
    assert wait_ms - 1_000 <= problem.retry_after_ms <= 2 * (wait_ms - 1_000)


def test_job_that_would_miss_its_deadline_is_refused():
    job = make_job(timeout_ms=500)
    loads = make_loads(middle=50_000)
    assert make_admission().admit(job, "middle", loads, 0).reason is Reason.OVERLOADED
    in_time = make_job(timeout_ms=5_000)
    assert make_admission().admit(in_time, "middle", loads, 0) is None


def test_learned_times_replace_declared_ones():
    run_times = RunTimes()
    job = make_job(timeout_ms=1_000)
    for _ in range(20):
        run_times.record(job.tasks[0], 5_000)
    problem = make_admission(run_times=run_times).admit(job, "middle", make_loads(), 0)
    assert problem.reason is Reason.DEADLINE
    assert problem.retry_after_ms is None


def test_job_with_too_many_tasks_is_refused():
    problem = make_admission().admit(make_job(201), "middle", make_loads(), 0)
    assert problem.reason is Reason.TOO_LARGE


def test_limits_apply_to_work_in_progress():
    text = LIMITS + "[team small]\nmax_queued = 8\n"
    admission = make_admission(text)
    loads = make_loads(free_slots=96)
    jobs = [make_job(job_id=str(number)) for number in range(4)]
    problems = [admission.admit(job, "default", loads, 0) for job in jobs]
    assert [problem is None for problem in problems] == [True, True, True, False]
    assert problems[3].reason is Reason.QUOTA
    admission.finished(jobs[0], "default", 0)
    assert admission.admit(jobs[3], "default", loads, 0) is None
    team = make_job(5, caller="other", team="small")
    assert admission.admit(team, "default", loads, 0).reason is Reason.QUOTA


def test_memory_is_bounded_by_tasks_in_progress():
    admission = make_admission("[limits]\nmax_queued_tasks = 100\n")
    loads = make_loads(free_slots=10**6)
    admitted = [
        admission.admit(make_job(30, job_id=str(n), caller=str(n)), "default", loads, 0)
        for n in range(5)
    ]
    assert [each is None for each in admitted] == [True] * 3 + [False] * 2
    assert admitted[3].reason is Reason.OVERLOADED


def test_small_team_is_admitted_during_a_flood_by_another():
    admission = make_admission()
    loads = make_loads(free_slots=1_000)
    for number in range(50):
        job = make_job(20, job_id=str(number), caller=str(number), team="big")
        assert admission.admit(job, "urgent", loads, 0) is None
    full = make_loads(urgent=120_000)
    big = make_job(job_id="big", caller="b", team="big")
    small = make_job(job_id="small", caller="s", team="small")
    assert admission.admit(big, "urgent", full, 0) is not None
    assert admission.admit(small, "urgent", full, 0) is None


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 9)), max_size=60))
@settings(max_examples=100, deadline=None, derandomize=True)
def test_counts_return_to_zero(steps):
    admission = make_admission("")
    admitted = {}
    for is_start, number in steps:
        job = make_job(number, job_id=str(number), team=str(number % 3))
        if not is_start and number in admitted:
            admission.finished(admitted.pop(number), "default", 0)
        elif is_start and number not in admitted:
            assert admission.admit(job, "default", make_loads(1_000), 0) is None
            admitted[number] = job
    for job in admitted.values():
        admission.finished(job, "default", 0)
    assert admission._counts.total.tasks == 0
    assert not admission._counts._counts
