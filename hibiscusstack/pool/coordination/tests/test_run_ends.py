"""Tests of the handling of run ends."""

from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.tests.coordinator_harness import CoordinatorHarness, make_job


def test_only_failed_runs_count_as_attempts():
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    task, _ = harness.submit_and_start("t1", make_job("j", max_attempts=2))
    outcomes = ["lapsed", "stopped", "failed", "lapsed", "failed"]
    for number, outcome in enumerate(outcomes, start=1):
        assert harness.answers == []
        harness.pass_time(10)
        harness.report_run_end("t1", (task, number), outcome, number)
    assert harness.ends() == [JobEnd.FAILED]
    assert len(harness.starts) == len(outcomes)
