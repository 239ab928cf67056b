"""Tests of holds, polls and stops, and of what an overdue stop delays."""

from hibiscusstack.pool.orders import Refused, ReplyLost
from hibiscusstack.pool.tests.coordinator_harness import (
    OWNER,
    CoordinatorHarness,
    make_job,
)
from hibiscusstack.pool.timing import CoordinatorTiming

TIMING = CoordinatorTiming()


def test_a_target_with_an_overdue_stop_gets_no_start_and_no_lease():
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    run = harness.submit_and_start()
    harness.coordinator.cancel(OWNER, 1)
    harness.pass_time(TIMING.stop_notice_ms + 10)
    harness.submit(make_job("next"))
    harness.reply_to_hold("t1", [run])
    assert harness.last_hold("t1")[1].until_ms is None and len(harness.starts) == 1
    harness.pass_time(TIMING.order_retry_ms)
    assert len(harness.stops) == 2
    harness.reply_to_stop()
    harness.pass_time(10)
    harness.report_runs_twice("t1")
    assert len(harness.starts) == 2
    assert harness.last_hold("t1")[1].until_ms is not None


def test_a_stop_within_its_notice_time_delays_no_start_and_no_lease():
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    run = harness.submit_and_start()
    harness.coordinator.cancel(OWNER, 1)
    harness.pass_time(TIMING.stop_notice_ms)
    harness.submit(make_job("next"))
    harness.reply_to_hold("t1", [run])
    assert len(harness.starts) == 2
    assert harness.last_hold("t1")[1].until_ms is not None


def test_no_end_is_acknowledged_to_a_target_that_may_have_restarted():
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    harness.report_run_end("t1", harness.submit_and_start())
    assert harness.last_hold("t1")[1].acked_through == 1
    harness.fail_hold("t1", ReplyLost("timeout"))
    harness.pass_time(TIMING.order_retry_ms)
    assert harness.last_hold("t1")[1].acked_through == 0
    harness.reply_to_hold("t1")
    assert harness.last_hold("t1")[1].acked_through == 1


def test_a_poll_acknowledges_no_ends():
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    harness.report_run_end("t1", harness.submit_and_start())
    harness.submit(make_job("next"))
    harness.reply_to_start(Refused("room", 0))
    target, poll = harness.last_hold("t1")
    assert (target.name, poll.wait_ms, poll.acked_through) == ("t1", 0, 0)
