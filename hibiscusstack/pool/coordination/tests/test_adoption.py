"""Tests of runs that an earlier coordinator started."""

import math

from hibiscusstack.pool.active_jobs import ActiveJob
from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.target_state import TakeoverPhase
from hibiscusstack.pool.tests.coordinator_harness import (
    OWNER,
    CoordinatorHarness,
    make_job,
)
from hibiscusstack.pool.timing import CoordinatorTiming

TIMING = CoordinatorTiming()
QUIET_MS = math.ceil(TIMING.max_orphan_run_ms)


def test_a_run_of_a_waiting_job_is_adopted():
    site = CoordinatorHarness("t1")
    site.submit(unheard_ms=0)
    site.reply_to_hold("t1", [("j.0.0.0", 4)])
    site.pass_time(100)
    assert site.state("t1").phase is TakeoverPhase.HELD
    assert site.starts == [] and site.stops == []
    site.report_run_end("t1", ("j.0.0.0", 4))
    assert site.ends() == [JobEnd.COMPLETED]


def test_a_run_that_was_listed_before_its_job_came_is_adopted():
    site = CoordinatorHarness("t1")
    run = ("j.0.0.0", 4)
    site.reply_to_hold("t1", [run, ("other.0.0.0", 1)])
    site.pass_time(10)
    site.submit(unheard_ms=0)
    assert site.state("t1").runs[run].job.job.job_id == "j"
    site.pass_time(TIMING.adoption_ms)
    site.reply_to_hold("t1", [run, ("other.0.0.0", 1)])
    assert [order.task for _, order in site.stops] == ["other.0.0.0"]
    site.report_run_end("t1", run, active=[("other.0.0.0", 1)])
    assert site.ends() == [JobEnd.COMPLETED] and site.starts == []


def test_a_run_that_is_being_stopped_is_not_adopted():
    site = CoordinatorHarness("t1")
    site.reply_to_hold("t1", [("j.0.0.0", 4)])
    site.pass_time(TIMING.adoption_ms)
    site.reply_to_hold("t1", [("j.0.0.0", 4)])
    site.submit(unheard_ms=0)
    assert site.state("t1").runs["j.0.0.0", 4].job is None
    site.reply_to_stop()
    site.pass_time(10)
    site.report_runs_twice("t1")
    assert [name for _, name, _ in site.started_runs()] == ["j.0.0.0"]


def test_an_adopted_run_that_ends_without_a_result_is_made_again():
    site = CoordinatorHarness("t1")
    site.submit(unheard_ms=0)
    site.reply_to_hold("t1", [("j.0.0.0", 4)])
    site.pass_time(10)
    site.report_run_end("t1", ("j.0.0.0", 4), "lapsed")
    assert site.started_runs() == [("t1", "j.0.0.0", 5)]


def test_a_deputy_adopts_nothing_and_waits_as_long_as_a_run_may_go_on():
    site = CoordinatorHarness("t1", is_deputy=True)
    site.submit(unheard_ms=0)
    site.reply_to_hold("t1", [("j.0.0.0", 1)])
    site.pass_time(TIMING.adoption_ms)
    site.reply_to_hold("t1", [("j.0.0.0", 1)])
    (stop,) = site.stops
    assert stop[1].task == "j.0.0.0"
    site.reply_to_stop()
    site.pass_time(10)
    site.report_runs_twice("t1")
    assert site.state("t1").phase is TakeoverPhase.HELD
    site.pass_time(QUIET_MS - TIMING.adoption_ms - 30 - 1)
    assert site.starts == []
    site.pass_time(1)
    assert len(site.starts) == 1


def test_runs_for_unheard_hosts_are_not_adopted():
    site = CoordinatorHarness("t1")
    site.submit(unheard_ms=0)
    site.coordinator.set_unheard_owners([OWNER])
    site.reply_to_hold("t1", [("j.0.0.0", 4)])
    site.pass_time(TIMING.adoption_ms)
    site.reply_to_hold("t1", [("j.0.0.0", 4)])
    assert [(order.task, order.run) for _, order in site.stops] == [("j.0.0.0", 4)]


class Journal:
    """Keeps nothing of stored jobs, of which some are not known yet."""

    is_recovering = True

    def admit_job(self, job_id):
        """Hand over nothing."""

    def task_started(self, job_id):
        """Keep nothing."""


def test_a_stored_job_with_an_adopted_run_goes_first_as_begun_ones_do():
    site = CoordinatorHarness("t1")
    site.coordinator.journal = Journal()
    site.submit(make_job("urgent", priority=5, target_latency_ms=100))
    site.reply_to_hold("t1", [("kept.0.0.0", 1)])
    kept = ActiveJob(make_job("kept", 2), site.clock.now_ms(), True, is_stored=True)
    site.coordinator.add_stored_job(kept)
    site.coordinator.stored_jobs_recovered()
    assert site.state("t1").runs["kept.0.0.0", 1].job is kept
    assert site.coordinator.waiting_jobs()[0] is kept
