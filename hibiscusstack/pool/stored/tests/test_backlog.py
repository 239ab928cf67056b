"""Tests of the order in which stored jobs get their turn."""

from hibiscusstack.pool.jobs import PoolJob, Resources, Step
from hibiscusstack.pool.messages import StoredState
from hibiscusstack.pool.stored.backlog import Backlog
from hibiscusstack.pool.stored.job_table import StoredJob
from hibiscusstack.pool.stored.records import JobRecord


def stored(name, submitted_ms=0, priority=0, pool="p"):
    """Return a job of 100 ms whose objective is 200 ms."""
    steps = (Step(1, Resources(100), estimate_ms=100),)
    job = PoolJob(name, pool, "", steps, priority, target_latency_ms=100)
    return StoredJob(name, "q", StoredState.QUEUED, JobRecord("q", job, submitted_ms))


def turns(now_ms, *jobs, max_admitted=9):
    """Return the names of the jobs that get their turn, in order."""
    backlog = Backlog(max_admitted)
    for job in jobs:
        backlog.add(job)
    return [job.job_id for job in backlog.admit_next(now_ms)]


def test_jobs_go_by_priority_and_then_by_the_time_to_start():
    jobs = stored("a", 30), stored("b", 20), stored("c", 10, priority=1)
    assert turns(40, *jobs) == ["b", "a", "c"]


def test_jobs_that_cannot_end_in_time_wait_for_those_that_can():
    jobs = stored("late", 0), stored("soon", 400, priority=1), stored("later", 100)
    assert turns(410, *jobs) == ["soon", "late", "later"]


def test_jobs_that_are_worth_nothing_any_more_go_last():
    jobs = stored("hopeless", 0), stored("late", 400, priority=1)
    assert turns(600, *jobs) == ["late", "hopeless"]


def test_a_job_grows_late_while_it_waits_and_keeps_its_turn_in_the_end():
    backlog = Backlog(1)
    for job in (stored("a", 0), stored("b", 10), stored("c", 600)):
        backlog.add(job)
    found = []
    for now_ms in (0, 620, 640, 660):
        found += [job.job_id for job in backlog.admit_next(now_ms)]
        backlog.release_slot(found[-1])
    assert found == ["a", "c", "b"]
    assert backlog.admit_next(9_999) == []


def test_a_job_that_is_taken_gets_no_other_turn():
    backlog = Backlog()
    backlog.add(stored("a"))
    assert backlog.pop("a").job_id == "a"
    assert backlog.pop("a") is None
    assert backlog.admit_next(5_000) == []


def test_each_pool_has_turns_of_its_own():
    jobs = stored("a"), stored("b"), stored("c", pool="other")
    assert turns(0, *jobs, max_admitted=1) == ["a", "c"]
