"""Tests of the codec: round trips and rejection of invalid bytes."""

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusstack.dispatch import messages
from hibiscusstack.dispatch.answers import (
    JobAnswer,
    Outcome,
    Problem,
    Reason,
    TaskResult,
)
from hibiscusstack.dispatch.jobs import Job, Task
from hibiscusstack.exceptions import DecodeError, InvalidInputError
from hibiscusstack.host import codec
from hibiscusstack.host.codec import MAX_FRAME_BYTES, decode_message, encode_message
from hibiscusstack.pool.jobs import PoolJob, Resources, Step
from hibiscusstack.pool.messages import (
    AskStored,
    PoolMessage,
    StoredAnswer,
    StoredJobAccepted,
    StoredRequest,
    StoredState,
)

FUZZ = settings(max_examples=300, derandomize=True, deadline=None, database=None)

INTEGERS = st.integers(-(2**63), 2**63 - 1)
TEXTS = st.text(max_size=20)
LABELS = st.dictionaries(TEXTS, TEXTS, max_size=3)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | INTEGERS | st.floats(allow_nan=False, width=32) | TEXTS,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(TEXTS, inner, max_size=3)
    ),
    max_leaves=8,
).filter(lambda value: "inf" not in repr(value))

HOST_NAMES = st.builds(messages.HostName, TEXTS, TEXTS, INTEGERS)
TASKS = st.builds(
    Task,
    index=INTEGERS,
    kind=TEXTS,
    payload=JSON_VALUES,
    labels=LABELS,
    idempotent=st.booleans(),
)
JOBS = st.builds(
    Job,
    job_id=TEXTS,
    caller=TEXTS,
    tasks=st.lists(TASKS, max_size=3).map(tuple),
    labels=LABELS,
)
PROBLEMS = st.builds(
    Problem, st.sampled_from(Reason), TEXTS, st.none() | st.integers(0, 10**6)
)
RESULTS = st.lists(
    st.builds(
        TaskResult,
        INTEGERS,
        st.sampled_from(Outcome),
        JSON_VALUES,
        st.none() | PROBLEMS,
    ),
    max_size=3,
).map(tuple)
ANSWERS = st.builds(
    JobAnswer, TEXTS, st.sampled_from(Outcome), RESULTS, st.none() | PROBLEMS
)
POOL_STEPS = st.builds(
    Step,
    INTEGERS,
    st.builds(Resources, INTEGERS, INTEGERS, INTEGERS),
    after=st.lists(INTEGERS, max_size=3).map(tuple),
    requires=TEXTS,
)
POOL_JOBS = st.builds(
    PoolJob, TEXTS, TEXTS, TEXTS, st.lists(POOL_STEPS, max_size=3).map(tuple)
)
MESSAGES = st.one_of(
    st.builds(messages.Hello, HOST_NAMES, TEXTS, INTEGERS),
    st.builds(
        messages.Heartbeat, INTEGERS, st.booleans(), INTEGERS, INTEGERS, INTEGERS
    ),
    st.builds(messages.ForwardJob, INTEGERS, JOBS),
    st.builds(messages.ForwardAnswer, INTEGERS, ANSWERS),
    st.builds(messages.CancelJob, TEXTS, TEXTS),
    st.builds(
        messages.PlaceBatch,
        batch=INTEGERS,
        job_id=TEXTS,
        tasks=st.lists(TASKS, max_size=3).map(tuple),
        targets=st.lists(TEXTS, max_size=3).map(tuple),
        timeout_ms=INTEGERS,
        caller=TEXTS,
        team=TEXTS,
        class_name=TEXTS,
    ),
    st.builds(
        messages.BatchResults,
        INTEGERS,
        RESULTS,
        st.lists(INTEGERS, max_size=3).map(tuple),
    ),
    st.builds(messages.QueryBatch, INTEGERS),
    st.builds(messages.CancelBatch, INTEGERS),
    st.builds(messages.FetchConfiguration, INTEGERS),
    st.builds(AskStored, INTEGERS, st.sampled_from(StoredRequest), TEXTS, TEXTS),
    st.builds(StoredAnswer, INTEGERS, st.sampled_from(StoredState), INTEGERS),
    st.builds(StoredJobAccepted, TEXTS, POOL_JOBS, INTEGERS),
    st.builds(
        messages.RecordsPage,
        st.lists(st.tuples(INTEGERS, TEXTS), max_size=3).map(tuple),
    ),
)


