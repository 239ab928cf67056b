"""Tests of holds and stops, and of what a stop that is owed holds up."""

from hibiscusstack.pool.orders import Refused, ReplyLost
from hibiscusstack.pool.tests.coordinator_harness import (
    OWNER,
    CoordinatorHarness,
    make_job,
)
from hibiscusstack.pool.timing import CoordinatorTiming

TIMING = CoordinatorTiming()


def test_a_target_that_owes_a_stop_gets_no_start_and_no_lease():
    site = CoordinatorHarness("t1")
    site.complete_takeover("t1")
    run = site.submit_and_start()
    site.coordinator.cancel(OWNER, 1)
    site.pass_time(TIMING.stop_notice_ms + 10)
    site.submit(make_job("next"))
    site.reply_to_hold("t1", [run])
    assert site.last_hold("t1")[1].until_ms is None and len(site.starts) == 1
    site.pass_time(TIMING.order_retry_ms)
    assert len(site.stops) == 2
    site.reply_to_stop()
    site.pass_time(10)
    site.report_runs_twice("t1")
    assert len(site.starts) == 2
    assert site.last_hold("t1")[1].until_ms is not None


def test_a_stop_that_was_just_sent_holds_nothing_up():
    site = CoordinatorHarness("t1")
    site.complete_takeover("t1")
    run = site.submit_and_start()
    site.coordinator.cancel(OWNER, 1)
    site.pass_time(TIMING.stop_notice_ms)
    site.submit(make_job("next"))
    site.reply_to_hold("t1", [run])
    assert len(site.starts) == 2
    assert site.last_hold("t1")[1].until_ms is not None


def test_nothing_is_acknowledged_to_a_target_that_may_have_begun_another_life():
    site = CoordinatorHarness("t1")
    site.complete_takeover("t1")
    site.report_run_end("t1", site.submit_and_start())
    assert site.last_hold("t1")[1].acked_through == 1
    site.fail_hold("t1", ReplyLost("timeout"))
    site.pass_time(TIMING.order_retry_ms)
    assert site.last_hold("t1")[1].acked_through == 0
    site.reply_to_hold("t1")
    assert site.last_hold("t1")[1].acked_through == 1


def test_a_look_acknowledges_nothing():
    site = CoordinatorHarness("t1")
    site.complete_takeover("t1")
    site.report_run_end("t1", site.submit_and_start())
    site.submit(make_job("next"))
    site.reply_to_start(Refused("room", 0))
    target, look = site.last_hold("t1")
    assert (target.name, look.wait_ms, look.acked_through) == ("t1", 0, 0)
