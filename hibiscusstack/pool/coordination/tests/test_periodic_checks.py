"""Tests of what the passing of time brings."""

import math

from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.orders import FencedOut, ReplyLost
from hibiscusstack.pool.tests.coordinator_harness import CoordinatorHarness, make_job
from hibiscusstack.pool.timing import CoordinatorTiming

TIMING = CoordinatorTiming()
QUIET_MS = math.ceil(TIMING.max_orphan_run_ms)
STRANGER = ("other.0.0.0", 2)


def test_runs_at_a_fenced_target_are_made_again_after_the_longest_time():
    site = CoordinatorHarness("t1", "t2")
    site.complete_takeover("t1", "t2")
    run = site.submit_and_start()
    site.fail_hold("t1", FencedOut())
    site.pass_time(QUIET_MS - 1)
    assert len(site.starts) == 1
    site.pass_time(1)
    assert site.started_runs()[1:] == [("t2", run[0], 2)]


def test_a_job_that_has_not_begun_is_refused_without_room():
    site = CoordinatorHarness("t1")
    site.submit(make_job("j", target_latency_ms=100))
    site.pass_time(1_000)
    assert site.ends() == [JobEnd.REFUSED]
    assert site.answers[0].retry_ms > 0


def test_jobs_are_not_given_up_early_while_no_target_is_held():
    site = CoordinatorHarness("t1")
    for name in ("one", "two"):
        site.submit(make_job(name, target_latency_ms=1_000), unheard_ms=0)
    site.pass_time(400)
    assert site.answers == []
    site.complete_takeover("t1")
    assert len(site.starts) == 2


def test_a_resubmitted_job_is_never_refused():
    site = CoordinatorHarness("t1")
    site.submit(make_job("j", target_latency_ms=100), unheard_ms=0)
    site.pass_time(1_000)
    assert site.ends() == [JobEnd.UNKNOWN]
    assert site.answers[0].retry_ms == 0


def test_a_begun_job_is_not_given_up_for_being_late():
    site = CoordinatorHarness("t1")
    site.complete_takeover("t1")
    run = site.submit_and_start("t1", make_job("j", target_latency_ms=100))
    site.fail_hold("t1", ReplyLost("silent"))
    site.pass_time(1_000)
    assert site.answers == [] and site.state("t1").runs == {}
    site.reply_to_hold("t1")
    assert site.started_runs()[1:] == [("t1", run[0], 2)]


def test_a_job_with_an_adopted_run_is_not_given_up_for_being_late():
    site = CoordinatorHarness("t1")
    site.submit(make_job("j", 2, target_latency_ms=100), unheard_ms=0)
    site.reply_to_hold("t1", [("j.0.0.0", 1), STRANGER])
    site.pass_time(1_000)
    assert site.answers == []


def test_a_hung_run_is_made_elsewhere_with_twice_the_time():
    site = CoordinatorHarness("t1", "t2")
    site.complete_takeover("t1", "t2")
    run = site.submit_and_start()
    limit_ms = 285
    site.pass_time(limit_ms)
    assert site.stops == []
    site.pass_time(1)
    assert [(order.task, order.run) for _, order in site.stops] == [run]
    site.reply_to_stop()
    site.pass_time(10)
    assert len(site.starts) == 1
    site.report_runs_twice("t1")
    assert site.started_runs()[1:] == [("t2", run[0], 2)]
    site.reply_to_start()
    site.pass_time(
        site.starts[1][1].until_ms - 600 - site.clock.now_ms() + 2 * limit_ms
    )
    assert len(site.stops) == 1
    site.pass_time(1)
    assert [(order.task, order.run) for _, order in site.stops[1:]] == [(run[0], 2)]
