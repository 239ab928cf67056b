"""Tests of the answers to submissions of stored jobs."""

import pytest

from hibiscusstack.clock import ManualClock
from hibiscusstack.pool.jobs import PoolJob, Resources, Step
from hibiscusstack.pool.stored.batch import BatchQueue
from hibiscusstack.pool.stored.records import MAX_RECORD_BYTES, MAX_TASKS, JobRecord
from hibiscusstack.pool.stored.submitting import (
    Accepted,
    JobSubmitter,
    NotAccepted,
    OutcomeUnknown,
)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def queue():
    return BatchQueue()


def record(job_id="a", count=1, payload="text", objective_ms=0):
    steps = (Step(count, Resources(1)),)
    job = PoolJob(job_id, "p", payload, steps, target_latency_ms=objective_ms)
    return JobRecord("q", job, 0)


def test_a_job_is_accepted_once_it_is_saved(clock, queue):
    submitter, answers = JobSubmitter(queue, clock), []
    submitter.submit(record(), 1_500, answers.append)
    submitter.submit(record(), 1_500, answers.append)
    queue.next_batch()
    submitter.tick()
    assert answers == []
    queue.mark_appended()
    assert answers == [Accepted(), Accepted()]
    assert len(submitter) == 0


def test_a_job_that_was_never_sent_is_refused(clock, queue):
    submitter, answers = JobSubmitter(queue, clock), []
    submitter.submit(record(), None, answers.append)
    clock.advance(999)
    submitter.tick()
    assert answers == []
    clock.advance(1)
    submitter.tick()
    assert [type(answer) for answer in answers] == [NotAccepted]
    assert queue.next_batch() is None


@pytest.mark.parametrize(
    ("objective_ms", "refused_ms"), [(150, 100), (2_000, 500), (9_000, 1_000)]
)
def test_the_refusal_delay_is_a_bounded_fraction_of_the_objective(
    clock, queue, objective_ms, refused_ms
):
    submitter, answers = JobSubmitter(queue, clock), []
    submitter.submit(record(objective_ms=objective_ms), 1_500, answers.append)
    clock.advance(refused_ms - 1)
    submitter.tick()
    assert answers == []
    clock.advance(1)
    submitter.tick()
    assert [type(answer) for answer in answers] == [NotAccepted]
    assert queue.next_batch() is None


def test_a_job_that_may_have_been_appended_is_never_refused(clock, queue):
    submitter, answers = JobSubmitter(queue, clock), []
    submitter.submit(record(), 1_500, answers.append)
    queue.next_batch()
    queue.mark_outcome_unknown()
    clock.advance(1_449)
    submitter.tick()
    assert answers == []
    clock.advance(1)
    submitter.tick()
    assert answers == [OutcomeUnknown()]
    submitter.submit(record(), 1_500, answers.append)
    queue.mark_appended()
    assert answers == [OutcomeUnknown(), Accepted()]
    queue.next_batch()
    queue.mark_appended()
    assert len(answers) == 2


@pytest.mark.parametrize(
    "oversized", [record(count=MAX_TASKS + 1), record(payload="x" * MAX_RECORD_BYTES)]
)
def test_a_job_that_is_too_large_is_refused_at_once(clock, queue, oversized):
    submitter, answers = JobSubmitter(queue, clock), []
    submitter.submit(oversized, 1_500, answers.append)
    assert [type(answer) for answer in answers] == [NotAccepted]
    assert len(queue) == 0
