"""Tests of ends that an earlier coordinator has left."""

from hibiscusstack.pool.tests.coordinator_harness import CoordinatorHarness, make_job


def test_an_end_that_an_earlier_coordinator_left_counts():
    site = CoordinatorHarness("t1")
    site.submit(make_job("j", 1, 1), unheard_ms=0)
    site.report_run_end("t1", ("j.0.0.0", 4))
    assert site.started_runs() == [("t1", "j.0.1.0", 1)]


def test_a_lost_run_of_an_earlier_coordinator_gets_a_higher_number():
    site = CoordinatorHarness("t1")
    site.submit(unheard_ms=0)
    site.report_run_end("t1", ("j.0.0.0", 4), "lapsed")
    assert site.started_runs() == [("t1", "j.0.0.0", 5)]
