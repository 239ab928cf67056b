"""Tests of the submission and cancellation of jobs by hosts."""

from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.tests.coordinator_harness import (
    OWNER,
    PEER,
    CoordinatorHarness,
    make_job,
)


def test_a_job_submitted_by_two_hosts_runs_once_and_both_are_answered():
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    run = harness.submit_and_start()
    harness.submit(owner=PEER)
    assert harness.coordinator.job_count == 1 and len(harness.starts) == 1
    harness.report_run_end("t1", run)
    assert [answer.submission for answer in harness.answers] == [1, 2]
    assert harness.ends() == 2 * [JobEnd.COMPLETED]


def test_a_job_continues_while_another_host_waits_for_it():
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    harness.submit_and_start()
    harness.submit(owner=PEER)
    harness.coordinator.owner_lost(OWNER)
    assert harness.stops == [] and harness.coordinator.job_count == 1
    harness.coordinator.owner_lost(PEER)
    assert len(harness.stops) == 1 and harness.coordinator.job_count == 0


def test_capacity_kept_for_a_cancelled_waiting_job_goes_to_the_next():
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    for name in ("large", "wide", "next"):
        harness.submit(make_job(name, 4 if name == "large" else 1))
    assert len(harness.starts) == 4
    harness.coordinator.cancel(OWNER, 2)
    harness.report_run_end(
        "t1", ("large.0.0.0", 1), active=[(f"large.0.0.{n}", 1) for n in (1, 2, 3)]
    )
    assert harness.started_runs()[4:] == [("t1", "next.0.0.0", 1)]
