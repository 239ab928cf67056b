"""Tests that every response is either fully valid or raises ``DecodeError``."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusstack.dispatch.effects import StopTasks, TaskFinished, TaskRefused
from hibiscusstack.exceptions import DecodeError
from hibiscusstack.target.connection import HttpResponse
from hibiscusstack.target.decoding import (
    decode_start_response,
    decode_states,
    decode_usage,
)
from hibiscusstack.target.tests.network import finished_body, make_start

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda values: (
        st.lists(values, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ["task_id", "type", "tasks", "memory_ms", "j/0/1", "state", "succeeded"]
            ),
            values | st.sampled_from(["j/0/1", "busy", "finished", "running"]),
            max_size=4,
        )
    ),
    max_leaves=12,
)
BODIES = JSON.map(lambda value: json.dumps(value).encode()) | st.binary(max_size=40)
ANSWERS = st.builds(
    HttpResponse, st.sampled_from([200, 409, 500]), BODIES, st.just(True)
)


@pytest.mark.parametrize(
    "changes",
    [
        {"task_id": "j/0/2"},
        {"task_id": None},
        {"succeeded": 1},
        {"run_time_ms": -1},
        {"run_time_ms": True},
        {"run_time_ms": "50"},
    ],
)
def test_a_result_with_one_wrong_field_is_rejected(changes):
    body = json.dumps(finished_body(**changes)).encode()
    with pytest.raises(DecodeError):
        decode_start_response(make_start(), HttpResponse(200, body, True))


@pytest.mark.parametrize("value", [b"NaN", b"-Infinity", b"1e999"])
def test_a_number_that_is_not_finite_is_rejected(value):
    body = json.dumps(finished_body(value="V")).encode().replace(b'"V"', value)
    with pytest.raises(DecodeError):
        decode_start_response(make_start(), HttpResponse(200, body, True))


@pytest.mark.parametrize(
    ("status", "body"),
    [
        (409, b'{"type": "tired"}'),
        (409, b'{"type": ["busy"]}'),
        (409, b'{"type": "busy", "task_id": "j/0/2"}'),
        (409, b"busy"),
        (503, b'{"type": "busy"}'),
        (200, b'{"type": "busy"}'),
        (200, b"[" * 100_000),
        (200, b"\xff"),
        (200, b'{"task_id": "j/0/1", "succeeded": true, "run_time_ms": 1}'),
    ],
)
def test_a_response_outside_the_protocol_is_rejected(status, body):
    with pytest.raises(DecodeError):
        decode_start_response(make_start(), HttpResponse(status, body, True))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(ANSWERS)
def test_any_start_answer_decodes_or_raises_decode_error(answer):
    try:
        reply = decode_start_response(make_start(), answer)
    except DecodeError:
        pass
    else:
        assert isinstance(reply, TaskFinished | TaskRefused)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(ANSWERS)
def test_any_states_and_usage_decode_or_raise_decode_error(answer):
    for decode in (
        lambda: decode_states(StopTasks("t1", ("j/0/1",)), answer),
        lambda: decode_usage(answer),
    ):
        try:
            decode()
        except DecodeError:
            continue
