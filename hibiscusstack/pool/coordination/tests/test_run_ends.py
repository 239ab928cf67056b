"""Tests of what the ends of runs mean."""

from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.tests.coordinator_harness import CoordinatorHarness, make_job


def test_only_failed_runs_count_as_attempts():
    site = CoordinatorHarness("t1")
    site.complete_takeover("t1")
    task, _ = site.submit_and_start("t1", make_job("j", max_attempts=2))
    hows = ["lapsed", "stopped", "failed", "lapsed", "failed"]
    for number, how in enumerate(hows, start=1):
        assert site.answers == []
        site.pass_time(10)
        site.report_run_end("t1", (task, number), how, number)
    assert site.ends() == [JobEnd.FAILED]
    assert len(site.starts) == len(hows)
