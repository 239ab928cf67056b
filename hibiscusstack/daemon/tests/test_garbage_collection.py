"""Tests of full collections: on an idle host, or after half an hour."""

import gc

import pytest

from hibiscusstack.clock import ManualClock
from hibiscusstack.daemon.garbage_collection import (
    IDLE_INTERVAL_MS,
    MAX_INTERVAL_MS,
    GarbageCollector,
)


@pytest.fixture
def restore_gc_state():
    before = gc.get_threshold()
    yield
    gc.set_threshold(*before)
    gc.unfreeze()


def test_idle_host_collects_after_idle_interval(restore_gc_state):
    clock = ManualClock()
    garbage_collector = GarbageCollector(clock)
    garbage_collector.start()
    clock.advance(IDLE_INTERVAL_MS - 1)
    assert garbage_collector.collect_when_due(is_idle=True) is None
    clock.advance(1)
    assert garbage_collector.collect_when_due(is_idle=True) is not None
    assert garbage_collector.collect_when_due(is_idle=True) is None


def test_busy_host_collects_after_half_an_hour(restore_gc_state):
    clock = ManualClock()
    garbage_collector = GarbageCollector(clock)
    garbage_collector.start()
    clock.advance(MAX_INTERVAL_MS - 1)
    assert garbage_collector.collect_when_due(is_idle=False) is None
    clock.advance(1)
    assert garbage_collector.collect_when_due(is_idle=False) is not None


def test_automatic_full_collections_are_disabled(restore_gc_state):
    GarbageCollector(ManualClock()).start()
    before = gc.get_stats()[2]["collections"]
    kept = [[number] for number in range(500_000)]
    assert len(kept) == 500_000
    assert gc.get_stats()[2]["collections"] == before
