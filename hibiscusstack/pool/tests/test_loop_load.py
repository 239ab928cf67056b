"""Whether a process has more to do than its processor allows."""

from hibiscusstack.pool.loop_load import LATE_MS, LoopLoad

INTERVAL_MS = 10


def load_after(*passed_ms):
    load = LoopLoad(INTERVAL_MS)
    for passed in passed_ms:
        load.note_tick(passed)
    return load


def test_ticks_in_time_are_no_load():
    assert not load_after(*[INTERVAL_MS] * 100).is_overloaded
    assert not load_after(*[INTERVAL_MS + LATE_MS] * 100).is_overloaded


def test_ticks_that_keep_coming_late_are_overload_until_they_are_in_time():
    load = load_after(*[INTERVAL_MS + 2 * LATE_MS] * 3)
    assert load.is_overloaded
    for _ in range(2):
        load.note_tick(INTERVAL_MS)
    assert not load.is_overloaded


def test_one_long_pause_is_no_overload():
    assert not load_after(5_000, INTERVAL_MS).is_overloaded