def test_every_message_has_one_tag():
    every = {*messages.Message.__args__, *PoolMessage.__args__}
    assert set(codec._TAGS.values()) == every


@FUZZ
@given(MESSAGES)
def test_messages_round_trip(message):
    assert decode_message(encode_message(message)) == message


@FUZZ
@given(st.binary(max_size=200))
def test_random_bytes_raise_only_decode_errors(frame):
    decode_or_refuse(frame)


@FUZZ
@given(MESSAGES, st.data())
def test_damaged_frames_raise_only_decode_errors(message, data):
    frame = bytearray(encode_message(message))
    for _ in range(data.draw(st.integers(1, 3))):
        place = data.draw(st.integers(0, len(frame) - 1))
        frame[place] = data.draw(st.integers(0, 255))
    decode_or_refuse(bytes(frame))


@FUZZ
@given(st.integers(0, 15), st.lists(JSON_VALUES | st.binary(max_size=5), max_size=12))
def test_fields_of_wrong_types_raise_only_decode_errors(tag, values):
    decode_or_refuse(cbor2.dumps([tag, *values]))


def decode_or_refuse(frame):
    try:
        message = decode_message(frame)
    except DecodeError:
        return
    assert isinstance(message, messages.Message | PoolMessage)
    assert decode_message(encode_message(message)) == message


@pytest.mark.parametrize(
    "frame",
    [
        b"",
        bytes([0x01]),
        bytes([0x80]),
        bytes([0x82, 0x08, 0x05, 0x00]),
        bytes([0x9F, 0x08, 0x05, 0xFF]),
        bytes([0x81]) * 100_000,
        bytes([0x9B]) + b"\xff" * 8,
        bytes([0x82, 0x08, 0xC2, 0x41, 0x05]),
        bytes([0xD8, 0x1C, 0x82, 0x08, 0xD8, 0x1D, 0x00]),
        cbor2.dumps([8, True]),
        cbor2.dumps([8, 5, 6]),
        cbor2.dumps([True, 5]),
        cbor2.dumps([99, 5]),
        bytes(MAX_FRAME_BYTES + 1),
    ],
)
def test_malformed_frames_are_refused(frame):
    with pytest.raises(DecodeError):
        decode_message(frame)


@pytest.mark.parametrize("value", [float("nan"), float("inf"), b"bytes", {1: 2}])
def test_a_payload_that_json_cannot_represent_is_refused(value):
    answer = JobAnswer("j", Outcome.SUCCEEDED, (TaskResult(0, Outcome.SUCCEEDED, 0),))
    frame = cbor2.loads(encode_message(messages.ForwardAnswer(1, answer)))
    frame[2][2][0][2] = value
    with pytest.raises(DecodeError):
        decode_message(cbor2.dumps(frame))


def test_a_decode_error_names_the_field():
    frame = cbor2.dumps([1, ["dc1", "h1", "seven"], "127.0.0.1", 7400, 1])
    with pytest.raises(DecodeError, match="HostName.incarnation"):
        decode_message(frame)


def test_a_message_that_is_too_large_is_refused_before_it_is_sent():
    task = Task(0, "kind", payload="x" * MAX_FRAME_BYTES)
    job = Job("j", "c", (task,))
    with pytest.raises(InvalidInputError, match="ForwardJob"):
        encode_message(messages.ForwardJob(1, job))


def test_a_payload_that_cbor_cannot_encode_is_refused_before_it_is_sent():
    job = Job("j", "c", (Task(0, "kind", payload=object()),))
    with pytest.raises(InvalidInputError, match="ForwardJob"):
        encode_message(messages.ForwardJob(1, job))


def test_a_task_is_encoded_in_fewer_than_30_bytes():
    tasks = tuple(Task(index, "gate_check") for index in range(200))
    batch = messages.PlaceBatch(1, "j", tasks, ("t1",), 1_000, "c", "t", "default")
    assert len(encode_message(batch)) < 200 * 30
