"""Tests of the index of targets by free CPU."""

from random import Random

from hibiscusstack.pool.capacity_index import FreeCapacityIndex
from hibiscusstack.pool.jobs import Resources
from hibiscusstack.pool.target_state import Run, RunState, TargetState
from hibiscusstack.pool.tests.coordinator_harness import make_target
from hibiscusstack.pool.timing import CoordinatorTiming


def make_target_state(name, cpu_milli, **fields):
    listing = make_target(name, capacity=Resources(cpu_milli, 512), **fields)
    return TargetState(listing, CoordinatorTiming())


def make_run(name, cpu_milli):
    return Run(name, 1, None, None, Resources(cpu_milli), RunState.RUNNING, 0)


def make_index(*targets):
    index = FreeCapacityIndex()
    for target in targets:
        index.add(target)
    return index


def target_names(index, cpu_milli, pool="p"):
    return [target.listing.name for target in index.with_free_cpu(pool, cpu_milli)]


def test_target_with_least_sufficient_free_cpu_comes_first():
    index = make_index(
        make_target_state("a", 900),
        make_target_state("b", 300),
        make_target_state("c", 500),
    )
    assert target_names(index, 300) == ["b", "c", "a"]
    assert target_names(index, 301) == ["c", "a"]
    assert target_names(index, 901) == []
    assert target_names(index, 1, pool="other") == []


def test_targets_with_equal_free_cpu_keep_insertion_order():
    assert target_names(
        make_index(make_target_state("b", 300), make_target_state("a", 300)), 1
    ) == ["b", "a"]


def test_a_target_moves_with_each_run():
    one, other = make_target_state("a", 900), make_target_state("b", 800)
    index = make_index(one, other)
    run = make_run("t", 200)
    one.add(run)
    assert target_names(index, 1) == ["a", "b"]
    one.remove(run)
    assert target_names(index, 1) == ["b", "a"]


def test_a_target_moves_when_its_capacity_becomes_known():
    target = make_target_state("a", 0)
    index = make_index(target)
    assert target_names(index, 1) == []
    target.replace_listing(make_target("a", capacity=Resources(700, 512)))
    assert target_names(index, 700) == ["a"]


def test_discarded_target_is_not_added_again():
    target = make_target_state("a", 900)
    index = make_index(target)
    target.add(make_run("t", 100))
    index.discard(target)
    target.add(make_run("u", 100))
    assert target_names(index, 1) == []
    assert not len(index)


def test_the_order_holds_under_random_changes():
    random = Random(3)
    targets = [make_target_state(f"t{number}", 2_000) for number in range(20)]
    index = make_index(*targets)
    for number in range(500):
        target = random.choice(targets)
        if target.runs and random.random() < 0.5:
            target.remove(random.choice(list(target.runs.values())))
        else:
            target.add(make_run(f"r{number}", random.randrange(300)))
    expected = sorted(t.free_cpu_milli for t in targets if t.free_cpu_milli >= 200)
    assert [t.free_cpu_milli for t in index.with_free_cpu("p", 200)] == expected
