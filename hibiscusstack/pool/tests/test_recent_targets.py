"""Targets that are listed, missing, and forgotten."""

from hibiscusstack.pool.jobs import Resources
from hibiscusstack.pool.recent_targets import MISSING_MS, RecentTargets
from hibiscusstack.pool.targets import ListedTarget


def target(name, born_ms=1, data_centre="x"):
    return ListedTarget(name, "p", f"{name}:1", born_ms, Resources(), data_centre)


def names(targets):
    return [each.name for each in targets]


def test_a_target_is_missing_from_when_it_left_until_it_is_back():
    targets = RecentTargets()
    targets.replace([target("a"), target("b")], 0)
    targets.replace([target("b")], 100)
    assert names(targets.listed) == ["b"] and targets.missing(100) == ["a"]
    targets.replace([target("b")], 200)
    assert targets.missing(99 + MISSING_MS) == ["a"]
    assert targets.missing(100 + MISSING_MS) == []
    targets.replace([target("a", 2), target("b")], 300)
    assert targets.missing(300) == []
    assert targets.recent_in("x")[0].born_ms == 2


def test_those_of_one_data_centre_count_while_they_are_missing():
    targets = RecentTargets()
    targets.replace([target("a"), target("b", data_centre="y")], 0)
    targets.replace([], 100)
    assert names(targets.recent_in("x")) == ["a"]
    assert names(targets.recent_in("y")) == ["b"]


def test_targets_that_are_replaced_over_and_over_are_forgotten():
    targets = RecentTargets()
    for number in range(100):
        targets.replace([target(f"t{number}")], number * 1_000)
    remembered = 2 + MISSING_MS // 1_000
    assert len(targets.recent_in("x")) == remembered
    assert len(targets.missing(0)) == remembered - 1
