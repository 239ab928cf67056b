"""The targets of each pool in the order of the room that they have left."""

from random import Random

from hibiscusstack.pool.capacity_index import FreeCapacityIndex
from hibiscusstack.pool.jobs import Resources
from hibiscusstack.pool.target_state import Run, RunState, TargetState
from hibiscusstack.pool.tests.coordinator_harness import make_target
from hibiscusstack.pool.timing import CoordinatorTiming


def held(name, cpu_milli, **fields):
    listing = make_target(name, capacity=Resources(cpu_milli, 512), **fields)
    return TargetState(listing, CoordinatorTiming())


def run_of(name, cpu_milli):
    return Run(name, 1, None, None, Resources(cpu_milli), RunState.RUNNING, 0)


def index_of(*targets):
    room = FreeCapacityIndex()
    for target in targets:
        room.add(target)
    return room


def names(room, cpu_milli, pool="p"):
    return [target.listing.name for target in room.with_free_cpu(pool, cpu_milli)]


def test_the_fullest_target_with_enough_room_comes_first():
    room = index_of(held("a", 900), held("b", 300), held("c", 500))
    assert names(room, 300) == ["b", "c", "a"]
    assert names(room, 301) == ["c", "a"]
    assert names(room, 901) == []
    assert names(room, 1, pool="other") == []


def test_targets_with_as_much_room_stay_in_the_order_of_their_listing():
    assert names(index_of(held("b", 300), held("a", 300)), 1) == ["b", "a"]


def test_a_target_moves_with_each_run():
    one, other = held("a", 900), held("b", 800)
    room = index_of(one, other)
    run = run_of("t", 200)
    one.add(run)
    assert names(room, 1) == ["a", "b"]
    one.remove(run)
    assert names(room, 1) == ["b", "a"]


def test_a_target_moves_when_its_capacity_becomes_known():
    target = held("a", 0)
    room = index_of(target)
    assert names(room, 1) == []
    target.replace_listing(make_target("a", capacity=Resources(700, 512)))
    assert names(room, 700) == ["a"]


def test_a_target_that_was_forgotten_stays_so():
    target = held("a", 900)
    room = index_of(target)
    target.add(run_of("t", 100))
    room.discard(target)
    target.add(run_of("u", 100))
    assert names(room, 1) == []
    assert not len(room)


def test_the_order_holds_under_random_changes():
    random = Random(3)
    targets = [held(f"t{number}", 2_000) for number in range(20)]
    room = index_of(*targets)
    for number in range(500):
        target = random.choice(targets)
        if target.runs and random.random() < 0.5:
            target.remove(random.choice(list(target.runs.values())))
        else:
            target.add(run_of(f"r{number}", random.randrange(300)))
    expected = sorted(t.free_cpu_milli for t in targets if t.free_cpu_milli >= 200)
    assert [t.free_cpu_milli for t in room.with_free_cpu("p", 200)] == expected
