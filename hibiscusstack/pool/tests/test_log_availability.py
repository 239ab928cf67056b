"""Tests of the availability of the log to a host."""

from hibiscusstack.pool.log_availability import (
    STABILIZATION_MS,
    UNAVAILABLE_AFTER_MS,
    LogAvailability,
)


def test_log_is_stable_after_the_first_read():
    availability = LogAvailability()
    assert not availability.is_stable(0)
    availability.note_read(10)
    assert availability.is_stable(10) and availability.is_stable(
        10 + UNAVAILABLE_AFTER_MS
    )
    assert not availability.is_stable(11 + UNAVAILABLE_AFTER_MS)


def test_log_is_stable_some_time_after_an_outage():
    availability = LogAvailability()
    availability.note_read(0)
    recovered_ms = UNAVAILABLE_AFTER_MS + 1
    availability.note_read(recovered_ms)
    availability.note_read(recovered_ms + 600)
    assert not availability.is_stable(recovered_ms + STABILIZATION_MS - 1)
    assert availability.is_stable(recovered_ms + STABILIZATION_MS)


def test_log_is_unavailable_without_recent_reads():
    availability = LogAvailability()
    assert availability.is_unavailable(0)
    availability.note_read(10)
    assert not availability.is_unavailable(
        10 + UNAVAILABLE_AFTER_MS
    ) and availability.is_unavailable(11 + UNAVAILABLE_AFTER_MS)
    availability.note_read(2 * UNAVAILABLE_AFTER_MS)
    assert not availability.is_unavailable(2 * UNAVAILABLE_AFTER_MS)
