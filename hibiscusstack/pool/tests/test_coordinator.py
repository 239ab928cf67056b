"""Tests that a coordinator sends no orders once its term is over."""

from hibiscusstack.pool.tests.coordinator_harness import CoordinatorHarness, make_job


def test_coordinator_sends_no_orders_after_stepping_down():
    harness = CoordinatorHarness("t1", "t2")
    harness.complete_takeover("t1", "t2")
    harness.submit_and_start()
    harness.coordinator.step_down()
    sent = len(harness.holds)
    harness.reply_to_hold("t1")
    harness.submit(make_job("next"))
    harness.pass_time(2_000)
    assert (len(harness.starts), len(harness.stops), len(harness.holds)) == (1, 0, sent)
    assert harness.answers == []
