"""Tests of the encoding of the records of stored jobs."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusstack.exceptions import DecodeError
from hibiscusstack.pool.interfaces import KeyedRecord
from hibiscusstack.pool.jobs import PoolJob, Resources, Step
from hibiscusstack.pool.messages import StoredState
from hibiscusstack.pool.stored.progress import JobProgress
from hibiscusstack.pool.stored.records import (
    JobRecord,
    ProgressRecord,
    decode_job_record,
    decode_progress,
    decode_takeover_count,
    encode_job_record,
    encode_progress,
    encode_takeover_count,
)

FUZZ = settings(max_examples=200, derandomize=True, deadline=None, database=None)
NUMBERS = st.integers(0, 10**9)
TEXTS = st.text(max_size=30)
STEPS = st.builds(
    Step,
    NUMBERS,
    st.builds(Resources, NUMBERS, NUMBERS, NUMBERS),
    NUMBERS,
    st.lists(NUMBERS, max_size=3).map(tuple),
    TEXTS,
    TEXTS,
    NUMBERS,
    st.booleans(),
)
JOBS = st.builds(
    PoolJob,
    st.just("5c0e7a21d94b36f8"),
    TEXTS,
    TEXTS,
    st.lists(STEPS, max_size=3).map(tuple),
    NUMBERS,
    NUMBERS,
    st.floats(0, 100),
    NUMBERS,
)
KEYS = st.tuples(st.integers(0, 3), st.integers(0, 100))
PROGRESS = st.builds(
    JobProgress,
    st.lists(st.integers(0, 2**70), max_size=4),
    st.dictionaries(KEYS, st.lists(NUMBERS, max_size=3), max_size=3),
    st.dictionaries(KEYS, st.tuples(NUMBERS, TEXTS), max_size=3),
)


@FUZZ
@given(st.builds(JobRecord, TEXTS, JOBS, NUMBERS))
def test_job_records_round_trip(record):
    stored = KeyedRecord(0, record.job.job_id, encode_job_record(record))
    assert decode_job_record(stored) == record


@FUZZ
@given(TEXTS, st.sampled_from(StoredState), PROGRESS)
def test_progress_records_round_trip(queue, state, progress):
    record = ProgressRecord(queue, state, progress)
    found = decode_progress(KeyedRecord(0, "j", encode_progress(record)))
    assert (found.queue, found.state) == (queue, state)
    assert found.progress.done_bits == progress.done_bits
    assert found.progress.failed_runs == progress.failed_runs
    assert found.progress.checkpoints == progress.checkpoints


def test_the_progress_record_of_an_ended_job_has_only_its_state():
    record = ProgressRecord("q", StoredState.FAILED)
    value = encode_progress(record)
    assert value == b'[1,"q","failed"]'
    assert decode_progress(KeyedRecord(0, "j", value)) == record


def test_the_takeover_count_round_trips():
    assert decode_takeover_count(KeyedRecord(0, "terms", encode_takeover_count(7))) == 7


@pytest.mark.parametrize(
    "decode", [decode_job_record, decode_progress, decode_takeover_count]
)
@pytest.mark.parametrize(
    "value", [b"", b"{", b"{}", b"[]", b"[2,3,4]", b"[1]", b"[1,2,3,4]", b"\xff"]
)
def test_malformed_values_raise_decode_error(decode, value):
    with pytest.raises(DecodeError):
        decode(KeyedRecord(0, "j", value))


@FUZZ
@given(st.binary(max_size=60), st.data())
def test_corrupted_values_raise_only_decode_error(noise, data):
    step = Step(2, Resources(1, 2), after=())
    job = PoolJob("j", "p", "text", (step,))
    value = bytearray(encode_job_record(JobRecord("q", job, 5)))
    position = data.draw(st.integers(0, len(value) - 1))
    value[position : position + len(noise)] = noise
    try:
        decode_job_record(KeyedRecord(0, "j", bytes(value)))
    except DecodeError:
        return
