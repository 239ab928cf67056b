"""Tests of the split of a job over homes."""

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusstack.dispatch.loads import HomeLoad
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.dispatch.planning.placement import split_over_homes

HOMES = [HostName("dc1", name, 1) for name in ("a", "b", "c")]
OWN = HOMES[0]
TARGETS = [f"t{number}" for number in range(9)]
HOME_OF = {name: HOMES[number // 3] for number, name in enumerate(TARGETS)}


def make_load(free_slots=0, queued_ms=0):
    return HomeLoad(free_slots, queued_ms, 3, slots=24)


def count_by_home(count, loads, matches=None, run_time_ms=100.0):
    matches = matches or {index: frozenset(TARGETS) for index in range(count)}
    assignments = split_over_homes(
        matches,
        HOME_OF,
        lambda home, names: loads.get(home),
        own_host=OWN,
        expected_ms=dict.fromkeys(matches, run_time_ms),
        estimate_wait_ms=lambda load: load.queued_ms / load.slots,
    )
    return {
        assignment.home.name: len(assignment.task_indexes) for assignment in assignments
    }


def test_job_stays_at_its_owner_while_it_fits():
    assert count_by_home(10, dict.fromkeys(HOMES, make_load(24))) == {"a": 10}


def test_large_job_uses_free_slots_elsewhere():
    assert count_by_home(60, dict.fromkeys(HOMES, make_load(20))) == {
        "a": 20,
        "b": 20,
        "c": 20,
    }


def test_small_job_uses_fewer_homes_than_a_large_one():
    loads = dict.fromkeys(HOMES, make_load(2))
    assert len(count_by_home(6, loads)) < len(count_by_home(200, loads))


def test_short_wait_at_the_owner_is_preferred_to_another_home():
    loads = {
        HOMES[0]: make_load(0, 240),
        HOMES[1]: make_load(24),
        HOMES[2]: make_load(24),
    }
    assert count_by_home(2, loads) == {"a": 2}


def test_long_wait_at_the_owner_moves_the_job_to_another_home():
    loads = {
        HOMES[0]: make_load(0, 48_000),
        HOMES[1]: make_load(24),
        HOMES[2]: make_load(4),
    }
    assert count_by_home(2, loads) == {"b": 2}


def test_overflow_is_spread_evenly_over_homes():
    loads = dict.fromkeys(HOMES, make_load(0, 24_000))
    counts = count_by_home(200, loads, run_time_ms=400.0)
    assert set(counts) == {"a", "b", "c"}
    assert max(counts.values()) - min(counts.values()) <= 2


def test_free_slots_on_other_targets_do_not_count():
    load = HomeLoad(8, 0, 3, slots=24, free_by_target=(8, 0, 0))
    names = TARGETS[:3]
    assert load.restricted(names, ["t1", "t2"]).free_slots == 0
    assert load.restricted(names, ["t0"]).free_slots == 8
    assert load.restricted(names, names).slots == 24


def test_expected_batches_take_slots_of_their_own_targets():
    load = HomeLoad(12, 0, 3, slots=24, free_by_target=(8, 2, 2))
    after = load.with_batch(TARGETS[:3], ["t1", "t2"], "checks", 6, 600.0)
    assert after.free_by_target == (8, 0, 0)
    assert after.queued_ms == 200


SETS = st.sampled_from([frozenset(TARGETS), frozenset(TARGETS[:3]), frozenset({"t8"})])
LOADS = st.one_of(
    st.none(), st.builds(make_load, st.integers(-5, 24), st.integers(0, 50_000))
)


@given(
    st.dictionaries(st.integers(0, 199), SETS, min_size=1, max_size=50),
    st.tuples(LOADS, LOADS, LOADS),
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_every_task_is_placed_once_on_its_own_targets(matches, given_loads):
    loads = dict(zip(HOMES, given_loads, strict=True))
    assignments = split_over_homes(
        matches,
        HOME_OF,
        lambda home, names: loads[home],
        own_host=OWN,
        expected_ms={index: 10.0 + index for index in matches},
        estimate_wait_ms=lambda load: load.queued_ms / load.slots,
    )
    placed = [index for assignment in assignments for index in assignment.task_indexes]
    assert sorted(placed) == sorted(matches)
    for assignment in assignments:
        for index in assignment.task_indexes:
            assert set(assignment.targets) <= matches[index]
        assert {HOME_OF[name] for name in assignment.targets} == {assignment.home}
