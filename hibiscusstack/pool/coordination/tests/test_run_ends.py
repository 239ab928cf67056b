"""Tests of the handling of run ends."""

import math

import pytest

from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.tests.coordinator_harness import CoordinatorHarness, make_job
from hibiscusstack.pool.timing import CoordinatorTiming

TIMING = CoordinatorTiming()
MAX_LEASE_MS = math.ceil(TIMING.max_lease_ms)


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


# Guards against a deputy that acknowledges an end of a stored job's run, of which it
# doesn't know, and against one that lets targets idle which list no such end.
@pytest.mark.parametrize(
    ("outcome", "wait_ms"),
    [("done", MAX_LEASE_MS), ("failed", MAX_LEASE_MS), ("stopped", 0), ("lapsed", 0)],
)
def test_a_deputy_lets_the_lease_expire_where_an_unknown_end_may_count(
    outcome, wait_ms
):
    harness = CoordinatorHarness("t1", is_deputy=True)
    run = ("stored.0.0.0", 1)
    harness.reply_to_hold("t1", [run])
    harness.submit()
    harness.pass_time(TIMING.adoption_ms)
    harness.reply_to_hold("t1", [run])
    assert harness.stops and not harness.starts
    harness.report_run_end("t1", run, outcome)
    left_ms = max(0, wait_ms - TIMING.adoption_ms)
    for _ in range(left_ms // 10 - 1):
        harness.pass_time(10)
        harness.reply_to_hold("t1")
    assert bool(harness.starts) == (not wait_ms)
    order = harness.last_hold("t1")[1]
    assert (order.acked_through, order.until_ms is None) == (not wait_ms, bool(wait_ms))
    harness.pass_time(30)
    harness.reply_to_hold("t1")
    assert len(harness.starts) == 1
    harness.pass_time(200)
    assert harness.last_hold("t1")[1].acked_through == 1
