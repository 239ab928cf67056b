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

MESSAGE_OVERHEAD_BYTES = 4_096
MAX_BYTES_PER_CHARACTER = 4
MAX_BYTES_PER_ITEM = 9
RESULT_OVERHEAD_BYTES = 64


def fit_to_frames(message: Message) -> list[Message]:
    """Return messages that carry the content of ``message`` and fit in a frame each.

    The results of a batch are split over several messages. An answer to a job cannot
    be split: if it is too large, the values are dropped, each task keeps its outcome,
    and a job that succeeded is reported as failed. Only large values make a message too
    large, because the limit on the body of a request keeps jobs small. The cost is
    linear in the size of the values.

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
    parts = [attrs.evolve(message, results=group, returned=()) for group in groups[:-1]]
    return [*parts, attrs.evolve(message, results=groups[-1])]


def _group_results(results: tuple[TaskResult, ...]) -> list[tuple[TaskResult, ...]]:
    """Return the results in groups, each of which fits in one frame."""
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
