"""Tests of run ends that an earlier coordinator has not acknowledged."""

from hibiscusstack.pool.tests.coordinator_harness import CoordinatorHarness, make_job


def test_an_end_not_acknowledged_by_an_earlier_coordinator_counts():
    harness = CoordinatorHarness("t1")
    harness.submit(make_job("j", 1, 1), unheard_ms=0)
    harness.report_run_end("t1", ("j.0.0.0", 4))
    assert harness.started_runs() == [("t1", "j.0.1.0", 1)]


def test_requeued_task_of_an_earlier_coordinator_gets_a_higher_run_number():
    harness = CoordinatorHarness("t1")
    harness.submit(unheard_ms=0)
    harness.report_run_end("t1", ("j.0.0.0", 4), "lapsed")
    assert harness.started_runs() == [("t1", "j.0.0.0", 5)]
