"""Tests of the handling of replies from targets."""

import pytest

from hibiscusstack.pool.orders import FencedOut, Refused, ReplyLost
from hibiscusstack.pool.target_state import TakeoverPhase
from hibiscusstack.pool.tests.coordinator_harness import CoordinatorHarness, make_job


def test_a_late_reply_to_an_earlier_takeover_is_ignored():
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    harness.submit_and_start()
    earlier = harness.last_hold("t1")
    harness.fail_hold("t1", FencedOut())
    harness.coordinator.adopt_token(9)
    harness.submit(make_job("next"))
    harness.pass_time(10)
    harness.reply_to_hold("t1", sent=earlier)
    harness.reply_to_start()
    harness.reply_to_start(FencedOut(), sent=harness.starts[0])
    state = harness.state("t1")
    assert state.phase is TakeoverPhase.UNCONFIRMED and state.runs == {}
    assert len(harness.starts) == 1


def test_a_fenced_target_gets_no_further_holds():
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    sent = len(harness.holds)
    for _ in range(10):
        harness.fail_hold("t1", FencedOut())
        harness.pass_time(10)
    assert len(harness.holds) == sent


@pytest.mark.parametrize("reason", ["room", "instance", "late", "unhealthy", "old"])
def test_a_refused_start_is_retried_with_a_higher_run_number(reason):
    harness = CoordinatorHarness("t1", "t2")
    harness.complete_takeover("t1", "t2")
    harness.submit()
    harness.reply_to_start(Refused(reason, harness.clock.now_ms()))
    assert [run for _, _, run in harness.started_runs()] == [
        1,
        2,
    ] and harness.answers == []


def test_a_start_without_a_reply_is_stopped_before_it_is_retried():
    harness = CoordinatorHarness("t1", "t2")
    harness.complete_takeover("t1", "t2")
    harness.submit()
    harness.pass_time(60)
    harness.reply_to_start(ReplyLost("silent"))
    assert len(harness.starts) == len(harness.stops) == 1
    harness.reply_to_stop()
    assert len(harness.starts) == 1
    harness.pass_time(10)
    harness.report_runs_twice("t1")
    assert [run for _, _, run in harness.started_runs()] == [1, 2]
