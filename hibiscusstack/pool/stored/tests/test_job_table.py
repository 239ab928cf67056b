"""Tests of the job table, the backlog and the queue order of stored jobs."""

import pytest

from hibiscusstack.pool.active_jobs import ActiveJob, TaskState
from hibiscusstack.pool.interfaces import KeyedRecord
from hibiscusstack.pool.jobs import PoolJob, Resources, Step
from hibiscusstack.pool.messages import StoredState
from hibiscusstack.pool.ordering import JobQueue
from hibiscusstack.pool.stored.backlog import Backlog
from hibiscusstack.pool.stored.job_table import JobTable
from hibiscusstack.pool.stored.progress import JobProgress
from hibiscusstack.pool.stored.records import (
    TAKEOVER_COUNT_KEY,
    JobRecord,
    ProgressRecord,
    encode_job_record,
    encode_progress,
    encode_takeover_count,
)
from hibiscusstack.pool.stored.restoring import restore_active_job


def make_job(job_id, priority=1, estimate_ms=100):
    steps = (Step(2, Resources(100), estimate_ms), Step(1, Resources(100), 10, (0,)))
    return PoolJob(job_id, "p", "text", steps, priority, 3, 2.0, 100)


def job_record(job_id, submitted_ms=0, **fields):
    record = JobRecord("q", make_job(job_id, **fields), submitted_ms)
    return KeyedRecord(0, job_id, encode_job_record(record))


def progress_record(job_id, state, progress=None):
    record = ProgressRecord("q", state, progress)
    return KeyedRecord(0, job_id, encode_progress(record))


def test_the_first_record_of_a_job_counts():
    table = JobTable(1_000)
    assert [job.job_id for job in table.load_jobs([job_record("a")])] == ["a"]
    assert table.load_jobs([job_record("a"), KeyedRecord(1, "b", None)]) == []
    assert table.find("a").state is StoredState.QUEUED
    assert table.count_queued("q") == 1
    assert table.count_queued("other") == 0


def test_progress_of_earlier_terms_is_restored():
    table = JobTable(1_000)
    progress = JobProgress([0b10, 0], {(0, 0): [1, 17]})
    takeovers = KeyedRecord(2, TAKEOVER_COUNT_KEY, encode_takeover_count(3))
    records = [progress_record("a", StoredState.RUNNING, progress), takeovers]
    table.load_progress(records, 0)
    (job,) = table.load_jobs([job_record("a")])
    assert table.takeover_count == 3
    assert job.state is StoredState.RUNNING
    assert table.count_queued("q") == 0
    job.first_run_number = 49
    active = restore_active_job(job, 5)
    assert active.tasks[0, 1].state is TaskState.DONE
    assert active.tasks[0, 0].failures == 2
    assert active.tasks[0, 0].next_run == 49
    assert [task.key for task in active.ready] == [(0, 0)]


def test_a_job_that_ended_in_an_earlier_term_stays_ended():
    table = JobTable(1_000)
    table.load_progress([progress_record("a", StoredState.CANCELLED)], 10)
    assert table.load_jobs([job_record("a")]) == []
    assert table.find("a").state is StoredState.CANCELLED
    assert table.pop_obsolete() == ["a"]


def test_an_end_is_visible_once_saved_and_expires_after_retention():
    table = JobTable(1_000)
    (job,) = table.load_jobs([job_record("a")])
    table.mark_started(job)
    job.final_state = StoredState.COMPLETED
    assert job.state is StoredState.RUNNING
    table.mark_ended(job, 50)
    assert job.state is StoredState.COMPLETED
    assert job.record is None
    assert table.pop_obsolete() == ["a"]
    assert table.pop_obsolete() == []
    assert table.expire(1_049) == []
    assert table.expire(1_050) == ["a"]
    assert table.find("a") is None


def test_a_repeated_job_record_after_the_end_is_obsolete_again():
    table = JobTable(1_000)
    (job,) = table.load_jobs([job_record("a")])
    job.final_state = StoredState.COMPLETED
    table.mark_ended(job, 50)
    table.pop_obsolete()
    assert table.load_jobs([job_record("a")]) == []
    assert table.pop_obsolete() == ["a"]


def test_a_malformed_record_is_skipped():
    table = JobTable(1_000)
    found = table.load_jobs([KeyedRecord(0, "a", b"{"), job_record("b")])
    assert [job.job_id for job in found] == ["b"]


def test_few_jobs_of_a_pool_are_admitted_most_urgent_first():
    table, backlog = JobTable(1_000), Backlog(max_admitted=2)
    records = [
        job_record(f"j{number}", submitted_ms=100 - number) for number in range(5)
    ]
    for job in table.load_jobs([*records, job_record("first", priority=0)]):
        backlog.add(job)
    assert [job.job_id for job in backlog.admit_next(0, 0)] == ["first", "j4"]
    assert backlog.admit_next(0, 0) == []
    assert backlog.pop("j3").job_id == "j3"
    backlog.release_slot("first")
    backlog.release_slot("first")
    assert [job.job_id for job in backlog.admit_next(0, 0)] == ["j2"]


def make_active_job(job_id, is_stored, priority=1, received_ms=0):
    job = make_job(job_id, priority)
    return ActiveJob(job, received_ms, is_resubmitted=False, is_stored=is_stored)


def ids(queue):
    return [job.job.job_id for job in queue.in_order()]


def test_stored_jobs_wait_behind_those_with_callers_also_once_started():
    queue = JobQueue()
    begun = make_active_job("begun", True)
    begun.first_start_ms = 1
    for job in (
        begun,
        make_active_job("stored", True),
        make_active_job("late", False, 1, -900),
    ):
        queue.add(job, 0)
    queue.add(make_active_job("called", False), 0)
    assert ids(queue) == ["called", "late", "begun", "stored"]


def test_stored_jobs_of_a_higher_priority_wait_with_the_others():
    queue = JobQueue()
    queue.add(make_active_job("called", False, 1, 10), 0)
    queue.add(make_active_job("urgent", True, 0), 0)
    queue.add(make_active_job("stored", True, 1), 0)
    assert ids(queue) == ["urgent", "called", "stored"]


@pytest.mark.parametrize("priority", [0, 1, 2])
def test_a_stored_job_is_never_given_up(priority):
    queue = JobQueue()
    queue.add(make_active_job("called", False, 1, 0), 0)
    queue.add(make_active_job("stored", True, priority, 0), 0)
    queue.demote_late(100_000)
    assert [job.job.job_id for job in queue.jobs_past_cutoff(100_000)] == ["called"]
