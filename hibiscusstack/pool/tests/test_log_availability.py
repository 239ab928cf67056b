"""Whether the log is in touch."""

from hibiscusstack.pool.log_availability import (
    STABILIZATION_MS,
    UNAVAILABLE_AFTER_MS,
    LogAvailability,
)


def test_the_first_read_is_enough():
    contact = LogAvailability()
    assert not contact.is_stable(0)
    contact.note_read(10)
    assert contact.is_stable(10) and contact.is_stable(10 + UNAVAILABLE_AFTER_MS)
    assert not contact.is_stable(11 + UNAVAILABLE_AFTER_MS)


def test_after_a_gap_peers_have_time_to_be_heard():
    contact = LogAvailability()
    contact.note_read(0)
    back_ms = UNAVAILABLE_AFTER_MS + 1
    contact.note_read(back_ms)
    contact.note_read(back_ms + 600)
    assert not contact.is_stable(back_ms + STABILIZATION_MS - 1)
    assert contact.is_stable(back_ms + STABILIZATION_MS)


def test_the_log_is_away_once_it_was_not_read_for_a_while():
    contact = LogAvailability()
    assert contact.is_unavailable(0)
    contact.note_read(10)
    assert not contact.is_unavailable(
        10 + UNAVAILABLE_AFTER_MS
    ) and contact.is_unavailable(11 + UNAVAILABLE_AFTER_MS)
    contact.note_read(2 * UNAVAILABLE_AFTER_MS)
    assert not contact.is_unavailable(2 * UNAVAILABLE_AFTER_MS)
