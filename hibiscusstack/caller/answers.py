"""The JSON form of answers and job states, in both directions."""

__all__ = [
    "decode_answer",
    "decode_job_state",
    "encode_answer",
    "encode_job_state",
    "encode_problem",
]

from typing import Any

from hibiscusstack.caller.fields import FieldReader
from hibiscusstack.caller.service import JobPhase, JobState
from hibiscusstack.dispatch.answers import (
    JobAnswer,
    Outcome,
    Problem,
    Reason,
    TaskResult,
)
from hibiscusstack.dispatch.jobs import MAX_TASKS_PER_JOB
from hibiscusstack.exceptions import InvalidInputError

MAX_DETAIL_CHARACTERS = 4096
MAX_MILLISECONDS = 1 << 53
PHASES = {phase.value: phase for phase in JobPhase}


def encode_answer(answer: JobAnswer) -> dict[str, Any]:
    """Return the JSON object of a whole answer.

    >>> encode_answer(JobAnswer("j1", Outcome.SUCCEEDED))
    {'id': 'j1', 'outcome': 'succeeded', 'tasks': []}
    """
    fields: dict[str, Any] = {
        "id": answer.job_id,
        "outcome": answer.outcome.value,
        "tasks": [_encode_result(result) for result in answer.results],
    }
    if answer.problem is not None:
        fields["problem"] = encode_problem(answer.problem)
    return fields


def encode_problem(problem: Problem) -> dict[str, Any]:
    """Return the JSON object of a typed reason.

    >>> encode_problem(Problem(Reason.QUOTA, retry_after_ms=20))
    {'reason': 'quota-exceeded', 'detail': '', 'retry_after_ms': 20}
    """
    fields: dict[str, Any] = {
        "reason": problem.reason.value,
        "detail": problem.detail,
    }
    if problem.retry_after_ms is not None:
        fields["retry_after_ms"] = problem.retry_after_ms
    return fields


def encode_job_state(state: JobState) -> dict[str, Any]:
    """Return the JSON object of a job's state."""
    fields: dict[str, Any] = {
        "id": state.job_id,
        "phase": state.phase.value,
        "tasks": state.tasks,
        "tasks_ended": state.tasks_ended,
    }
    if state.answer is not None:
        fields["answer"] = encode_answer(state.answer)
    return fields


def decode_answer(value: Any) -> JobAnswer:
    """Return the answer in a parsed JSON object; fields of later versions pass.

    Raises :class:`~hibiscusstack.exceptions.InvalidInputError` if it isn't whole.

    >>> decode_answer({"id": "j1", "outcome": "succeeded", "tasks": []}).job_id
    'j1'
    """
    reader = FieldReader(value, "answer")
    items = reader.read_list("tasks", 0, MAX_TASKS_PER_JOB)
    return JobAnswer(
        job_id=reader.read_job_id("id"),
        outcome=_read_outcome(reader, "answer"),
        results=tuple(_decode_result(item, i) for i, item in enumerate(items)),
        problem=_decode_problem(reader.read_any("problem")),
    )


def decode_job_state(value: Any) -> JobState:
    """Return the state in a parsed JSON object; fields of later versions pass.

    Raises :class:`~hibiscusstack.exceptions.InvalidInputError` if a field is wrong.
    """
    reader = FieldReader(value)
    answer = reader.read_any("answer")
    phase = reader.read_name("phase")
    if phase not in PHASES:
        raise InvalidInputError("phase", "a known phase", phase)
    return JobState(
        job_id=reader.read_job_id("id"),
        phase=PHASES[phase],
        tasks=reader.read_integer("tasks", 0, MAX_TASKS_PER_JOB),
        tasks_ended=reader.read_integer("tasks_ended", 0, MAX_TASKS_PER_JOB),
        answer=None if answer is None else decode_answer(answer),
    )


def _encode_result(result: TaskResult) -> dict[str, Any]:
    fields: dict[str, Any] = {
        "index": result.index,
        "outcome": result.outcome.value,
        "value": result.value,
        "run_time_ms": result.run_time_ms,
    }
    if result.problem is not None:
        fields["problem"] = encode_problem(result.problem)
    return fields


def _decode_result(value: Any, index: int) -> TaskResult:
    path = f"answer.tasks[{index}]"
    reader = FieldReader(value, path)
    return TaskResult(
        index=reader.read_integer("index", index, index),
        outcome=_read_outcome(reader, path),
        value=reader.read_any("value"),
        problem=_decode_problem(reader.read_any("problem")),
        run_time_ms=reader.read_integer("run_time_ms", 0, MAX_MILLISECONDS),
    )


def _read_outcome(reader: FieldReader, path: str) -> Outcome:
    name = reader.read_name("outcome")
    try:
        return Outcome(name)
    except ValueError:
        raise InvalidInputError(f"{path}.outcome", "an outcome", name) from None


def _decode_problem(value: Any) -> Problem | None:
    if value is None:
        return None
    reader = FieldReader(value, "problem")
    name = reader.read_name("reason")
    try:
        reason = Reason(name)
    except ValueError:
        raise InvalidInputError("problem.reason", "a known reason", name) from None
    retry_after_ms = reader.read_any("retry_after_ms")
    if retry_after_ms is not None:
        retry_after_ms = FieldReader(value, "problem").read_integer(
            "retry_after_ms", 0, MAX_MILLISECONDS
        )
    detail = reader.read_text("detail", MAX_DETAIL_CHARACTERS, "")
    return Problem(reason, detail, retry_after_ms)
