"""Hosts of several sizes, of which a large one coordinates."""

import pytest

from hibiscusstack.pool.handover import STABLE_OFFER_MS
from hibiscusstack.pool.tests.fleet import Fleet

SIZES = {"h1": 500, "h2": 500, "h3": 2_000, "h4": 2_000}
HANDED_OVER_MS = STABLE_OFFER_MS + 1_000
PROMPT_MS = 1_000
every_seed = pytest.mark.parametrize("seed", range(4))


def fleet_of_sizes(seed):
    """Return a busy fleet whose larger hosts begin after the others."""
    fleet = Fleet(seed, hosts=4, cpu_milli=SIZES)
    for name in ("h3", "h4"):
        fleet.kill(name)
    fleet.run(1_500)
    assert fleet.coordinator() in ("h1", "h2")
    for name in ("h3", "h4"):
        fleet.start(name)
    return fleet


def keep_submitting(fleet, duration_ms):
    """Let callers send jobs while time passes; return all of them."""
    callers = []
    for _ in range(0, duration_ms, 200):
        callers += fleet.submit_jobs(1, work_ms=100)
        fleet.run(200)
    return callers


@every_seed
def test_a_term_moves_to_a_large_host_and_stays_there(seed):
    fleet = fleet_of_sizes(seed)
    callers = keep_submitting(fleet, HANDED_OVER_MS)
    first = fleet.coordinator()
    assert first in ("h3", "h4")
    term = fleet.edges[first].host.term
    callers += keep_submitting(fleet, 2 * HANDED_OVER_MS)
    assert fleet.edges[first].host.term == term
    fleet.recover_and_verify()
    assert {caller.statuses[-1] for caller in callers} == {200}
    assert max(c.completed_ms - c.sent_ms for c in callers) < PROMPT_MS


@every_seed
def test_another_large_host_follows_one_that_is_lost(seed):
    fleet = fleet_of_sizes(seed)
    fleet.run(HANDED_OVER_MS)
    fleet.kill(fleet.coordinator())
    fleet.run(1_500)
    assert fleet.coordinator() in ("h3", "h4")
    fleet.recover_and_verify()


def test_hosts_of_one_size_keep_their_coordinator():
    fleet = Fleet(1, hosts=3, cpu_milli=dict.fromkeys(("h1", "h2", "h3"), 1_000))
    first = fleet.coordinator()
    fleet.run(4 * STABLE_OFFER_MS)
    assert fleet.coordinator() == first


def test_a_large_host_that_can_t_claim_is_not_waited_for():
    fleet = fleet_of_sizes(2)
    for name in ("h3", "h4"):
        fleet.cut(name, ["store"])
    first = fleet.coordinator()
    fleet.run(3 * HANDED_OVER_MS)
    assert fleet.coordinator() == first
    fleet.recover_and_verify()
