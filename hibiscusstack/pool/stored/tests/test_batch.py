"""Tests of the order and the outcome of batched appends."""

import pytest

from hibiscusstack.pool.stored.batch import (
    MAX_BATCH_BYTES,
    MAX_BATCH_RECORDS,
    BatchQueue,
)


@pytest.fixture
def saved():
    return []


def put(queue, saved, key, value=b"v"):
    queue.put(key, lambda: value, lambda: saved.append(key))


def test_a_newer_record_of_a_key_replaces_the_one_that_waits(saved):
    queue = BatchQueue()
    put(queue, saved, "a", b"1")
    put(queue, saved, "b")
    put(queue, saved, "a", b"2")
    assert queue.next_batch().encoded_records == (("a", b"2"), ("b", b"v"))
    queue.mark_appended()
    assert saved == ["a", "a", "b"]
    assert len(queue) == 0


def test_a_record_is_encoded_when_it_is_sent(saved):
    queue = BatchQueue()
    values = [b"early"]
    queue.put("a", lambda: values[0])
    values[0] = b"late"
    assert queue.next_batch().encoded_records == (("a", b"late"),)


def test_records_put_while_a_batch_is_in_flight_go_into_the_next(saved):
    queue = BatchQueue()
    put(queue, saved, "a", b"1")
    queue.next_batch()
    put(queue, saved, "a", b"2")
    queue.mark_appended()
    assert saved == ["a"]
    batch = queue.next_batch()
    assert (batch.sequence_number, batch.encoded_records) == (2, (("a", b"2"),))


def test_a_batch_of_unknown_outcome_is_resent_unchanged(saved):
    queue = BatchQueue()
    put(queue, saved, "a")
    first = queue.next_batch()
    queue.mark_outcome_unknown()
    put(queue, saved, "b")
    queue.mark_not_appended()
    assert queue.next_batch() is first
    assert not queue.withdraw("a")
    assert queue.withdraw("b")
    queue.mark_appended()
    assert saved == ["a"]


def test_a_batch_not_appended_is_requeued_and_its_number_reused(saved):
    queue = BatchQueue()
    put(queue, saved, "a", b"1")
    put(queue, saved, "c")
    queue.next_batch()
    put(queue, saved, "b")
    put(queue, saved, "a", b"2")
    queue.mark_not_appended()
    assert queue.withdraw("c")
    batch = queue.next_batch()
    assert (batch.sequence_number, batch.encoded_records) == (
        1,
        (("a", b"2"), ("b", b"v")),
    )
    queue.mark_appended()
    assert saved == ["a", "a", "b"]


def test_a_record_in_flight_cannot_be_withdrawn(saved):
    queue = BatchQueue()
    put(queue, saved, "a")
    assert queue.withdraw("unknown")
    queue.next_batch()
    assert not queue.withdraw("a")


def test_a_higher_expected_number_confirms_a_batch_of_unknown_outcome(saved):
    queue = BatchQueue()
    put(queue, saved, "a")
    queue.next_batch()
    queue.mark_outcome_unknown()
    queue.handle_out_of_sequence(2)
    assert saved == ["a"]
    put(queue, saved, "b")
    assert queue.next_batch().sequence_number == 2


def test_the_number_expected_by_the_log_is_adopted(saved):
    queue = BatchQueue()
    put(queue, saved, "a")
    queue.next_batch()
    queue.handle_out_of_sequence(8)
    assert saved == []
    assert queue.next_batch().sequence_number == 8


def test_batches_are_bounded(saved):
    queue = BatchQueue()
    for number in range(MAX_BATCH_RECORDS + 5):
        put(queue, saved, str(number))
    assert len(queue.next_batch().encoded_records) == MAX_BATCH_RECORDS
    queue.mark_appended()
    assert len(queue.next_batch().encoded_records) == 5
    queue.mark_appended()
    for number in range(5):
        put(queue, saved, str(number), bytes(MAX_BATCH_BYTES // 2 - 1))
    assert len(queue.next_batch().encoded_records) == 2
