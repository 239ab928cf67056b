"""Tests of what a target lists while it is taken over."""

from hibiscusstack.pool.target_state import TakeoverPhase
from hibiscusstack.pool.tests.coordinator_harness import CoordinatorHarness
from hibiscusstack.pool.timing import CoordinatorTiming

TIMING = CoordinatorTiming()
STRANGER = ("other.0.0.0", 2)


def test_a_takeover_extends_no_lease_before_the_target_is_clean():
    site = CoordinatorHarness("t1")
    for _ in range(TIMING.adoption_ms // 10 - 1):
        site.pass_time(10)
        site.reply_to_hold("t1", [STRANGER])
        assert site.state("t1").phase is TakeoverPhase.RECONCILING and site.stops == []
    site.pass_time(10)
    site.reply_to_hold("t1", [STRANGER])
    (stop,) = site.stops
    assert (stop[1].task, stop[1].run, stop[1].token) == (*STRANGER, 3)
    site.pass_time(10)
    site.reply_to_stop()
    site.reply_to_hold("t1", [STRANGER])
    site.submit()
    assert {order.until_ms for _, order in site.holds} == {None}
    assert site.state("t1").phase is TakeoverPhase.RECONCILING and site.starts == []
    site.pass_time(10)
    site.report_runs_twice("t1")
    assert site.state("t1").phase is TakeoverPhase.HELD and len(site.starts) == 1
    lease = site.last_hold("t1")[1]
    assert lease.until_ms == lease.sent_ms + TIMING.lease_ms
