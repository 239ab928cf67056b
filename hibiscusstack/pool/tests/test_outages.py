"""Tests of an outage of the log for all hosts while the coordinator is lost."""

import pytest

from hibiscusstack.pool.target_state import TakeoverPhase
from hibiscusstack.pool.tests.fleet import Fleet
from hibiscusstack_standins.estate.store_service import Outage

SEEDS = range(2)
WORK_MS = 100
# Time until hosts notice the outage of the log, and then the loss of the coordinator.
LOG_MISSED_MS = 1_600
COORDINATOR_MISSED_MS = 900
# A job of the lost coordinator waits until that one's lease has certainly expired.
RESUBMITTED_MS = 2_400
PROMPT_MS = 600
KINDS = ("busy", "rejecting", "reset", "silent")
ZONES = {
    "x": ("h1", "h2", "w0", "w1"),
    "y": ("h3", "h4", "w2", "w3"),
    "z": ("h5", "h6", "w4", "w5"),
}
every_seed = pytest.mark.parametrize("seed", SEEDS)


def fleet_without_log(seed, kind="silent", workers=4, **options):
    """Return a busy fleet that has noticed the outage, and its coordinator."""
    fleet = Fleet(seed, hosts=6, workers=workers, **options)
    fleet.store.set_outages(fleet.now_ms, [Outage(kind)])
    keep_submitting(fleet, LOG_MISSED_MS + 40 * seed)
    return fleet, fleet.coordinator()


def keep_submitting(fleet, duration_ms):
    """Submit jobs while time passes; return their callers."""
    callers = []
    for _ in range(0, duration_ms, 100):
        callers += fleet.submit_jobs(1, work_ms=WORK_MS)
        fleet.run(100)
    return callers


def max_response_ms(callers):
    """Return the longest time from a submission to its answer."""
    return max(caller.completed_ms - caller.sent_ms for caller in callers)


def deputies(fleet):
    """Return the names of the running hosts that are deputies."""
    awake = [name for name in fleet.edges if name not in fleet.frozen]
    return [n for n in awake if fleet.edges[n].host.build_heartbeat().is_deputy]


def tokens_by_target(fleet):
    """Return the fencing token by coordinating host and target that it holds."""
    return {
        (name, state.listing.name): edge.host.coordinator.token
        for name, edge in fleet.edges.items()
        if edge.host.coordinator is not None
        for state in edge.host.coordinator.targets()
        if state.phase is TakeoverPhase.HELD
    }


def verify_reclaimed(fleet):
    """End the outage, and check that one coordinator holds all targets again."""
    fleet.store.set_outages(fleet.now_ms, [])
    later_callers = keep_submitting(fleet, 4_000)
    fleet.run(1_500)
    assert deputies(fleet) == []
    assert max_response_ms(later_callers) < RESUBMITTED_MS
    held = fleet.edges[fleet.coordinator()].host.coordinator.targets()
    assert {state.phase for state in held} == {TakeoverPhase.HELD}
    assert {state.listing.name for state in held} == set(fleet.workers)
    fleet.recover_and_verify(8_000)


@every_seed
@pytest.mark.parametrize("kind", KINDS)
def test_general_deputy_serves_until_the_log_is_back(seed, kind):
    fleet, first = fleet_without_log(seed, kind)
    fleet.kill(first, resets=bool(seed % 2))
    keep_submitting(fleet, COORDINATOR_MISSED_MS)
    later = keep_submitting(fleet, 2_000)
    (deputy,) = deputies(fleet)
    assert deputy != first
    fleet.run(800)
    assert max_response_ms(later) < PROMPT_MS
    verify_reclaimed(fleet)


@every_seed
def test_general_deputy_serves_several_data_centres(seed):
    fleet, first = fleet_without_log(seed, workers=6, zones=ZONES)
    fleet.kill(first)
    keep_submitting(fleet, COORDINATOR_MISSED_MS)
    later = keep_submitting(fleet, 1_500)
    fleet.run(800)
    assert len(deputies(fleet)) == 1 and max_response_ms(later) < PROMPT_MS
    verify_reclaimed(fleet)


@every_seed
def test_next_host_succeeds_a_deputy_that_dies(seed):
    fleet, first = fleet_without_log(seed)
    fleet.kill(first)
    keep_submitting(fleet, COORDINATOR_MISSED_MS)
    (second,) = deputies(fleet)
    token = fleet.edges[second].host.coordinator.token
    fleet.kill(second, resets=bool(seed % 2))
    keep_submitting(fleet, COORDINATOR_MISSED_MS)
    later = keep_submitting(fleet, 1_500)
    (third,) = deputies(fleet)
    assert fleet.edges[third].host.coordinator.token > token
    fleet.run(800)
    assert max_response_ms(later) < PROMPT_MS
    verify_reclaimed(fleet)


