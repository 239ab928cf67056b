"""The coordinator alone: what it orders when, whatever its targets reply."""

import math

import pytest

from hibiscusstack.pool.held_target import Phase
from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.orders import FencedOut, Refused, ReplyLost
from hibiscusstack.pool.tests.site import OWNER, PEER, Site, make_job, make_target
from hibiscusstack.pool.timing import CoordinatorTiming

TIMING = CoordinatorTiming()
QUIET_MS = math.ceil(TIMING.quiet_bound_ms)
STRANGER = ("other.0.0.0", 2)


def test_a_takeover_extends_no_lease_before_the_target_is_clean():
    site = Site("t1")
    for _ in range(TIMING.adoption_ms // 10 - 1):
        site.pass_time(10)
        site.reply_to_hold("t1", [STRANGER])
        assert site.state("t1").phase is Phase.CLEARING and site.stops == []
    site.pass_time(10)
    site.reply_to_hold("t1", [STRANGER])
    (stop,) = site.stops
    assert (stop[1].task, stop[1].run, stop[1].token) == (*STRANGER, 3)
    site.pass_time(10)
    site.reply_to_stop()
    site.reply_to_hold("t1", [STRANGER])
    site.submit()
    assert {order.until_ms for _, order in site.holds} == {None}
    assert site.state("t1").phase is Phase.CLEARING and site.starts == []
    site.pass_time(10)
    site.list_again("t1")
    assert site.state("t1").phase is Phase.HELD and len(site.starts) == 1
    lease = site.last_hold("t1")[1]
    assert lease.until_ms == lease.sent_ms + TIMING.lease_ms


def test_a_run_of_a_waiting_job_is_adopted():
    site = Site("t1")
    site.submit(unheard_ms=0)
    site.reply_to_hold("t1", [("j.0.0.0", 4)])
    site.pass_time(100)
    assert site.state("t1").phase is Phase.HELD
    assert site.starts == [] and site.stops == []
    site.end("t1", ("j.0.0.0", 4))
    assert site.ends() == [JobEnd.COMPLETED]


def test_an_adopted_run_that_ends_without_a_result_is_made_again():
    site = Site("t1")
    site.submit(unheard_ms=0)
    site.reply_to_hold("t1", [("j.0.0.0", 4)])
    site.pass_time(10)
    site.end("t1", ("j.0.0.0", 4), "lapsed")
    assert site.started() == [("t1", "j.0.0.0", 5)]


def test_an_end_that_an_earlier_coordinator_left_counts():
    site = Site("t1")
    site.submit(make_job("j", 1, 1), unheard_ms=0)
    site.end("t1", ("j.0.0.0", 4))
    assert site.started() == [("t1", "j.0.1.0", 1)]


def test_a_lost_run_of_an_earlier_coordinator_gets_a_higher_number():
    site = Site("t1")
    site.submit(unheard_ms=0)
    site.end("t1", ("j.0.0.0", 4), "lapsed")
    assert site.started() == [("t1", "j.0.0.0", 5)]


def leave_looking(site):
    """Let the second target not reply yet."""


def leave_clearing(site):
    """Let the second target run something else."""
    site.reply_to_hold("t2", [STRANGER])


def fence(site):
    """Let another coordinator have the second target."""
    site.fail_hold("t2", FencedOut())


def silence(site):
    """Let the second target fall silent after it was taken over."""
    site.take("t2")
    site.fail_hold("t2", ReplyLost("silent"))


def cut(site):
    """Let the second target not be reached from the first."""
    site.fail_hold("t2", ReplyLost("silent"))


@pytest.mark.parametrize("hinder", [leave_looking, leave_clearing, fence, silence, cut])
def test_a_resubmitted_job_waits_while_its_runs_may_go_on_somewhere(hinder):
    site = Site("t1", "t2")
    site.take("t1")
    hinder(site)
    site.submit(unheard_ms=300)
    site.submit(make_job("new"))
    assert [order.task for _, order in site.starts] == ["new.0.0.0"]
    site.end("t1", ("new.0.0.0", 1))
    site.pass_time(QUIET_MS - 300 - 1)
    assert len(site.starts) == 1
    site.pass_time(1)
    assert site.started()[1:] == [("t1", "j.0.0.0", 1)]


def test_a_resubmitted_job_waits_for_a_target_that_is_missing():
    site = Site("t1", missing=["t2"])
    site.take("t1")
    site.submit(unheard_ms=0)
    site.pass_time(100)
    assert site.starts == []
    site.coordinator.replace_targets([make_target("t1"), make_target("t2")])
    site.pass_time(100)
    assert site.starts == []
    site.take("t2")
    assert len(site.starts) == 1


def test_a_resubmitted_job_starts_at_once_where_all_targets_are_held():
    site = Site("t1", "t2")
    site.take("t1", "t2")
    site.submit(unheard_ms=0)
    assert len(site.starts) == 1


def test_a_deputy_adopts_nothing_and_waits_as_long_as_a_run_may_go_on():
    site = Site("t1", is_deputy=True)
    site.submit(unheard_ms=0)
    site.reply_to_hold("t1", [("j.0.0.0", 1)])
    site.pass_time(TIMING.adoption_ms)
    site.reply_to_hold("t1", [("j.0.0.0", 1)])
    (stop,) = site.stops
    assert stop[1].task == "j.0.0.0"
    site.reply_to_stop()
    site.pass_time(10)
    site.list_again("t1")
    assert site.state("t1").phase is Phase.HELD
    site.pass_time(QUIET_MS - TIMING.adoption_ms - 30 - 1)
    assert site.starts == []
    site.pass_time(1)
    assert len(site.starts) == 1


def test_a_target_that_owes_a_stop_gets_no_start_and_no_lease():
    site = Site("t1")
    site.take("t1")
    run = site.run()
    site.coordinator.cancel(OWNER, 1)
    site.pass_time(TIMING.stop_notice_ms + 10)
    site.submit(make_job("next"))
    site.reply_to_hold("t1", [run])
    assert site.last_hold("t1")[1].until_ms is None and len(site.starts) == 1
    site.pass_time(TIMING.order_retry_ms)
    assert len(site.stops) == 2
    site.reply_to_stop()
    site.pass_time(10)
    site.list_again("t1")
    assert len(site.starts) == 2
    assert site.last_hold("t1")[1].until_ms is not None


def test_a_stop_that_was_just_sent_holds_nothing_up():
    site = Site("t1")
    site.take("t1")
    run = site.run()
    site.coordinator.cancel(OWNER, 1)
    site.pass_time(TIMING.stop_notice_ms)
    site.submit(make_job("next"))
    site.reply_to_hold("t1", [run])
    assert len(site.starts) == 2
    assert site.last_hold("t1")[1].until_ms is not None


def test_a_job_that_comes_again_waits_for_the_end_of_its_stopped_run():
    site = Site("t1", "t2")
    site.take("t1", "t2")
    site.run()
    site.coordinator.cancel(OWNER, 1)
    site.submit()
    site.reply_to_stop()
    site.pass_time(10)
    assert len(site.starts) == 1
    site.list_again("t1")
    assert len(site.starts) == 2


def test_a_late_reply_to_an_earlier_takeover_changes_nothing():
    site = Site("t1")
    site.take("t1")
    site.run()
    earlier = site.last_hold("t1")
    site.fail_hold("t1", FencedOut())
    site.coordinator.renew(9)
    site.submit(make_job("next"))
    site.pass_time(10)
    site.reply_to_hold("t1", sent=earlier)
    site.reply_to_start()
    site.reply_to_start(FencedOut(), sent=site.starts[0])
    state = site.state("t1")
    assert state.phase is Phase.LOOKING and state.runs == {}
    assert len(site.starts) == 1


def test_runs_at_a_fenced_target_are_made_again_after_the_longest_time():
    site = Site("t1", "t2")
    site.take("t1", "t2")
    run = site.run()
    site.fail_hold("t1", FencedOut())
    site.pass_time(QUIET_MS - 1)
    assert len(site.starts) == 1
    site.pass_time(1)
    assert site.started()[1:] == [("t2", run[0], 2)]


def test_a_fenced_target_is_not_asked_again_and_again():
    site = Site("t1")
    site.take("t1")
    sent = len(site.holds)
    for _ in range(10):
        site.fail_hold("t1", FencedOut())
        site.pass_time(10)
    assert len(site.holds) == sent


def test_a_renewed_term_keeps_held_targets_and_looks_at_fenced_ones():
    site = Site("t1", "t2")
    site.take("t1", "t2")
    kept = site.run("t1", make_job("kept"))
    site.submit(make_job("taken", 4))
    for sent in site.starts[1:]:
        site.reply_to_start(sent=sent)
    assert "t2" in [name for name, _, _ in site.started()]
    site.fail_hold("t2", FencedOut())
    site.coordinator.renew(9)
    assert site.ends() == [JobEnd.UNKNOWN]
    target, order = site.holds[-1]
    assert (target.name, order.token, order.until_ms) == ("t2", 9, None)
    assert site.state("t1").phase is Phase.HELD and kept in site.state("t1").runs
    site.end("t1", kept)
    assert site.ends() == [JobEnd.UNKNOWN, JobEnd.COMPLETED]
    assert site.last_hold("t1")[1].token == 9


def test_jobs_of_unheard_hosts_get_no_start():
    site = Site("t1")
    site.take("t1")
    site.coordinator.note_unheard([OWNER])
    site.submit(make_job("one"))
    site.submit(make_job("two"), PEER)
    assert [order.task for _, order in site.starts] == ["two.0.0.0"]
    site.submit(make_job("one"), PEER)
    assert len(site.starts) == 2
    site.submit(make_job("three"))
    site.coordinator.note_unheard([])
    site.pass_time(10)
    assert len(site.starts) == 3


def test_runs_for_unheard_hosts_are_not_adopted():
    site = Site("t1")
    site.submit(unheard_ms=0)
    site.coordinator.note_unheard([OWNER])
    site.reply_to_hold("t1", [("j.0.0.0", 4)])
    site.pass_time(TIMING.adoption_ms)
    site.reply_to_hold("t1", [("j.0.0.0", 4)])
    assert [(order.task, order.run) for _, order in site.stops] == [("j.0.0.0", 4)]


def test_another_life_keeps_what_it_lists_and_stops_what_may_arrive():
    site = Site("t1")
    site.take("t1")
    over = site.run("t1", make_job("over"))
    site.reply_to_hold("t1", [over])
    for name in ("listed", "open"):
        site.submit(make_job(name))
    listed, opened = ("listed.0.0.0", 1), ("open.0.0.0", 1)
    site.fail_hold("t1", ReplyLost("reset"))
    site.pass_time(TIMING.order_retry_ms)
    site.reply_to_hold("t1", [listed], born_ms=6)
    assert set(site.state("t1").runs) == {listed, opened}
    assert [(order.task, order.run) for _, order in site.stops] == [opened]
    for sent in site.starts[1:]:
        site.reply_to_start(sent=sent)
    site.reply_to_stop()
    site.pass_time(10)
    site.list_again("t1", [listed])
    assert set(site.state("t1").runs) == {listed}
    assert site.state("t1").phase is Phase.HELD and len(site.starts) == 3
    site.coordinator.replace_targets([make_target(born_ms=6)])
    assert sorted(site.started()[3:]) == [
        ("t1", "open.0.0.0", 2),
        ("t1", "over.0.0.0", 2),
    ]
    site.end("t1", listed)
    assert site.ends() == [JobEnd.COMPLETED]


def test_a_run_that_another_life_lists_is_not_made_again():
    site = Site("t1", "t2")
    site.take("t1", "t2")
    run = site.run()
    site.fail_hold("t1", ReplyLost("reset"))
    site.pass_time(TIMING.order_retry_ms)
    site.reply_to_hold("t1", [run], born_ms=6)
    site.pass_time(10)
    assert len(site.starts) == 1 and site.stops == []
    site.end("t1", run)
    assert site.ends() == [JobEnd.COMPLETED]


def test_another_life_that_was_listed_before_it_answered_gets_work():
    site = Site("t1")
    site.take("t1")
    site.coordinator.replace_targets([make_target(born_ms=6)])
    site.reply_to_hold("t1", born_ms=6)
    site.submit()
    site.list_again("t1")
    assert len(site.starts) == 1 and site.starts[0][0].born_ms == 6


def test_another_life_is_listed_at_another_address():
    site = Site("t1")
    site.take("t1")
    run = site.run()
    moved = make_target(born_ms=6, address="t1:2")
    site.coordinator.replace_targets([moved])
    assert site.holds[-1][0] == moved and site.holds[-1][1].until_ms is None
    site.take("t1")
    assert site.starts[-1][0] == moved
    assert site.started()[1:] == [("t1", run[0], 2)]


def test_a_job_that_has_not_begun_is_refused_without_room():
    site = Site("t1")
    site.submit(make_job("j", target_latency_ms=100))
    site.pass_time(1_000)
    assert site.ends() == [JobEnd.REFUSED]
    assert site.answers[0].retry_ms > 0


def test_jobs_are_not_given_up_early_while_no_target_is_held():
    site = Site("t1")
    for name in ("one", "two"):
        site.submit(make_job(name, target_latency_ms=1_000), unheard_ms=0)
    site.pass_time(400)
    assert site.answers == []
    site.take("t1")
    assert len(site.starts) == 2


def test_a_resubmitted_job_is_never_refused():
    site = Site("t1")
    site.submit(make_job("j", target_latency_ms=100), unheard_ms=0)
    site.pass_time(1_000)
    assert site.ends() == [JobEnd.UNKNOWN]
    assert site.answers[0].retry_ms == 0


def test_a_begun_job_is_not_given_up_for_being_late():
    site = Site("t1")
    site.take("t1")
    run = site.run("t1", make_job("j", target_latency_ms=100))
    site.fail_hold("t1", ReplyLost("silent"))
    site.pass_time(1_000)
    assert site.answers == [] and site.state("t1").runs == {}
    site.reply_to_hold("t1")
    assert site.started()[1:] == [("t1", run[0], 2)]


def test_a_job_with_an_adopted_run_is_not_given_up_for_being_late():
    site = Site("t1")
    site.submit(make_job("j", 2, target_latency_ms=100), unheard_ms=0)
    site.reply_to_hold("t1", [("j.0.0.0", 1), STRANGER])
    site.pass_time(1_000)
    assert site.answers == []


def test_a_hung_run_is_made_elsewhere_with_twice_the_time():
    site = Site("t1", "t2")
    site.take("t1", "t2")
    run = site.run()
    limit_ms = 285
    site.pass_time(limit_ms)
    assert site.stops == []
    site.pass_time(1)
    assert [(order.task, order.run) for _, order in site.stops] == [run]
    site.reply_to_stop()
    site.pass_time(10)
    assert len(site.starts) == 1
    site.list_again("t1")
    assert site.started()[1:] == [("t2", run[0], 2)]
    site.reply_to_start()
    site.pass_time(
        site.starts[1][1].until_ms - 600 - site.clock.now_ms() + 2 * limit_ms
    )
    assert len(site.stops) == 1
    site.pass_time(1)
    assert [(order.task, order.run) for _, order in site.stops[1:]] == [(run[0], 2)]


def test_only_failed_runs_count_as_attempts():
    site = Site("t1")
    site.take("t1")
    task, _ = site.run("t1", make_job("j", max_attempts=2))
    hows = ["lapsed", "stopped", "failed", "lapsed", "failed"]
    for number, how in enumerate(hows, start=1):
        assert site.answers == []
        site.pass_time(10)
        site.end("t1", (task, number), how, number)
    assert site.ends() == [JobEnd.FAILED]
    assert len(site.starts) == len(hows)


@pytest.mark.parametrize("reason", ["room", "instance", "late", "unhealthy", "old"])
def test_a_start_that_is_refused_is_made_again_with_a_higher_number(reason):
    site = Site("t1", "t2")
    site.take("t1", "t2")
    site.submit()
    site.reply_to_start(Refused(reason, site.clock.now_ms()))
    assert [run for _, _, run in site.started()] == [1, 2] and site.answers == []


def test_a_start_without_a_reply_is_stopped_before_it_is_made_again():
    site = Site("t1", "t2")
    site.take("t1", "t2")
    site.submit()
    site.pass_time(60)
    site.reply_to_start(ReplyLost("silent"))
    assert len(site.starts) == len(site.stops) == 1
    site.reply_to_stop()
    assert len(site.starts) == 1
    site.pass_time(10)
    site.list_again("t1")
    assert [run for _, _, run in site.started()] == [1, 2]


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
