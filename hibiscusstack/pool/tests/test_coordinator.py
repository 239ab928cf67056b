"""Tests of a coordinator whose term is over."""

from hibiscusstack.pool.tests.site import Site, make_job


def test_nothing_is_acknowledged_to_a_target_that_may_have_begun_another_life():
    site = Site("t1")
    site.take("t1")
    site.end("t1", site.run())
    assert site.last_hold("t1")[1].acked_through == 1
    site.fail_hold("t1", ReplyLost("timeout"))
    site.pass_time(TIMING.order_retry_ms)
    assert site.last_hold("t1")[1].acked_through == 0
    site.reply_to_hold("t1")
    assert site.last_hold("t1")[1].acked_through == 1


def test_a_coordinator_that_stepped_down_orders_nothing():
    site = Site("t1", "t2")
    site.take("t1", "t2")
    site.run()
    site.coordinator.step_down()
    sent = len(site.holds)
    site.reply_to_hold("t1")
    site.submit(make_job("next"))
    site.pass_time(2_000)
    assert (len(site.starts), len(site.stops), len(site.holds)) == (1, 0, sent)
    assert site.answers == []
