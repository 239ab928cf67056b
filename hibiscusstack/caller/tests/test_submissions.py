"""Tests of the decoding of bodies: whatever comes, only typed errors go out."""

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusstack.caller.answers import decode_answer, encode_answer
from hibiscusstack.caller.json_body import parse_json_body
from hibiscusstack.caller.submissions import (
    Submission,
    decode_submission,
    encode_submission,
)
from hibiscusstack.dispatch.answers import (
    JobAnswer,
    Outcome,
    Problem,
    Reason,
    TaskResult,
)
from hibiscusstack.dispatch.jobs import Job, Task
from hibiscusstack.exceptions import InvalidInputError

VALID: dict[str, Any] = {"caller": "c1", "tasks": [{"kind": "check"}]}
FIELDS = ["id", "key", "caller", "team", "labels", "timeout_ms", "tasks", "extra"]
TASK_FIELDS = ["kind", "payload", "labels", "idempotent", "run_time_ms", "memory_mb"]

scalars = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
values = st.recursive(
    scalars | st.sampled_from(["c1", "check", 5]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)
tasks = st.dictionaries(st.sampled_from(TASK_FIELDS), values, max_size=6)
bodies = st.dictionaries(
    st.sampled_from(FIELDS), values | st.lists(tasks, max_size=3), max_size=8
)
names = st.text("abcXYZ019._:@+~=-", min_size=1, max_size=128)
labels = st.dictionaries(names, st.text(st.characters(codec="utf-8"), max_size=9))
results = st.builds(
    TaskResult,
    index=st.just(0),
    outcome=st.sampled_from(Outcome),
    value=st.integers(-9, 9) | st.text(st.characters(codec="utf-8")),
    problem=st.none()
    | st.builds(
        Problem, st.sampled_from(Reason), names, st.none() | st.integers(0, 10**6)
    ),
    run_time_ms=st.integers(0, 10**6),
)


def decode_or_refuse(body: bytes) -> Submission | None:
    try:
        return decode_submission(body)
    except InvalidInputError:
        return None


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_any_bytes_raise_typed_errors_only(body: bytes) -> None:
    decode_or_refuse(body)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(bodies)
def test_any_json_raises_typed_errors_only(fields: dict[str, Any]) -> None:
    submission = decode_or_refuse(json.dumps(fields).encode())
    if submission is not None:
        assert isinstance(submission.job.caller, str)
        assert 1 <= len(submission.job.tasks) <= 200


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(0, 300), st.binary(min_size=1, max_size=3))
def test_damaged_bodies_raise_typed_errors_only(at: int, damage: bytes) -> None:
    body = json.dumps(VALID | {"labels": {"a": "b\u0301"}, "timeout_ms": 5}).encode()
    decode_or_refuse(body[: at % len(body)] + damage + body[at % len(body) :])


@settings(derandomize=True, deadline=None)
@given(names, names, labels.filter(lambda found: len(found) <= 32), values)
def test_encoding_is_read_back(
    caller: str, kind: str, found: dict[str, str], payload: Any
) -> None:
    task = Task(0, kind, payload, found, idempotent=False, run_time_ms=9, memory_mb=1)
    submission = Submission(Job("j1", caller, (task,), "t1", found, 700))
    try:
        body = json.dumps(encode_submission(submission), allow_nan=False).encode()
        assert decode_submission(body) == submission
    except (ValueError, InvalidInputError):
        with pytest.raises(InvalidInputError):
            parse_json_body(json.dumps(payload).encode())


@settings(derandomize=True, deadline=None)
@given(names, st.sampled_from(Outcome), results)
def test_answers_are_read_back(
    job_id: str, outcome: Outcome, result: TaskResult
) -> None:
    answer = JobAnswer(job_id, outcome, (result,), result.problem)
    assert decode_answer(json.loads(json.dumps(encode_answer(answer)))) == answer


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b"null",
        b"\xef\xbb\xbf{}",
        json.dumps(VALID).encode("utf-16"),
        b'{"caller": "c1", "caller": "c2", "tasks": [{"kind": "k"}]}',
        b'{"caller": "c1", "tasks": [{"kind": "k", "payload": NaN}]}',
        b'{"caller": "c1", "tasks": [{"kind": "k", "payload": 1e999}]}',
        b'{"caller": "c1", "tasks": [{"kind": "k", "payload": "\\ud800"}]}',
        b'{"caller": "c1", "tasks": [{"kind": "k", "payload": %s}]}' % (b"9" * 5000),
        b'{"caller": "c1", "tasks": %s%s}' % (b"[" * 100_000, b"]" * 100_000),
        b'{"caller": "c1", "tasks": %s%s}' % (b"[" * 40, b"]" * 40),
        json.dumps(VALID | {"tasks": [{"kind": "k"}] * 201}).encode(),
        json.dumps(VALID | {"tasks": []}).encode(),
        json.dumps(VALID | {"caller": "a b"}).encode(),
        json.dumps(VALID | {"caller": "a\n"}).encode(),
        json.dumps(VALID | {"id": "a/b"}).encode(),
        json.dumps(VALID | {"id": "a", "key": "b"}).encode(),
        json.dumps(VALID | {"timeout_ms": 0}).encode(),
        json.dumps(VALID | {"timeout_ms": True}).encode(),
        json.dumps(VALID | {"timeout_ms": 5.0}).encode(),
        json.dumps(VALID | {"labels": {"a": 1}}).encode(),
        json.dumps(VALID | {"labels": {str(n): "" for n in range(33)}}).encode(),
        json.dumps(VALID | {"surplus": 1}).encode(),
        json.dumps(VALID | {"tasks": [{"kind": "k", "idempotent": 1}]}).encode(),
        json.dumps(VALID | {"tasks": [{"kind": "k", "memory_mb": -1}]}).encode(),
    ],
)
def test_bad_bodies_are_refused(body: bytes) -> None:
    with pytest.raises(InvalidInputError):
        decode_submission(body)


def test_nesting_is_allowed_up_to_its_limit_and_no_further() -> None:
    for opening, closing in ((b"[", b"]"), (b'{"a":', b"}")):
        assert parse_json_body(opening * 5 + b"1" + closing * 5, max_depth=5)
        with pytest.raises(InvalidInputError):
            parse_json_body(opening * 6 + b"1" + closing * 6, max_depth=5)


def test_a_fault_names_its_field() -> None:
    body = json.dumps(VALID | {"tasks": [{"kind": "k"}, {"kind": 5}]}).encode()
    with pytest.raises(InvalidInputError) as caught:
        decode_submission(body)
    assert caught.value.where == "tasks[1].kind"
    assert caught.value.found == "5"
