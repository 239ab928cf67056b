"""Tests of the order of waiting jobs and of their rejection."""

from random import Random

import pytest

from hibiscusstack.pool.active_jobs import ActiveJob
from hibiscusstack.pool.ordering import JobQueue, OrderingPolicy
from hibiscusstack.pool.ranking import JobOrder
from hibiscusstack.pool.tests.coordinator_harness import make_job


def make_waiting_job(name, latest_start_ms, has_started=False):
    """Return a job of 50 ms with this latest start; its objective is 150 ms."""
    job = ActiveJob(make_job(name, target_latency_ms=100), latest_start_ms - 100, False)
    job.first_start_ms = 0 if has_started else None
    return job


def job_ids(queue):
    return [job.job.job_id for job in queue.in_order()]


def make_queue(*jobs, now_ms=0):
    queue = JobQueue()
    for job in jobs:
        queue.add(job, now_ms)
    return queue


def test_started_jobs_go_first_and_others_by_latest_start():
    queue = make_queue(
        make_waiting_job("b", 300),
        make_waiting_job("a", 200),
        make_waiting_job("c", 900, True),
    )
    assert job_ids(queue) == ["c", "a", "b"]


@pytest.mark.parametrize(
    ("order", "expected"),
    [
        (JobOrder.SLACK, ["started", "urgent", "small", "early", "late"]),
        (JobOrder.PRIORITY, ["started", "early", "small", "urgent", "late"]),
        (JobOrder.WORTH, ["started", "small", "urgent", "early", "late"]),
        (JobOrder.ARRIVAL, ["started", "early", "urgent", "small", "late"]),
    ],
)
def test_the_order_of_the_policy_decides_within_a_tier(order, expected):
    queue = JobQueue(OrderingPolicy(order))
    for name, received_ms, tasks, terms in (
        ("early", 100, 2, {"target_latency_ms": 5_000, "priority": 0}),
        ("urgent", 200, 2, {"target_latency_ms": 500, "priority": 2}),
        ("small", 300, 1, {"target_latency_ms": 1_000, "priority": 1}),
        ("late", 0, 1, {"target_latency_ms": 100, "priority": 0}),
        ("started", 400, 2, {"target_latency_ms": 5_000, "priority": 3}),
    ):
        job = ActiveJob(make_job(name, tasks, **terms), received_ms, False)
        job.first_start_ms = 0 if name == "started" else None
        queue.add(job, 90)
    queue.demote_late(150)
    assert job_ids(queue) == expected


def test_equal_jobs_go_in_the_order_of_their_arrival():
    assert job_ids(make_queue(*(make_waiting_job(name, 200) for name in "cab"))) == [
        "c",
        "a",
        "b",
    ]


def test_late_jobs_go_after_jobs_that_can_end_in_time():
    queue = make_queue(
        make_waiting_job("late", 100), make_waiting_job("b", 300), now_ms=200
    )
    assert job_ids(queue) == ["b", "late"]
    queue.demote_late(300)
    assert job_ids(queue) == ["b", "late"]
    queue.add(make_waiting_job("c", 400), 300)
    queue.demote_late(301)
    assert job_ids(queue) == ["c", "late", "b"]


def test_started_job_is_neither_demoted_nor_past_its_cutoff():
    queue = make_queue(
        make_waiting_job("started", 100, True), make_waiting_job("b", 300)
    )
    queue.demote_late(10_000)
    assert job_ids(queue) == ["started", "b"]
    assert [job.job.job_id for job in queue.jobs_past_cutoff(10_000)] == ["b"]


def test_job_is_past_its_cutoff_if_it_would_end_after_three_objectives():
    job = make_waiting_job("a", 100)
    queue = make_queue(job)
    queue.demote_late(101)
    last_ms = job.received_ms + 3 * 150 - 50
    assert queue.jobs_past_cutoff(last_ms) == []
    assert queue.jobs_past_cutoff(last_ms + 1) == [job]


def test_started_job_moves_and_discarded_job_is_removed():
    first, second = make_waiting_job("a", 100), make_waiting_job("b", 200)
    queue = make_queue(first, second)
    second.first_start_ms = 0
    queue.add(second, 0)
    assert job_ids(queue) == ["b", "a"] and len(queue) == 2
    queue.discard(second)
    queue.discard(second)
    assert job_ids(queue) == ["a"] and second not in queue and first in queue


def test_the_order_holds_whatever_is_added_demoted_and_discarded():
    rng, queue, known, now_ms = Random(3), JobQueue(), [], 0
    for number in range(500):
        job = make_waiting_job(str(number), rng.randrange(3_000), rng.random() < 0.2)
        queue.add(job, now_ms)
        known.append(job)
        if rng.random() < 0.4:
            queue.discard(known.pop(rng.randrange(len(known))))
        now_ms += rng.randrange(10)
        queue.demote_late(now_ms)
        found = list(queue.in_order())
        assert sorted(map(id, found)) == sorted(map(id, known))
        ranks = [
            (job.first_start_ms is None, job.latest_start_ms < now_ms) for job in found
        ]
        started = [rank for rank in ranks if not rank[0]]
        assert ranks[: len(started)] == started
        assert ranks[len(started) :] == sorted(ranks[len(started) :])
