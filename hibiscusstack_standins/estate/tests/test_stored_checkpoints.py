"""Tests of stored jobs whose tasks go on from checkpoints, in virtual time."""

import pytest

from hibiscusstack.pool.messages import StoredState
from hibiscusstack_standins.estate.jobs import Step
from hibiscusstack_standins.estate.runs import work_in
from hibiscusstack_standins.estate.tests.stored_site import Site


def run_for(site, run_ms=3_000):
    """Let a job with one task of five seconds run for a while."""
    client = site.new_job(Step(1, 5_000, cpu=1_000, checkpointing=True))
    site.submit(client)
    site.run_until(lambda: site.starts(client))
    site.network.run(run_ms)
    return client


def saved_in(site, client):
    """Return how much work each start carried, in milliseconds."""
    return [work_in(start.checkpoint) for start in site.starts(client)]


def assert_completed(site, client):
    """Check that the job completes without a broken rule."""
    site.network.run(8_000)
    assert site.states()[client.job.id] is StoredState.COMPLETED
    assert site.violations() == []


@pytest.mark.parametrize("seed", range(4))
def test_a_task_goes_on_elsewhere_after_a_crash(seed):
    site = Site(seed)
    client = run_for(site)
    site.network.kill(site.starts(client)[0].worker)
    assert_completed(site, client)
    assert saved_in(site, client) == [0, 2_000]


@pytest.mark.parametrize("seed", range(4))
def test_a_task_goes_on_where_its_lease_lapsed(seed):
    site = Site(seed)
    client = run_for(site)
    site.kill("h0", "h1", "h2")
    site.network.run(2_500)
    site.take_over("h1")
    assert_completed(site, client)
    assert saved_in(site, client) == [0, 2_000]


@pytest.mark.parametrize("seed", range(4))
def test_a_checkpoint_outlives_its_target_and_the_coordinator(seed):
    site = Site(seed)
    client = run_for(site)
    worker = site.starts(client)[0].worker
    site.network.kill(worker)
    site.run_until(lambda: len(site.starts(client)) == 2)
    site.network.run(100)
    site.network.kill(site.starts(client)[1].worker)
    site.kill("h0")
    site.network.run(300)
    site.take_over("h2")
    assert_completed(site, client)
    assert saved_in(site, client) == [0, 2_000, 2_000]


def test_each_start_carries_the_newest_checkpoint():
    site = Site()
    client = run_for(site)
    for _ in range(2):
        site.network.kill(site.starts(client)[-1].worker)
        site.network.run(4_900)
    assert saved_in(site, client) == [0, 2_000, 4_000]
    assert_completed(site, client)


def test_a_step_without_checkpoints_begins_anew():
    site = Site()
    client = site.new_job(Step(1, 5_000, cpu=1_000))
    site.submit(client)
    site.run_until(lambda: site.starts(client))
    site.network.run(3_000)
    site.network.kill(site.starts(client)[0].worker)
    assert_completed(site, client)
    assert saved_in(site, client) == [0, 0]
