"""Tests of messages that are too large for one frame."""

import pytest

from hibiscusstack.daemon.framing import fit_to_frames
from hibiscusstack.dispatch.answers import JobAnswer, Outcome, Reason, TaskResult
from hibiscusstack.dispatch.messages import BatchResults, CancelBatch, ForwardAnswer
from hibiscusstack.host import MAX_FRAME_BYTES, encode_message

VALUES = {
    "ascii": "x" * 900_000,
    "wide": "\U0001f33a" * 220_000,
    "nested": [{"k" * 50: "y" * 50}] * 7_000,
    "numbers": [1e300] * 100_000,
    "small": 5,
}


def make_results(value, count):
    return tuple(TaskResult(i, Outcome.SUCCEEDED, value) for i in range(count))


@pytest.mark.parametrize("value", VALUES.values(), ids=VALUES)
@pytest.mark.parametrize("count", [1, 3, 20])
def test_batch_results_are_split_without_loss(value, count):
    message = BatchResults(7, make_results(value, count), returned=(99,))
    parts = fit_to_frames(message)
    assert all(len(encode_message(part)) <= MAX_FRAME_BYTES for part in parts)
    assert sum((part.results for part in parts), ()) == message.results
    assert sum((part.returned for part in parts), ()) == (99,)


@pytest.mark.parametrize("value", VALUES.values(), ids=VALUES)
def test_answer_of_one_task_is_unchanged(value):
    answer = JobAnswer("j", Outcome.SUCCEEDED, make_results(value, 1))
    message = ForwardAnswer(1, answer)
    assert fit_to_frames(message) == [message]
    assert len(encode_message(message)) <= MAX_FRAME_BYTES


def test_too_large_answer_fails_without_values():
    answer = JobAnswer("j", Outcome.SUCCEEDED, make_results(VALUES["ascii"], 20))
    (part,) = fit_to_frames(ForwardAnswer(1, answer))
    assert len(encode_message(part)) <= MAX_FRAME_BYTES
    assert part.answer.outcome is Outcome.FAILED
    assert part.answer.problem.reason is Reason.TOO_LARGE
    outcomes = [result.outcome for result in part.answer.results]
    assert outcomes == [Outcome.SUCCEEDED] * 20


def test_other_messages_are_unchanged():
    assert fit_to_frames(CancelBatch(1)) == [CancelBatch(1)]
