"""Splits or reduces messages that exceed the size of a frame between hosts."""

__all__ = ["fit_to_frames"]

import attrs

from hibiscusstack.dispatch.answers import (
    JobAnswer,
    Outcome,
    Problem,
    Reason,
    TaskResult,
)
from hibiscusstack.dispatch.messages import BatchResults, ForwardAnswer, Message
from hibiscusstack.host import MAX_FRAME_BYTES

# Upper bounds of sizes in CBOR, the encoding of frames.
MESSAGE_OVERHEAD_BYTES = 4_096  # all fields of a message except its results
MAX_BYTES_PER_CHARACTER = 4  # UTF-8
MAX_BYTES_PER_ITEM = 9  # type byte and an 8-byte length or number
RESULT_OVERHEAD_BYTES = 64  # all fields of a result except its value and detail


def fit_to_frames(message: Message) -> list[Message]:
    """Return messages that carry the content of ``message`` and each fit in one frame.

    The results of a batch are split over several messages. An answer to a job cannot
    be split: if it is too large, the values are dropped, each task keeps its outcome,
    and a job that succeeded is reported as failed. Other messages carry no result
    values and are returned unchanged: the limit on the body of a request bounds the
    size of the jobs in them. The cost is linear in the size of the values.

    >>> message = BatchResults(1, (TaskResult(0, Outcome.SUCCEEDED, "x"),))
    >>> fit_to_frames(message) == [message]
    True
    """
    if isinstance(message, BatchResults):
        return _split_results(message)
    if isinstance(message, ForwardAnswer):
        return [_drop_values_if_too_large(message)]
    return [message]


def _split_results(message: BatchResults) -> list[Message]:
    groups = _group_results(message.results)
    if len(groups) <= 1:
        return [message]
    # Only the last message reports the returned tasks, so they are reported once.
    parts = [attrs.evolve(message, results=group, returned=()) for group in groups[:-1]]
    return [*parts, attrs.evolve(message, results=groups[-1])]


def _group_results(results: tuple[TaskResult, ...]) -> list[tuple[TaskResult, ...]]:
    """Return the results in groups that each fit in one frame.

    A result whose bound alone exceeds a frame gets a group of its own. Its encoded size
    is less, because the target client limits the response of a target to 1 MiB.
    """
    groups: list[tuple[TaskResult, ...]] = []
    group: list[TaskResult] = []
    group_bytes = MESSAGE_OVERHEAD_BYTES
    for result in results:
        result_bytes = _max_result_bytes(result)
        if group and group_bytes + result_bytes > MAX_FRAME_BYTES:
            groups.append(tuple(group))
            group, group_bytes = [], MESSAGE_OVERHEAD_BYTES
        group.append(result)
        group_bytes += result_bytes
    return [*groups, tuple(group)]


def _drop_values_if_too_large(message: ForwardAnswer) -> ForwardAnswer:
    answer = message.answer
    size_bytes = MESSAGE_OVERHEAD_BYTES + sum(
        _max_result_bytes(result) for result in answer.results
    )
    if size_bytes <= MAX_FRAME_BYTES:
        return message
    return attrs.evolve(message, answer=_without_values(answer))


def _without_values(answer: JobAnswer) -> JobAnswer:
    detail = "the result values are too large for one message between hosts"
    problem = Problem(Reason.TOO_LARGE, detail)
    results = tuple(
        attrs.evolve(result, value=None, problem=result.problem or problem)
        for result in answer.results
    )
    if answer.outcome is Outcome.SUCCEEDED:
        return JobAnswer(answer.job_id, Outcome.FAILED, results, problem)
    return attrs.evolve(answer, results=results)


def _max_result_bytes(result: TaskResult) -> int:
    """Return an upper bound of the encoded size of a result."""
    detail = result.problem.detail if result.problem else ""
    return (
        RESULT_OVERHEAD_BYTES + _max_text_bytes(detail) + _max_value_bytes(result.value)
    )


def _max_value_bytes(value: object) -> int:
    if isinstance(value, str):
        return MAX_BYTES_PER_ITEM + _max_text_bytes(value)
    if isinstance(value, list):
        return MAX_BYTES_PER_ITEM + sum(map(_max_value_bytes, value))
    if isinstance(value, dict):
        return MAX_BYTES_PER_ITEM + sum(
            _max_value_bytes(key) + _max_value_bytes(item)
            for key, item in value.items()
        )
    return MAX_BYTES_PER_ITEM


def _max_text_bytes(text: str) -> int:
    return len(text) if text.isascii() else MAX_BYTES_PER_CHARACTER * len(text)
