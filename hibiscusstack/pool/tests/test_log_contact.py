"""Whether the log is in touch."""

from hibiscusstack.pool.log_contact import SETTLING_MS, TOUCH_MS, LogContact


def test_the_first_read_is_enough():
    contact = LogContact()
    assert not contact.is_in_touch(0)
    contact.note_read(10)
    assert contact.is_in_touch(10) and contact.is_in_touch(10 + TOUCH_MS)
    assert not contact.is_in_touch(11 + TOUCH_MS)


def test_after_a_gap_peers_have_time_to_be_heard():
    contact = LogContact()
    contact.note_read(0)
    back_ms = TOUCH_MS + 1
    contact.note_read(back_ms)
    contact.note_read(back_ms + 600)
    assert not contact.is_in_touch(back_ms + SETTLING_MS - 1)
    assert contact.is_in_touch(back_ms + SETTLING_MS)


def test_the_log_is_away_once_it_was_not_read_for_a_while():
    contact = LogContact()
    assert contact.is_away(0)
    contact.note_read(10)
    assert not contact.is_away(10 + TOUCH_MS) and contact.is_away(11 + TOUCH_MS)
    contact.note_read(2 * TOUCH_MS)
    assert not contact.is_away(2 * TOUCH_MS)
