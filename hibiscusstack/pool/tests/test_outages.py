"""The log is away for all hosts while the coordinator is lost."""

import pytest

from hibiscusstack.pool.held_target import Phase
from hibiscusstack.pool.tests.fleet import Fleet
from hibiscusstack_standins.estate.store_service import Outage

SEEDS = range(2)
WORK_MS = 100
# How long it takes to miss the log, and then to miss the coordinator.
LOG_MISSED_MS = 1_600
MISSED_MS = 900
# A job that the lost coordinator had waits until its lease has surely lapsed.
HANDED_ON_MS = 2_400
PROMPT_MS = 600
KINDS = ("busy", "rejecting", "reset", "silent")
ZONES = {
    "x": ("h1", "h2", "w0", "w1"),
    "y": ("h3", "h4", "w2", "w3"),
    "z": ("h5", "h6", "w4", "w5"),
}
every_seed = pytest.mark.parametrize("seed", SEEDS)


def fleet_without_log(seed, kind="silent", workers=4, **options):
    """Return a busy fleet that has missed the log, and its coordinator."""
    fleet = Fleet(seed, hosts=6, workers=workers, **options)
    fleet.store.set_outages(fleet.now_ms, [Outage(kind)])
    keep_submitting(fleet, LOG_MISSED_MS + 40 * seed)
    return fleet, fleet.coordinator()


def keep_submitting(fleet, duration_ms):
    """Let callers send jobs while time passes; return all of them."""
    callers = []
    for _ in range(0, duration_ms, 100):
        callers += fleet.submit_jobs(1, work_ms=WORK_MS)
        fleet.run(100)
    return callers


def latest_ms(callers):
    """Return the longest time from a submission to its answer."""
    return max(caller.completed_ms - caller.sent_ms for caller in callers)


def deputies(fleet):
    """Return the hosts that stand in for the coordinator."""
    awake = [name for name in fleet.edges if name not in fleet.frozen]
    return [n for n in awake if fleet.edges[n].host.heartbeat().is_deputy]


def tokens_by_target(fleet):
    """Return under which token each target is held by a host that is awake."""
    return {
        (name, state.listing.name): edge.host.coordinator.token
        for name, edge in fleet.edges.items()
        if edge.host.coordinator is not None
        for state in edge.host.coordinator.targets()
        if state.phase is Phase.HELD
    }


def check_taken_back(fleet):
    """End the outage, and check that one coordinator holds all targets again."""
    fleet.store.set_outages(fleet.now_ms, [])
    over = keep_submitting(fleet, 4_000)
    fleet.run(1_500)
    assert deputies(fleet) == []
    assert latest_ms(over) < HANDED_ON_MS
    held = fleet.edges[fleet.coordinator()].host.coordinator.targets()
    assert {state.phase for state in held} == {Phase.HELD}
    assert {state.listing.name for state in held} == set(fleet.workers)
    fleet.recover_and_verify(8_000)


@every_seed
@pytest.mark.parametrize("kind", KINDS)
def test_a_deputy_serves_all_until_the_log_is_back(seed, kind):
    fleet, first = fleet_without_log(seed, kind)
    fleet.kill(first, resets=bool(seed % 2))
    keep_submitting(fleet, MISSED_MS)
    later = keep_submitting(fleet, 2_000)
    (deputy,) = deputies(fleet)
    assert deputy != first
    fleet.run(800)
    assert latest_ms(later) < PROMPT_MS
    check_taken_back(fleet)


@every_seed
def test_it_serves_several_data_centres(seed):
    fleet, first = fleet_without_log(seed, workers=6, zones=ZONES)
    fleet.kill(first)
    keep_submitting(fleet, MISSED_MS)
    later = keep_submitting(fleet, 1_500)
    fleet.run(800)
    assert len(deputies(fleet)) == 1 and latest_ms(later) < PROMPT_MS
    check_taken_back(fleet)


