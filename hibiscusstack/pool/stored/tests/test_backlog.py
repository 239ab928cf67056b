"""Tests of the order in which stored jobs are admitted."""

from hibiscusstack.pool.jobs import PoolJob, Resources, Step
from hibiscusstack.pool.messages import StoredState
from hibiscusstack.pool.stored.backlog import SLOT_MS, Backlog
from hibiscusstack.pool.stored.job_table import StoredJob
from hibiscusstack.pool.stored.records import JobRecord


def make_stored_job(name, submitted_ms=0, priority=0, pool="p", requires=""):
    """Return a job with an estimate of 100 ms and an objective of 200 ms."""
    steps = (Step(1, Resources(100), estimate_ms=100, requires=requires),)
    job = PoolJob(name, pool, "", steps, priority, target_latency_ms=100)
    return StoredJob(name, "q", StoredState.QUEUED, JobRecord("q", job, submitted_ms))


def admitted_ids(now_ms, *jobs, max_admitted=9):
    """Return the ids of the admitted jobs, in order."""
    backlog = Backlog(max_admitted)
    for job in jobs:
        backlog.add(job)
    return [job.job_id for job in backlog.admit_next(now_ms, now_ms)]


def test_jobs_are_ordered_by_priority_then_latest_start():
    jobs = (
        make_stored_job("a", 30),
        make_stored_job("b", 20),
        make_stored_job("c", 10, priority=1),
    )
    assert admitted_ids(40, *jobs) == ["b", "a", "c"]


def test_late_jobs_are_admitted_after_jobs_in_time():
    jobs = (
        make_stored_job("late", 0),
        make_stored_job("soon", 400, priority=1),
        make_stored_job("later", 100),
    )
    assert admitted_ids(410, *jobs) == ["soon", "late", "later"]


def test_jobs_past_the_cutoff_are_admitted_last():
    jobs = make_stored_job("past cutoff", 0), make_stored_job("late", 400, priority=1)
    assert admitted_ids(600, *jobs) == ["late", "past cutoff"]


def test_a_job_that_becomes_late_while_waiting_is_still_admitted():
    backlog = Backlog(1)
    for job in (
        make_stored_job("a", 0),
        make_stored_job("b", 10),
        make_stored_job("c", 600),
    ):
        backlog.add(job)
    found = []
    for now_ms in (0, 620, 640, 660):
        found += [job.job_id for job in backlog.admit_next(now_ms, now_ms)]
        backlog.release_slot(found[-1])
    assert found == ["a", "c", "b"]
    assert backlog.admit_next(9_999, 9_999) == []


def test_a_popped_job_is_not_admitted_again():
    backlog = Backlog()
    backlog.add(make_stored_job("a"))
    assert backlog.pop("a").job_id == "a"
    assert backlog.pop("a") is None
    assert backlog.admit_next(5_000, 5_000) == []


def test_each_pool_has_its_own_admission_limit():
    jobs = (
        make_stored_job("a"),
        make_stored_job("b"),
        make_stored_job("c", pool="other"),
    )
    assert admitted_ids(0, *jobs, max_admitted=1) == ["a", "c"]


# Guards against waiting jobs that no target can run and that keep out all others.
def test_jobs_that_wait_for_a_label_keep_out_no_others():
    lost = [make_stored_job(f"b{number}", requires="b") for number in range(3)]
    assert admitted_ids(0, *lost, make_stored_job("a", 10), max_admitted=1) == [
        "b0",
        "a",
    ]


def test_a_slot_is_free_again_although_its_job_does_not_start():
    backlog = Backlog(1)
    for name in ("a", "b"):
        backlog.add(make_stored_job(name))
    found = [backlog.admit_next(ms, 0) for ms in (0, SLOT_MS - 1, SLOT_MS)]
    assert [[job.job_id for job in jobs] for jobs in found] == [["a"], [], ["b"]]
