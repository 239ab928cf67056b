"""Tests of the ranks of waiting jobs in each order."""

import pytest

from hibiscusstack.pool.active_jobs import ActiveJob
from hibiscusstack.pool.ranking import JobOrder, JobRanking
from hibiscusstack.pool.tests.coordinator_harness import make_job


def make_active_job(tasks=1, priority=0, received_ms=0):
    """Return a job with tasks of 50 ms on 500 thousandths of a core each."""
    return ActiveJob(make_job("j", tasks, priority=priority), received_ms, False)


@pytest.mark.parametrize(
    ("order", "first", "second"),
    [
        (JobOrder.PRIORITY, make_active_job(priority=0), make_active_job(priority=1)),
        (
            JobOrder.ARRIVAL,
            make_active_job(received_ms=5),
            make_active_job(received_ms=6),
        ),
        (JobOrder.WORTH, make_active_job(1), make_active_job(2)),
    ],
)
def test_the_better_job_has_the_lower_rank(order, first, second):
    ranking = JobRanking(order)
    assert ranking.rank(first) < ranking.rank(second)


def test_slack_order_gives_all_jobs_the_same_rank():
    ranking = JobRanking(JobOrder.SLACK)
    assert ranking.rank(make_active_job(1, 0, 5)) == ranking.rank(
        make_active_job(3, 2, 9)
    )


def test_worth_is_counted_against_the_mean_work_of_the_priority():
    ranking = JobRanking(JobOrder.WORTH)
    assert ranking.rank(make_active_job(2)) == -1 / 50_000
    # The mean work is that of 3 tasks, since the first job had 2 and this one has 4.
    expected = (0.3 + 0.7 * 4 / 3) / 100_000
    assert ranking.rank(make_active_job(4)) == pytest.approx(-expected)
    assert ranking.rank(make_active_job(8, priority=1)) == -1 / 200_000


def test_worth_is_bounded_by_four_mean_jobs():
    ranking = JobRanking(JobOrder.WORTH)
    for _ in range(99):
        ranking.rank(make_active_job(1))
    huge = make_active_job(100)
    huge.first_start_ms = 0
    assert ranking.rank(huge) == -4 / (100 * 25_000)


def test_the_worth_of_each_priority_can_be_given():
    ranking = JobRanking(JobOrder.WORTH, (0.5, 8.0))
    ranks = [ranking.rank(make_active_job(priority=priority)) for priority in (0, 1, 2)]
    assert ranks == [-0.5 / 25_000, -8.0 / 25_000, -1.0 / 25_000]
