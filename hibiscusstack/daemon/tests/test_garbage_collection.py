"""Full collections come when the host is idle, or after half an hour."""

import gc

import pytest

from hibiscusstack.clock import ManualClock
from hibiscusstack.daemon.garbage_collection import (
    IDLE_INTERVAL_MS,
    MAX_INTERVAL_MS,
    GarbageCollector,
)


@pytest.fixture
def thresholds():
    before = gc.get_threshold()
    yield
    gc.set_threshold(*before)
    gc.unfreeze()


def test_an_idle_host_collects_after_a_while(thresholds):
    clock = ManualClock()
    collector = GarbageCollector(clock)
    collector.start()
    clock.advance(IDLE_INTERVAL_MS - 1)
    assert collector.collect_when_due(is_idle=True) is None
    clock.advance(1)
    assert collector.collect_when_due(is_idle=True) is not None
    assert collector.collect_when_due(is_idle=True) is None


def test_a_busy_host_collects_at_the_latest_after_half_an_hour(thresholds):
    clock = ManualClock()
    collector = GarbageCollector(clock)
    collector.start()
    clock.advance(MAX_INTERVAL_MS - 1)
    assert collector.collect_when_due(is_idle=False) is None
    clock.advance(1)
    assert collector.collect_when_due(is_idle=False) is not None


def test_python_does_no_full_collection_by_itself(thresholds):
    GarbageCollector(ManualClock()).start()
    before = gc.get_stats()[2]["collections"]
    kept = [[number] for number in range(500_000)]
    assert len(kept) == 500_000
    assert gc.get_stats()[2]["collections"] == before