@every_seed
@pytest.mark.parametrize("frozen_ms", [500, 1_000])
def test_the_coordinator_comes_back_from_a_freeze(seed, frozen_ms):
    fleet, first = fleet_without_log(seed)
    fleet.freeze(first)
    keep_submitting(fleet, frozen_ms)
    fleet.thaw(first)
    keep_submitting(fleet, COORDINATOR_MISSED_MS)
    later = keep_submitting(fleet, 1_500)
    coordinators = [n for n, e in fleet.edges.items() if e.host.coordinator is not None]
    assert len(coordinators) == 1
    fleet.run(800)
    assert max_response_ms(later) < PROMPT_MS
    verify_reclaimed(fleet)


@every_seed
@pytest.mark.parametrize("cut_ms", [600, 3_000])
def test_the_coordinator_comes_back_from_a_cut(seed, cut_ms):
    fleet, first = fleet_without_log(seed)
    fleet.cut(first, fleet.others(first))
    keep_submitting(fleet, cut_ms)
    fleet.mend()
    keep_submitting(fleet, COORDINATOR_MISSED_MS)
    later = keep_submitting(fleet, 1_500)
    coordinators = [n for n, e in fleet.edges.items() if e.host.coordinator is not None]
    assert len(coordinators) == 1
    fleet.run(800)
    assert max_response_ms(later) < PROMPT_MS
    verify_reclaimed(fleet)


@every_seed
def test_thawed_deputy_leaves_the_targets_to_its_successor(seed):
    fleet, first = fleet_without_log(seed)
    fleet.kill(first)
    keep_submitting(fleet, COORDINATOR_MISSED_MS)
    (second,) = deputies(fleet)
    fleet.freeze(second)
    keep_submitting(fleet, COORDINATOR_MISSED_MS)
    (third,) = deputies(fleet)
    fleet.thaw(second)
    keep_submitting(fleet, 500)
    assert deputies(fleet) == [third]
    verify_reclaimed(fleet)


@every_seed
def test_two_partitioned_groups_violate_no_invariant(seed):
    fleet, first = fleet_without_log(seed)
    one, *others = fleet.others(first)
    fleet.cut(one, others[:2])
    fleet.kill(first)
    keep_submitting(fleet, 3_000)
    tokens = tokens_by_target(fleet)
    assert len(set(tokens.values())) == len({name for name, _ in tokens})
    fleet.mend()
    keep_submitting(fleet, 1_000)
    assert len(deputies(fleet)) == 1
    verify_reclaimed(fleet)


@every_seed
def test_minority_of_hosts_has_no_deputy(seed):
    fleet, first = fleet_without_log(seed)
    few = fleet.others(first)[:2]
    for name in few:
        fleet.cut(name, [n for n in fleet.host_names if n not in few])
    keep_submitting(fleet, 2_000)
    assert deputies(fleet) == []
    fleet.mend()
    keep_submitting(fleet, 500)
    assert fleet.coordinator() == first
    verify_reclaimed(fleet)


@every_seed
def test_host_that_reaches_the_log_claims_a_term_instead(seed):
    fleet = Fleet(seed, hosts=6)
    first = fleet.coordinator()
    last = fleet.others(first)[-1]
    rejected_hosts = frozenset(fleet.host_names) - {last}
    fleet.store.set_outages(fleet.now_ms, [Outage("rejecting", rejected_hosts)])
    keep_submitting(fleet, LOG_MISSED_MS)
    fleet.kill(first)
    keep_submitting(fleet, COORDINATOR_MISSED_MS)
    assert deputies(fleet) == [] and fleet.coordinator() == last
    verify_reclaimed(fleet)


@every_seed
def test_new_term_ends_the_deputy(seed):
    fleet, first = fleet_without_log(seed, "rejecting")
    fleet.kill(first)
    keep_submitting(fleet, COORDINATOR_MISSED_MS)
    (deputy,) = deputies(fleet)
    last = fleet.others(deputy)[-1]
    rejected_hosts = frozenset(fleet.host_names) - {last}
    fleet.store.set_outages(fleet.now_ms, [Outage("rejecting", rejected_hosts)])
    later = keep_submitting(fleet, 3_000)
    fleet.run(800)
    assert deputies(fleet) == [] and fleet.coordinator() == last
    assert max_response_ms(later) < RESUBMITTED_MS
    verify_reclaimed(fleet)
