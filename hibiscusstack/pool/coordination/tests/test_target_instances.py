"""Tests of target instances that are replaced or reclaimed."""

import math

import pytest

from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.orders import FencedOut, ReplyLost, RunEnd
from hibiscusstack.pool.target_state import TakeoverPhase
from hibiscusstack.pool.tests.coordinator_harness import (
    BORN_MS,
    CoordinatorHarness,
    RecordedNames,
    make_job,
    make_target,
)
from hibiscusstack.pool.timing import CoordinatorTiming

TIMING = CoordinatorTiming()
MAX_LEASE_MS = math.ceil(TIMING.max_lease_ms)


def test_a_renewed_term_keeps_held_targets_and_reclaims_fenced_ones():
    harness = CoordinatorHarness("t1", "t2")
    harness.complete_takeover("t1", "t2")
    kept = harness.submit_and_start("t1", make_job("kept"))
    harness.submit(make_job("taken", 4))
    for sent in harness.starts[1:]:
        harness.reply_to_start(sent=sent)
    assert "t2" in [name for name, _, _ in harness.started_runs()]
    harness.fail_hold("t2", FencedOut())
    harness.coordinator.adopt_token(9)
    assert harness.ends() == [JobEnd.UNKNOWN]
    target, order = harness.holds[-1]
    assert (target.name, order.token, order.until_ms) == ("t2", 9, None)
    assert (
        harness.state("t1").phase is TakeoverPhase.HELD
        and kept in harness.state("t1").runs
    )
    harness.report_run_end("t1", kept)
    assert harness.ends() == [JobEnd.UNKNOWN, JobEnd.COMPLETED]
    assert harness.last_hold("t1")[1].token == 9


def test_a_new_instance_keeps_reported_runs_and_stops_those_that_may_arrive():
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    over = harness.submit_and_start("t1", make_job("over"))
    harness.reply_to_hold("t1", [over])
    for name in ("listed", "open"):
        harness.submit(make_job(name))
    listed, opened = ("listed.0.0.0", 1), ("open.0.0.0", 1)
    harness.fail_hold("t1", ReplyLost("reset"))
    harness.pass_time(TIMING.order_retry_ms)
    harness.reply_to_hold("t1", [listed], instance_started_ms=6)
    assert set(harness.state("t1").runs) == {listed, opened}
    assert [(order.task, order.run) for _, order in harness.stops] == [opened]
    for sent in harness.starts[1:]:
        harness.reply_to_start(sent=sent)
    harness.reply_to_stop()
    harness.pass_time(10)
    harness.report_runs_twice("t1", [listed])
    assert set(harness.state("t1").runs) == {listed}
    assert harness.state("t1").phase is TakeoverPhase.HELD and len(harness.starts) == 3
    harness.coordinator.replace_targets([make_target(instance_started_ms=6)])
    # Tasks that were lost with a target are started again alone, one after the other.
    assert harness.started_runs()[3:] == []
    harness.report_run_end("t1", listed)
    assert harness.ends() == [JobEnd.COMPLETED]
    assert harness.started_runs()[3:] == [("t1", "over.0.0.0", 2)]
    harness.reply_to_start()
    harness.report_run_end("t1", ("over.0.0.0", 2), number=2)
    assert harness.started_runs()[4:] == [("t1", "open.0.0.0", 2)]


def test_a_run_reported_by_a_new_instance_is_not_started_again():
    harness = CoordinatorHarness("t1", "t2")
    harness.complete_takeover("t1", "t2")
    run = harness.submit_and_start()
    harness.fail_hold("t1", ReplyLost("reset"))
    harness.pass_time(TIMING.order_retry_ms)
    harness.reply_to_hold("t1", [run], instance_started_ms=6)
    harness.pass_time(10)
    assert len(harness.starts) == 1 and harness.stops == []
    harness.report_run_end("t1", run)
    assert harness.ends() == [JobEnd.COMPLETED]


def test_a_new_instance_listed_before_its_first_reply_gets_work():
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    harness.coordinator.replace_targets([make_target(instance_started_ms=6)])
    harness.reply_to_hold("t1", instance_started_ms=6)
    harness.submit()
    harness.report_runs_twice("t1")
    assert len(harness.starts) == 1 and harness.starts[0][0].instance_started_ms == 6


def test_a_new_instance_at_another_address_replaces_the_earlier_one():
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    run = harness.submit_and_start()
    moved = make_target(instance_started_ms=6, address="t1:2")
    harness.coordinator.replace_targets([moved])
    assert harness.holds[-1][0] == moved and harness.holds[-1][1].until_ms is None
    harness.complete_takeover("t1")
    assert harness.starts[-1][0] == moved
    assert harness.started_runs()[1:] == [("t1", run[0], 2)]


