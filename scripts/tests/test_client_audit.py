"""Tests that the audit finds each planted violation."""

import pytest

from hibiscusstack.dispatch.answers import (
    JobAnswer,
    Outcome,
    Reason,
    TaskResult,
    not_run,
)
from hibiscusstack.dispatch.jobs import Task
from scripts.client_audit import audit_answers

TASKS = (Task(0, "k", {"value": "a"}), Task(1, "k", {"value": "b"}))
STARTS = {("j1", 0): 1, ("j1", 1): 1}


def answer_of(*values: str) -> JobAnswer:
    results = [
        TaskResult(index, Outcome.SUCCEEDED, value)
        for index, value in enumerate(values)
    ]
    return JobAnswer("j1", Outcome.SUCCEEDED, tuple(results))


def test_a_true_answer_passes() -> None:
    audit = audit_answers([(TASKS, answer_of("a", "b"))], STARTS)
    assert audit.violations == 0
    assert audit.outcomes == {Outcome.SUCCEEDED: 1}


@pytest.mark.parametrize(
    ("answer", "starts", "kind"),
    [
        (answer_of("a", "b"), STARTS | {("j1", 0): 2}, "started_twice"),
        (answer_of("a", "b"), STARTS | {("j0", 0): 1}, "started_unaccounted"),
        (not_run("j1", Reason.QUOTA), {("j1", 1): 1}, "false_not_run"),
        (
            JobAnswer("j1", Outcome.FAILED, (TaskResult(0, Outcome.NOT_RUN),)),
            {("j1", 0): 1},
            "false_not_run",
        ),
        (answer_of("a"), STARTS, "partial"),
        (answer_of("a", "x"), STARTS, "foreign"),
    ],
)
def test_each_planted_violation_is_found(
    answer: JobAnswer, starts: dict[tuple[str, int], int], kind: str
) -> None:
    audit = audit_answers([(TASKS, answer)], starts)
    assert (audit.violations, getattr(audit, kind)) == (1, 1)