@every_seed
def test_the_next_host_follows_a_deputy_that_dies(seed):
    fleet, first = fleet_without_log(seed)
    fleet.kill(first)
    keep_submitting(fleet, MISSED_MS)
    (second,) = deputies(fleet)
    token = fleet.edges[second].host.coordinator.token
    fleet.kill(second, resets=bool(seed % 2))
    keep_submitting(fleet, MISSED_MS)
    later = keep_submitting(fleet, 1_500)
    (third,) = deputies(fleet)
    assert fleet.edges[third].host.coordinator.token > token
    fleet.run(800)
    assert latest_ms(later) < PROMPT_MS
    check_taken_back(fleet)


@every_seed
@pytest.mark.parametrize("frozen_ms", [500, 1_000])
def test_the_coordinator_comes_back_from_a_freeze(seed, frozen_ms):
    fleet, first = fleet_without_log(seed)
    fleet.freeze(first)
    keep_submitting(fleet, frozen_ms)
    fleet.thaw(first)
    keep_submitting(fleet, MISSED_MS)
    later = keep_submitting(fleet, 1_500)
    orderers = [n for n, e in fleet.edges.items() if e.host.coordinator is not None]
    assert len(orderers) == 1
    fleet.run(800)
    assert latest_ms(later) < PROMPT_MS
    check_taken_back(fleet)


@every_seed
@pytest.mark.parametrize("cut_ms", [600, 3_000])
def test_the_coordinator_comes_back_from_a_cut(seed, cut_ms):
    fleet, first = fleet_without_log(seed)
    fleet.cut(first, fleet.others(first))
    keep_submitting(fleet, cut_ms)
    fleet.mend()
    keep_submitting(fleet, MISSED_MS)
    later = keep_submitting(fleet, 1_500)
    orderers = [n for n, e in fleet.edges.items() if e.host.coordinator is not None]
    assert len(orderers) == 1
    fleet.run(800)
    assert latest_ms(later) < PROMPT_MS
    check_taken_back(fleet)


@every_seed
def test_a_deputy_that_was_frozen_leaves_the_targets_to_the_next(seed):
    fleet, first = fleet_without_log(seed)
    fleet.kill(first)
    keep_submitting(fleet, MISSED_MS)
    (second,) = deputies(fleet)
    fleet.freeze(second)
    keep_submitting(fleet, MISSED_MS)
    (third,) = deputies(fleet)
    fleet.thaw(second)
    keep_submitting(fleet, 500)
    assert deputies(fleet) == [third]
    check_taken_back(fleet)


@every_seed
def test_two_groups_that_cannot_hear_each_other_break_no_rule(seed):
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
    check_taken_back(fleet)


@every_seed
def test_fewer_than_half_of_the_hosts_take_nothing(seed):
    fleet, first = fleet_without_log(seed)
    few = fleet.others(first)[:2]
    for name in few:
        fleet.cut(name, [n for n in fleet.host_names if n not in few])
    keep_submitting(fleet, 2_000)
    assert deputies(fleet) == []
    fleet.mend()
    keep_submitting(fleet, 500)
    assert fleet.coordinator() == first
    check_taken_back(fleet)


@every_seed
def test_a_host_that_reaches_the_log_claims_a_term_instead(seed):
    fleet = Fleet(seed, hosts=6)
    first = fleet.coordinator()
    last = fleet.others(first)[-1]
    turned_away = frozenset(fleet.host_names) - {last}
    fleet.store.set_outages(fleet.now_ms, [Outage("rejecting", turned_away)])
    keep_submitting(fleet, LOG_MISSED_MS)
    fleet.kill(first)
    keep_submitting(fleet, MISSED_MS)
    assert deputies(fleet) == [] and fleet.coordinator() == last
    check_taken_back(fleet)


@every_seed
def test_a_term_that_one_host_claims_ends_the_deputy(seed):
    fleet, first = fleet_without_log(seed, "rejecting")
    fleet.kill(first)
    keep_submitting(fleet, MISSED_MS)
    (deputy,) = deputies(fleet)
    last = fleet.others(deputy)[-1]
    turned_away = frozenset(fleet.host_names) - {last}
    fleet.store.set_outages(fleet.now_ms, [Outage("rejecting", turned_away)])
    later = keep_submitting(fleet, 3_000)
    fleet.run(800)
    assert deputies(fleet) == [] and fleet.coordinator() == last
    assert latest_ms(later) < HANDED_ON_MS
    check_taken_back(fleet)