# Guards against the loss of all orders to a target that was started in the place of one
# that crashed, when the latter is removed.
@pytest.mark.parametrize("is_taken", [False, True])
def test_connections_to_an_address_that_another_target_has_are_kept(is_taken):
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    harness.fail_hold("t1", ReplyLost("reset"))
    address = make_target("t1").address if is_taken else "t2:1"
    harness.coordinator.replace_targets([make_target("t2", address=address)])
    harness.pass_time(TIMING.unlisted_ms + 20)
    assert [state.listing.name for state in harness.coordinator.targets()] == ["t2"]
    assert harness.closed == ([] if is_taken else ["t1:1"])


def test_earlier_ends_of_a_new_instance_are_acknowledged_after_lease_expiry():
    harness = CoordinatorHarness("t1", is_deputy=True)
    harness.complete_takeover("t1")
    harness.pass_time(MAX_LEASE_MS)
    harness.reply_to_hold("t1")
    assert harness.last_hold("t1")[1].until_ms is not None
    end, sent = RunEnd(1, "stored.0.0.0", 1, "done"), len(harness.holds)
    harness.reply_to_hold("t1", instance_started_ms=6, ended=(end,))
    harness.coordinator.replace_targets([make_target(instance_started_ms=6)])
    harness.submit()
    for _ in range(MAX_LEASE_MS // 10 - 1):
        harness.pass_time(10)
        harness.reply_to_hold("t1", ended=(end,))
    orders = {
        (order.acked_through, order.until_ms) for _, order in harness.holds[sent:]
    }
    assert orders == {(0, None)} and harness.starts == []
    harness.pass_time(20)
    harness.reply_to_hold("t1", ended=(end,))
    assert len(harness.starts) == 1
    harness.pass_time(200)
    assert harness.last_hold("t1")[1].acked_through == 1


# The entry of a target may have lapsed before this coordinator's host started.
def test_a_recorded_target_that_is_not_listed_is_taken_over_before_jobs_restart():
    harness = CoordinatorHarness("t1", records=RecordedNames(["t1", "t2"]))
    harness.coordinator.take_over_unlisted([make_target("t1"), make_target("t2")])
    assert [target.name for target, _ in harness.holds] == ["t1", "t2"]
    harness.complete_takeover("t1")
    harness.submit(make_job("j", 2), unheard_ms=0)
    assert harness.starts == []
    harness.reply_to_hold("t2", [("j.0.0.0", 1)])
    assert harness.started_runs() == [("t1", "j.0.0.1", 1)]
    assert ("j.0.0.0", 1) in harness.state("t2").runs


def test_an_unlisted_target_gets_no_work_and_is_removed_once_it_has_no_runs():
    harness = CoordinatorHarness(records=RecordedNames(["t1"]))
    harness.coordinator.take_over_unlisted([make_target("t1")])
    harness.complete_takeover("t1")
    harness.submit()
    assert harness.coordinator.missing_targets() == []
    harness.pass_time(TIMING.unlisted_ms + 20)
    assert harness.starts == [] and harness.coordinator.targets() == []
    assert harness.coordinator.missing_targets() == ["t1"]


def test_an_unlisted_target_that_does_not_answer_delays_jobs_after_its_removal():
    harness = CoordinatorHarness("t1", records=RecordedNames(["t1", "t2"]))
    harness.coordinator.take_over_unlisted([make_target("t2")])
    harness.complete_takeover("t1")
    harness.fail_hold("t2", ReplyLost("silent"))
    harness.pass_time(TIMING.unlisted_ms + 20)
    assert [state.listing.name for state in harness.coordinator.targets()] == ["t1"]
    harness.submit(unheard_ms=0)
    harness.pass_time(TIMING.max_orphan_run_ms - 20)
    assert harness.starts == []
    harness.pass_time(40)
    assert len(harness.starts) == 1


def test_an_unlisted_target_gets_work_once_it_is_listed_again():
    harness = CoordinatorHarness()
    harness.coordinator.take_over_unlisted([make_target("t1")])
    harness.complete_takeover("t1")
    harness.submit()
    assert harness.starts == []
    harness.coordinator.replace_targets([make_target("t1")])
    assert len(harness.starts) == 1


# Guards against runs of an instance that has answered and that are made again, because
# a list that was read before names an earlier instance.
def test_an_older_list_does_not_replace_an_instance_that_has_answered():
    harness = CoordinatorHarness("t1", "t2")
    harness.complete_takeover("t1", "t2")
    harness.reply_to_hold("t1", instance_started_ms=BORN_MS + 2)
    newest = make_target("t1", instance_started_ms=BORN_MS + 2)
    older = make_target("t1", instance_started_ms=BORN_MS + 1)
    state = harness.state("t1")
    harness.coordinator.replace_targets([older, harness.targets[1]])
    assert harness.state("t1") is state
    harness.coordinator.replace_targets([newest, harness.targets[1]])
    assert harness.state("t1") is state and not state.is_unlisted_instance
