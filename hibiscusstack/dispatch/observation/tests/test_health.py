"""Tests of the ejection and readmission of targets."""

import random

import pytest

from hibiscusstack.dispatch.observation.health import (
    BASE_EJECTION_MS,
    MIN_SLOWNESS_SAMPLES,
    SLOW_PROBE_INTERVAL_MS,
    HealthTable,
)
from hibiscusstack.dispatch.targets import TargetInfo
from hibiscusstack.dispatch.tests.builders import make_policy

TARGETS = {
    name: TargetInfo(name, "127.0.0.1", 1, "dc1") for name in ("w1", "w2", "w3", "w4")
}


def make_table(**failures):
    table = HealthTable(make_policy(""))
    table.replace_targets(TARGETS.values())
    for _ in range(20):
        for name in TARGETS:
            table.record(name, name not in failures, 100, 0)
    return table


def concurrency_limits(table, now_ms):
    return [table.concurrency_limit(target, now_ms) for target in TARGETS.values()]


def test_target_that_fails_everything_is_ejected():
    assert concurrency_limits(make_table(w2=True), 1) == [8, 0, 8, 8]


def test_failures_on_all_targets_eject_none():
    assert concurrency_limits(make_table(w1=1, w2=1, w3=1, w4=1), 1) == [8, 8, 8, 8]


def test_no_more_than_the_configured_share_is_ejected():
    assert concurrency_limits(make_table(w1=1, w2=1), 1).count(0) == 1
    table = HealthTable(make_policy(""))
    table.set_fleet_ejections(ejected_by_other_homes=2, targets=12)
    for _ in range(20):
        for name in TARGETS:
            table.record(name, name not in {"w1", "w2"}, 100, 0)
    assert concurrency_limits(table, 1).count(0) == 1


def test_healthy_target_that_begins_to_fail_is_ejected_after_four_failures():
    table = make_table()
    for _ in range(500):
        table.record("w1", True, 100, 0)
    for _ in range(4):
        table.record("w1", False, 1, 0)
    assert concurrency_limits(table, 1) == [0, 8, 8, 8]


def test_readmission_doubles_the_limit_and_a_failure_doubles_the_ejection():
    table = make_table(w1=True)
    assert table.concurrency_limit(TARGETS["w1"], BASE_EJECTION_MS) == 1
    table.record("w1", False, 1, BASE_EJECTION_MS)
    assert table.concurrency_limit(TARGETS["w1"], 3 * BASE_EJECTION_MS - 1) == 0
    seen = []
    for _ in range(12):
        table.record("w1", True, 100, 3 * BASE_EJECTION_MS)
        seen.append(table.concurrency_limit(TARGETS["w1"], 3 * BASE_EJECTION_MS))
    assert seen == [1, 1, 2, 2, 2, 4, 4, 4, 8, 8, 8, 8]


@pytest.mark.parametrize("factor", [1, 5])
def test_slow_target_gets_single_probe_tasks_until_it_recovers(factor):
    table = HealthTable(make_policy(""))
    source = random.Random(1)
    for _ in range(2 * MIN_SLOWNESS_SAMPLES):
        for name in TARGETS:
            run_time_ms = round(source.lognormvariate(5, 0.8))
            table.record(name, True, run_time_ms * (factor if name == "w3" else 1), 0)
    expected = [8, 8, 8, 8] if factor == 1 else [8, 8, 0, 8]
    assert concurrency_limits(table, 1) == expected
    if factor == 5:
        assert table.concurrency_limit(TARGETS["w3"], SLOW_PROBE_INTERVAL_MS) == 1
        for _ in range(120):
            table.record("w3", True, 150, 0)
        assert table.concurrency_limit(TARGETS["w3"], 1) == 8


def test_statistics_of_removed_targets_are_dropped():
    table = make_table(w1=True)
    table.replace_targets([])
    assert table.count_ejected(1) == 0
