"""Tests that a large host becomes coordinator when host sizes differ.

The larger hosts start later, so the first coordinator is a small one.
"""

import pytest

from hibiscusstack.pool.handover import STABLE_OFFER_MS
from hibiscusstack.pool.tests.fleet import Fleet

SIZES = {"h1": 500, "h2": 500, "h3": 2_000, "h4": 2_000}
HANDOVER_TIMEOUT_MS = STABLE_OFFER_MS + 1_000
MAX_ANSWER_MS = 1_000
every_seed = pytest.mark.parametrize("seed", range(4))


def make_mixed_size_fleet(seed):
    """Return a fleet whose larger hosts start after the smaller ones."""
    fleet = Fleet(seed, hosts=4, cpu_milli=SIZES)
    for name in ("h3", "h4"):
        fleet.kill(name)
    fleet.run(1_500)
    assert fleet.coordinator() in ("h1", "h2")
    for name in ("h3", "h4"):
        fleet.start(name)
    return fleet


def keep_submitting(fleet, duration_ms):
    """Submit a job every 200 ms for this time; return the callers."""
    callers = []
    for _ in range(0, duration_ms, 200):
        callers += fleet.submit_jobs(1, work_ms=100)
        fleet.run(200)
    return callers


@every_seed
def test_a_term_moves_to_a_large_host_and_stays_there(seed):
    fleet = make_mixed_size_fleet(seed)
    callers = keep_submitting(fleet, HANDOVER_TIMEOUT_MS)
    first = fleet.coordinator()
    assert first in ("h3", "h4")
    term = fleet.edges[first].host.term
    callers += keep_submitting(fleet, 2 * HANDOVER_TIMEOUT_MS)
    assert fleet.edges[first].host.term == term
    fleet.recover_and_verify()
    assert {caller.statuses[-1] for caller in callers} == {200}
    assert max(c.completed_ms - c.sent_ms for c in callers) < MAX_ANSWER_MS


@every_seed
def test_another_large_host_follows_one_that_is_lost(seed):
    fleet = make_mixed_size_fleet(seed)
    fleet.run(HANDOVER_TIMEOUT_MS)
    fleet.kill(fleet.coordinator())
    fleet.run(1_500)
    assert fleet.coordinator() in ("h3", "h4")
    fleet.recover_and_verify()


def test_hosts_of_one_size_keep_their_coordinator():
    fleet = Fleet(1, hosts=3, cpu_milli=dict.fromkeys(("h1", "h2", "h3"), 1_000))
    first = fleet.coordinator()
    fleet.run(4 * STABLE_OFFER_MS)
    assert fleet.coordinator() == first


def test_small_coordinator_stays_if_large_hosts_cannot_claim():
    fleet = make_mixed_size_fleet(2)
    for name in ("h3", "h4"):
        fleet.cut(name, ["store"])
    first = fleet.coordinator()
    fleet.run(3 * HANDOVER_TIMEOUT_MS)
    assert fleet.coordinator() == first
    fleet.recover_and_verify()
