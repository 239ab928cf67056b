"""Tests of listed and recently unlisted targets."""

import attrs

from hibiscusstack.pool.jobs import Resources
from hibiscusstack.pool.recent_targets import RECENT_TARGET_RETENTION_MS, RecentTargets
from hibiscusstack.pool.targets import ListedTarget


def target(name, born_ms=1, data_centre="x"):
    return ListedTarget(name, "p", f"{name}:1", born_ms, Resources(), data_centre)


def names(targets):
    return [entry.name for entry in targets]


def test_target_is_unlisted_until_it_is_listed_again():
    targets = RecentTargets()
    targets.replace([target("a"), target("b")], 0)
    targets.replace([target("b")], 100)
    assert names(targets.listed) == ["b"]
    targets.replace([target("a", 2), target("b")], 300)
    assert names(targets.listed) == ["a", "b"]
    assert targets.recent_in("x")[0].instance_started_ms == 2


def test_unlisted_target_is_kept_for_the_retention_time():
    targets = RecentTargets()
    targets.replace([target("a")], 0)
    targets.replace([], 100)
    targets.replace([], 100 + RECENT_TARGET_RETENTION_MS)
    assert names(targets.recent_in("x")) == ["a"]
    targets.replace([], 101 + RECENT_TARGET_RETENTION_MS)
    assert targets.recent_in("x") == []


def test_unlisted_targets_are_kept_by_data_centre():
    targets = RecentTargets()
    targets.replace([target("a"), target("b", data_centre="y")], 0)
    targets.replace([], 100)
    assert names(targets.recent_in("x")) == ["a"]
    assert names(targets.recent_in("y")) == ["b"]


def test_targets_replaced_again_and_again_are_dropped():
    targets = RecentTargets()
    for number in range(100):
        targets.replace([target(f"t{number}")], number * 1_000)
    assert len(targets.recent_in("x")) == 2 + RECENT_TARGET_RETENTION_MS // 1_000


def test_a_recorded_target_is_replaced_by_its_last_listing_if_the_instance_is_known():
    targets = RecentTargets()
    leaving = attrs.evolve(target("a"), is_leaving=True)
    targets.replace([leaving], 0)
    targets.replace([], 100)
    assert targets.as_last_listed(target("a")) is leaving
    for other in (target("a", 2), target("b")):
        assert targets.as_last_listed(other) is other
