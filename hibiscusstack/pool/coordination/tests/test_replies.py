"""Tests of what the replies of targets mean."""

import pytest

from hibiscusstack.pool.orders import FencedOut, Refused, ReplyLost
from hibiscusstack.pool.target_state import TakeoverPhase
from hibiscusstack.pool.tests.coordinator_harness import CoordinatorHarness, make_job


def test_a_late_reply_to_an_earlier_takeover_changes_nothing():
    site = CoordinatorHarness("t1")
    site.complete_takeover("t1")
    site.submit_and_start()
    earlier = site.last_hold("t1")
    site.fail_hold("t1", FencedOut())
    site.coordinator.adopt_token(9)
    site.submit(make_job("next"))
    site.pass_time(10)
    site.reply_to_hold("t1", sent=earlier)
    site.reply_to_start()
    site.reply_to_start(FencedOut(), sent=site.starts[0])
    state = site.state("t1")
    assert state.phase is TakeoverPhase.UNCONFIRMED and state.runs == {}
    assert len(site.starts) == 1


def test_a_fenced_target_is_not_asked_again_and_again():
    site = CoordinatorHarness("t1")
    site.complete_takeover("t1")
    sent = len(site.holds)
    for _ in range(10):
        site.fail_hold("t1", FencedOut())
        site.pass_time(10)
    assert len(site.holds) == sent


@pytest.mark.parametrize("reason", ["room", "instance", "late", "unhealthy", "old"])
def test_a_start_that_is_refused_is_made_again_with_a_higher_number(reason):
    site = CoordinatorHarness("t1", "t2")
    site.complete_takeover("t1", "t2")
    site.submit()
    site.reply_to_start(Refused(reason, site.clock.now_ms()))
    assert [run for _, _, run in site.started_runs()] == [1, 2] and site.answers == []


def test_a_start_without_a_reply_is_stopped_before_it_is_made_again():
    site = CoordinatorHarness("t1", "t2")
    site.complete_takeover("t1", "t2")
    site.submit()
    site.pass_time(60)
    site.reply_to_start(ReplyLost("silent"))
    assert len(site.starts) == len(site.stops) == 1
    site.reply_to_stop()
    assert len(site.starts) == 1
    site.pass_time(10)
    site.report_runs_twice("t1")
    assert [run for _, _, run in site.started_runs()] == [1, 2]
