"""Tests of active jobs and their tasks."""

import attrs
import pytest

from hibiscusstack.pool.active_jobs import (
    ActiveJob,
    TaskState,
    parse_task_name,
    task_name,
)
from hibiscusstack.pool.jobs import PoolJob, Resources, Step
from hibiscusstack.pool.tests.coordinator_harness import make_job


def make_active_job(*steps):
    return ActiveJob(PoolJob("j", "p", "", steps), 1_000, False)


def ready(job):
    return [task.key for task in job.ready]


def finish(job, key):
    task = job.tasks[key]
    job.ready.remove(task)
    job.note_done(task)


def test_a_step_waits_for_all_tasks_of_those_it_follows():
    first, second = Step(2, Resources(), 10), Step(1, Resources(), 20)
    job = make_active_job(first, second, Step(1, Resources(), 5, (0, 1)))
    assert ready(job) == [(0, 0), (0, 1), (1, 0)]
    finish(job, (0, 0))
    finish(job, (1, 0))
    assert ready(job) == [(0, 1)]
    finish(job, (0, 1))
    assert ready(job) == [(2, 0)] and not job.is_complete
    finish(job, (2, 0))
    assert job.is_complete and ready(job) == []


def test_a_task_that_runs_is_not_made_ready_again():
    job = make_active_job(Step(1, Resources()), Step(2, Resources(), after=(0,)))
    finish(job, (0, 0))
    assert ready(job) == [(1, 0), (1, 1)]
    job.tasks[1, 0].state = TaskState.ACTIVE
    job.ready.remove(job.tasks[1, 0])
    finish(job, (1, 1))
    assert ready(job) == []


def test_the_latest_start_leaves_time_for_the_longest_chain():
    job = ActiveJob(make_job("j", 1, 1, target_latency_ms=500), 1_000, False)
    assert (job.critical_path_ms, job.objective_ms) == (100, 600)
    assert job.latest_start_ms == 1_500
    stretched = attrs.evolve(job.job, stretch=2.0)
    assert ActiveJob(stretched, 1_000, False).latest_start_ms == 1_600


def test_a_run_may_take_a_few_times_its_estimate():
    job = make_active_job(Step(2, Resources(), 100))
    task = job.tasks[0, 0]
    assert job.run_time_limit_ms(task) == 510
    task.overdue_count = 2
    assert job.run_time_limit_ms(task) == 4 * 510


def test_the_longest_run_of_a_step_replaces_its_estimate():
    job = make_active_job(Step(2, Resources(), 100), Step(1, Resources(), 100))
    for run_ms in (900, 300):
        job.note_run_time(job.tasks[0, 0], run_ms)
    assert job.run_time_limit_ms(job.tasks[0, 1]) == 2 * 900 + 60
    assert job.run_time_limit_ms(job.tasks[1, 0]) == 510


@pytest.mark.parametrize("job_id", ["5c0e", "a.b", "a.0.1.2"])
def test_names_of_tasks_are_read_back(job_id):
    assert parse_task_name(task_name(job_id, (3, 14))) == (job_id, (3, 14))


@pytest.mark.parametrize("name", ["", "5c0e", "5c0e.0.1", "5c0e.0.x.1", "5c0e.0.1.-1"])
def test_other_names_are_no_tasks(name):
    assert parse_task_name(name) is None
