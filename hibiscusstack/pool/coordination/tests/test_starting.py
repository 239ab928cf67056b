"""Tests of when waiting tasks may start."""

import math

import pytest

from hibiscusstack.pool.orders import FencedOut, ReplyLost
from hibiscusstack.pool.tests.coordinator_harness import (
    OWNER,
    PEER,
    CoordinatorHarness,
    make_job,
    make_target,
)
from hibiscusstack.pool.timing import CoordinatorTiming

TIMING = CoordinatorTiming()
QUIET_MS = math.ceil(TIMING.max_orphan_run_ms)
STRANGER = ("other.0.0.0", 2)


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
    site.complete_takeover("t2")
    site.fail_hold("t2", ReplyLost("silent"))


def cut(site):
    """Let the second target not be reached from the first."""
    site.fail_hold("t2", ReplyLost("silent"))


@pytest.mark.parametrize("hinder", [leave_looking, leave_clearing, fence, silence, cut])
def test_a_resubmitted_job_waits_while_its_runs_may_go_on_somewhere(hinder):
    site = CoordinatorHarness("t1", "t2")
    site.complete_takeover("t1")
    hinder(site)
    site.submit(unheard_ms=300)
    site.submit(make_job("new"))
    assert [order.task for _, order in site.starts] == ["new.0.0.0"]
    site.report_run_end("t1", ("new.0.0.0", 1))
    site.pass_time(QUIET_MS - 300 - 1)
    assert len(site.starts) == 1
    site.pass_time(1)
    assert site.started_runs()[1:] == [("t1", "j.0.0.0", 1)]


def test_a_resubmitted_job_waits_for_a_target_that_is_missing():
    site = CoordinatorHarness("t1", missing=["t2"])
    site.complete_takeover("t1")
    site.submit(unheard_ms=0)
    site.pass_time(100)
    assert site.starts == []
    site.coordinator.replace_targets([make_target("t1"), make_target("t2")])
    site.pass_time(100)
    assert site.starts == []
    site.complete_takeover("t2")
    assert len(site.starts) == 1


def test_a_target_that_is_missing_matters_at_any_age_until_it_is_forgotten():
    site = CoordinatorHarness("t1", missing=["t2"])
    site.complete_takeover("t1")
    site.pass_time(60_000)
    site.submit(unheard_ms=0)
    assert site.starts == [] and site.coordinator.has_missing
    site.coordinator.forget_missing()
    site.pass_time(10)
    assert len(site.starts) == 1 and not site.coordinator.has_missing


def test_a_resubmitted_job_starts_at_once_where_all_targets_are_held():
    site = CoordinatorHarness("t1", "t2")
    site.complete_takeover("t1", "t2")
    site.submit(unheard_ms=0)
    assert len(site.starts) == 1


def test_jobs_of_unheard_hosts_get_no_start():
    site = CoordinatorHarness("t1")
    site.complete_takeover("t1")
    site.coordinator.set_unheard_owners([OWNER])
    site.submit(make_job("one"))
    site.submit(make_job("two"), PEER)
    assert [order.task for _, order in site.starts] == ["two.0.0.0"]
    site.submit(make_job("one"), PEER)
    assert len(site.starts) == 2
    site.submit(make_job("three"))
    site.coordinator.set_unheard_owners([])
    site.pass_time(10)
    assert len(site.starts) == 3


def test_a_job_that_comes_again_waits_for_the_end_of_its_stopped_run():
    site = CoordinatorHarness("t1", "t2")
    site.complete_takeover("t1", "t2")
    site.submit_and_start()
    site.coordinator.cancel(OWNER, 1)
    site.submit()
    site.reply_to_stop()
    site.pass_time(10)
    assert len(site.starts) == 1
    site.report_runs_twice("t1")
    assert len(site.starts) == 2
