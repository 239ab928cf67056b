"""Tests of the ledger, the backlog and the order of stored jobs."""

import pytest

from hibiscusstack.pool.active_jobs import ActiveJob, TaskState
from hibiscusstack.pool.interfaces import KeyedRecord
from hibiscusstack.pool.jobs import PoolJob, Resources, Step
from hibiscusstack.pool.messages import StoredState
from hibiscusstack.pool.ordering import JobQueue
from hibiscusstack.pool.stored.backlog import Backlog
from hibiscusstack.pool.stored.ledger import Ledger
from hibiscusstack.pool.stored.progress import JobProgress
from hibiscusstack.pool.stored.records import (
    TERM_KEY,
    JobRecord,
    ProgressRecord,
    encode_job_record,
    encode_progress,
    encode_terms,
)
from hibiscusstack.pool.stored.reviving import revive_job


def job_of(job_id, priority=1, estimate_ms=100):
    steps = (Step(2, Resources(100), estimate_ms), Step(1, Resources(100), 10, (0,)))
    return PoolJob(job_id, "p", "text", steps, priority, 3, 2.0, 100)


def accepted(job_id, submitted_ms=0, **terms):
    record = JobRecord("q", job_of(job_id, **terms), submitted_ms)
    return KeyedRecord(0, job_id, encode_job_record(record))


def far(job_id, state, progress=None):
    record = ProgressRecord("q", state, progress)
    return KeyedRecord(0, job_id, encode_progress(record))


def test_the_first_record_of_a_job_counts():
    ledger = Ledger(1_000)
    assert [job.job_id for job in ledger.take_jobs([accepted("a")])] == ["a"]
    assert ledger.take_jobs([accepted("a"), KeyedRecord(1, "b", None)]) == []
    assert ledger.find("a").state is StoredState.QUEUED
    assert ledger.pending("q") == 1
    assert ledger.pending("other") == 0


def test_progress_of_earlier_terms_is_taken_over():
    ledger = Ledger(1_000)
    progress = JobProgress([0b10, 0], {(0, 0): [1, 17]})
    terms = KeyedRecord(2, TERM_KEY, encode_terms(3))
    records = [far("a", StoredState.RUNNING, progress), terms]
    ledger.take_progress(records, 0)
    (job,) = ledger.take_jobs([accepted("a")])
    assert ledger.terms == 3
    assert job.state is StoredState.RUNNING
    assert ledger.pending("q") == 0
    job.first_run = 49
    active = revive_job(job, 5)
    assert active.tasks[0, 1].state is TaskState.DONE
    assert active.tasks[0, 0].failures == 2
    assert active.tasks[0, 0].next_run == 49
    assert [task.key for task in active.ready] == [(0, 0)]


def test_what_ended_in_an_earlier_term_stays_ended():
    ledger = Ledger(1_000)
    ledger.take_progress([far("a", StoredState.CANCELLED)], 10)
    assert ledger.take_jobs([accepted("a")]) == []
    assert ledger.find("a").state is StoredState.CANCELLED
    assert ledger.take_spent() == ["a"]


def test_an_end_is_shown_once_it_is_saved_and_dropped_in_time():
    ledger = Ledger(1_000)
    (job,) = ledger.take_jobs([accepted("a")])
    ledger.note_started(job)
    job.final = StoredState.COMPLETED
    assert job.state is StoredState.RUNNING
    ledger.note_final_saved(job, 50)
    assert job.state is StoredState.COMPLETED
    assert job.record is None
    assert ledger.take_spent() == ["a"]
    assert ledger.take_spent() == []
    assert ledger.expire(1_049) == []
    assert ledger.expire(1_050) == ["a"]
    assert ledger.find("a") is None


def test_a_repeat_after_the_end_is_spent_again():
    ledger = Ledger(1_000)
    (job,) = ledger.take_jobs([accepted("a")])
    job.final = StoredState.COMPLETED
    ledger.note_final_saved(job, 50)
    ledger.take_spent()
    assert ledger.take_jobs([accepted("a")]) == []
    assert ledger.take_spent() == ["a"]


def test_a_broken_record_hides_no_other():
    ledger = Ledger(1_000)
    found = ledger.take_jobs([KeyedRecord(0, "a", b"{"), accepted("b")])
    assert [job.job_id for job in found] == ["b"]


def test_only_a_few_jobs_of_a_pool_are_offered_the_urgent_first():
    ledger, backlog = Ledger(1_000), Backlog(most_offered=2)
    records = [accepted(f"j{number}", submitted_ms=100 - number) for number in range(5)]
    for job in ledger.take_jobs([*records, accepted("first", priority=0)]):
        backlog.add(job)
    assert [job.job_id for job in backlog.take_next(now_ms=0)] == ["first", "j4"]
    assert backlog.take_next(now_ms=0) == []
    assert backlog.take("j3").job_id == "j3"
    backlog.settled("first")
    backlog.settled("first")
    assert [job.job_id for job in backlog.take_next(now_ms=0)] == ["j2"]


def active(job_id, is_stored, priority=1, received_ms=0):
    job = job_of(job_id, priority)
    return ActiveJob(job, received_ms, is_resubmitted=False, is_stored=is_stored)


def ids(queue):
    return [job.job.job_id for job in queue.in_order()]


def test_stored_jobs_wait_behind_those_with_callers_also_once_begun():
    queue = JobQueue()
    begun = active("begun", True)
    begun.first_start_ms = 1
    for job in (begun, active("stored", True), active("late", False, 1, -900)):
        queue.add(job, 0)
    queue.add(active("called", False), 0)
    assert ids(queue) == ["called", "late", "begun", "stored"]


def test_stored_jobs_of_a_higher_priority_wait_with_the_others():
    queue = JobQueue()
    queue.add(active("called", False, 1, 10), 0)
    queue.add(active("urgent", True, 0), 0)
    queue.add(active("stored", True, 1), 0)
    assert ids(queue) == ["urgent", "called", "stored"]


@pytest.mark.parametrize("priority", [0, 1, 2])
def test_a_stored_job_is_never_given_up(priority):
    queue = JobQueue()
    queue.add(active("called", False, 1, 0), 0)
    queue.add(active("stored", True, priority, 0), 0)
    queue.demote_late(100_000)
    assert [job.job.job_id for job in queue.jobs_past_cutoff(100_000)] == ["called"]
