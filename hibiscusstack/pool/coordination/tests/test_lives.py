"""Tests of lives of targets that follow one another or are taken back."""

import math

from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.orders import FencedOut, ReplyLost, RunEnd
from hibiscusstack.pool.target_state import TakeoverPhase
from hibiscusstack.pool.tests.coordinator_harness import (
    CoordinatorHarness,
    make_job,
    make_target,
)
from hibiscusstack.pool.timing import CoordinatorTiming

TIMING = CoordinatorTiming()
LAPSE_MS = math.ceil(TIMING.max_lease_ms)


def test_a_renewed_term_keeps_held_targets_and_looks_at_fenced_ones():
    site = CoordinatorHarness("t1", "t2")
    site.complete_takeover("t1", "t2")
    kept = site.submit_and_start("t1", make_job("kept"))
    site.submit(make_job("taken", 4))
    for sent in site.starts[1:]:
        site.reply_to_start(sent=sent)
    assert "t2" in [name for name, _, _ in site.started_runs()]
    site.fail_hold("t2", FencedOut())
    site.coordinator.adopt_token(9)
    assert site.ends() == [JobEnd.UNKNOWN]
    target, order = site.holds[-1]
    assert (target.name, order.token, order.until_ms) == ("t2", 9, None)
    assert (
        site.state("t1").phase is TakeoverPhase.HELD and kept in site.state("t1").runs
    )
    site.report_run_end("t1", kept)
    assert site.ends() == [JobEnd.UNKNOWN, JobEnd.COMPLETED]
    assert site.last_hold("t1")[1].token == 9


def test_another_life_keeps_what_it_lists_and_stops_what_may_arrive():
    site = CoordinatorHarness("t1")
    site.complete_takeover("t1")
    over = site.submit_and_start("t1", make_job("over"))
    site.reply_to_hold("t1", [over])
    for name in ("listed", "open"):
        site.submit(make_job(name))
    listed, opened = ("listed.0.0.0", 1), ("open.0.0.0", 1)
    site.fail_hold("t1", ReplyLost("reset"))
    site.pass_time(TIMING.order_retry_ms)
    site.reply_to_hold("t1", [listed], instance_started_ms=6)
    assert set(site.state("t1").runs) == {listed, opened}
    assert [(order.task, order.run) for _, order in site.stops] == [opened]
    for sent in site.starts[1:]:
        site.reply_to_start(sent=sent)
    site.reply_to_stop()
    site.pass_time(10)
    site.report_runs_twice("t1", [listed])
    assert set(site.state("t1").runs) == {listed}
    assert site.state("t1").phase is TakeoverPhase.HELD and len(site.starts) == 3
    site.coordinator.replace_targets([make_target(instance_started_ms=6)])
    assert sorted(site.started_runs()[3:]) == [
        ("t1", "open.0.0.0", 2),
        ("t1", "over.0.0.0", 2),
    ]
    site.report_run_end("t1", listed)
    assert site.ends() == [JobEnd.COMPLETED]


def test_a_run_that_another_life_lists_is_not_made_again():
    site = CoordinatorHarness("t1", "t2")
    site.complete_takeover("t1", "t2")
    run = site.submit_and_start()
    site.fail_hold("t1", ReplyLost("reset"))
    site.pass_time(TIMING.order_retry_ms)
    site.reply_to_hold("t1", [run], instance_started_ms=6)
    site.pass_time(10)
    assert len(site.starts) == 1 and site.stops == []
    site.report_run_end("t1", run)
    assert site.ends() == [JobEnd.COMPLETED]


def test_another_life_that_was_listed_before_it_answered_gets_work():
    site = CoordinatorHarness("t1")
    site.complete_takeover("t1")
    site.coordinator.replace_targets([make_target(instance_started_ms=6)])
    site.reply_to_hold("t1", instance_started_ms=6)
    site.submit()
    site.report_runs_twice("t1")
    assert len(site.starts) == 1 and site.starts[0][0].instance_started_ms == 6


def test_another_life_is_listed_at_another_address():
    site = CoordinatorHarness("t1")
    site.complete_takeover("t1")
    run = site.submit_and_start()
    moved = make_target(instance_started_ms=6, address="t1:2")
    site.coordinator.replace_targets([moved])
    assert site.holds[-1][0] == moved and site.holds[-1][1].until_ms is None
    site.complete_takeover("t1")
    assert site.starts[-1][0] == moved
    assert site.started_runs()[1:] == [("t1", run[0], 2)]


def test_another_life_keeps_its_ends_until_its_lease_lapsed_where_ends_are_void():
    site = CoordinatorHarness("t1", is_deputy=True, discards_earlier_ends=True)
    site.complete_takeover("t1")
    site.pass_time(LAPSE_MS)
    site.reply_to_hold("t1")
    assert site.last_hold("t1")[1].until_ms is not None
    end, sent = RunEnd(1, "stored.0.0.0", 1, "done"), len(site.holds)
    site.reply_to_hold("t1", instance_started_ms=6, ended=(end,))
    site.coordinator.replace_targets([make_target(instance_started_ms=6)])
    site.submit()
    for _ in range(LAPSE_MS // 10 - 1):
        site.pass_time(10)
        site.reply_to_hold("t1", ended=(end,))
    orders = {(order.acked_through, order.until_ms) for _, order in site.holds[sent:]}
    assert orders == {(0, None)} and site.starts == []
    site.pass_time(20)
    site.reply_to_hold("t1", ended=(end,))
    assert len(site.starts) == 1
    site.pass_time(200)
    assert site.last_hold("t1")[1].acked_through == 1
