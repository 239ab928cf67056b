"""Tests of jobs that hosts hand over and take back."""

from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.tests.coordinator_harness import (
    OWNER,
    PEER,
    CoordinatorHarness,
    make_job,
)


def test_a_job_that_two_hosts_hand_over_runs_once_and_is_answered_to_both():
    site = CoordinatorHarness("t1")
    site.complete_takeover("t1")
    run = site.submit_and_start()
    site.submit(owner=PEER)
    assert site.coordinator.job_count == 1 and len(site.starts) == 1
    site.report_run_end("t1", run)
    assert [answer.submission for answer in site.answers] == [1, 2]
    assert site.ends() == 2 * [JobEnd.COMPLETED]


def test_a_job_goes_on_while_another_host_waits_for_it():
    site = CoordinatorHarness("t1")
    site.complete_takeover("t1")
    site.submit_and_start()
    site.submit(owner=PEER)
    site.coordinator.owner_lost(OWNER)
    assert site.stops == [] and site.coordinator.job_count == 1
    site.coordinator.owner_lost(PEER)
    assert len(site.stops) == 1 and site.coordinator.job_count == 0


def test_the_room_of_a_cancelled_job_that_waited_goes_to_the_next():
    site = CoordinatorHarness("t1")
    site.complete_takeover("t1")
    for name in ("large", "wide", "next"):
        site.submit(make_job(name, 4 if name == "large" else 1))
    assert len(site.starts) == 4
    site.coordinator.cancel(OWNER, 2)
    site.report_run_end(
        "t1", ("large.0.0.0", 1), active=[(f"large.0.0.{n}", 1) for n in (1, 2, 3)]
    )
    assert site.started_runs()[4:] == [("t1", "next.0.0.0", 1)]
