"""Tests that a coordinator sends no orders once its term is over."""

from hibiscusstack.pool.tests.coordinator_harness import CoordinatorHarness, make_job


def test_coordinator_sends_no_orders_after_stepping_down():
    site = CoordinatorHarness("t1", "t2")
    site.complete_takeover("t1", "t2")
    site.submit_and_start()
    site.coordinator.step_down()
    sent = len(site.holds)
    site.reply_to_hold("t1")
    site.submit(make_job("next"))
    site.pass_time(2_000)
    assert (len(site.starts), len(site.stops), len(site.holds)) == (1, 0, sent)
    assert site.answers == []
