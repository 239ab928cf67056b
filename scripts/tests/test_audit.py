"""The audit finds every kind of wrong answer, and accepts right ones."""

import pytest

from scripts.audit import Finding, audit_submissions, count_starts
from scripts.submitting import Submission


def result(index, outcome="succeeded", value=None):
    return {
        "index": index,
        "outcome": outcome,
        "value": f"v{index}" if value is None else value,
        "run_time_ms": 1,
    }


def answer(outcome="succeeded", tasks=(0, 1), job_id="j"):
    return {"id": job_id, "outcome": outcome, "tasks": [result(i) for i in tasks]}


def submission(found, **more):
    tasks = [{"kind": "k", "payload": {"value": f"v{index}"}} for index in range(2)]
    return Submission("j", {"caller": "c", "tasks": tasks}, answer=found, **more)


STARTED = count_starts({"t1": {"j/0/1": 1}, "t2": {"j/1/1": 1}})


def test_a_whole_true_answer_is_clean():
    audit = audit_submissions([submission(answer())], STARTED)
    assert audit.is_clean
    assert audit.last_line() == (
        "submitted=1 answered=1 failed=0 not_run=0 unknown=0 started_twice=0"
    )


def foreign_value():
    found = answer()
    found["tasks"][1]["value"] = "another's"
    return found


def failed_task():
    found = answer("failed")
    found["tasks"][0]["outcome"] = "not_run"
    return found


@pytest.mark.parametrize(
    ("found", "starts", "finding"),
    [
        (None, STARTED, Finding.MISSING),
        (answer(tasks=(0,)), STARTED, Finding.PARTIAL),
        (answer(tasks=(1, 0)), STARTED, Finding.PARTIAL),
        (answer(job_id="other"), STARTED, Finding.FOREIGN),
        (foreign_value(), STARTED, Finding.FOREIGN),
        (answer("not_run", ()), STARTED, Finding.FALSE),
        (failed_task(), STARTED, Finding.FALSE),
        (answer(), {}, Finding.FALSE),
    ],
)
def test_a_wrong_answer_is_found(found, starts, finding):
    audit = audit_submissions([submission(found)], starts)
    assert finding in {kind for kind, _, _ in audit.findings}
    assert not audit.is_clean


def test_a_success_with_a_failed_task_is_partial():
    found = answer()
    found["tasks"][0]["outcome"] = "failed"
    audit = audit_submissions([submission(found)], STARTED)
    assert audit.findings[0][0] is Finding.PARTIAL


def test_an_empty_success_is_partial():
    audit = audit_submissions([submission(answer(tasks=()))], STARTED)
    assert audit.findings[0][0] is Finding.PARTIAL


def test_a_second_answer_that_differs_is_found():
    twice = submission(answer(), extra_answers=[answer("failed")])
    audit = audit_submissions([twice], STARTED)
    assert audit.findings[0][0] is Finding.CHANGED


def test_an_abandoned_id_must_not_have_started():
    starts = count_starts({"t1": {"old/0/1": 1, "j/0/1": 1, "j/1/1": 1}})
    audit = audit_submissions([submission(answer(), abandoned_ids=["old"])], starts)
    assert audit.findings == [(Finding.FALSE, "old", "not run, yet it started")]


def test_two_placements_of_a_task_are_two_starts():
    starts = count_starts({"t1": {"j/0/1": 1}, "t2": {"j/0/2": 1, "j/1/1": 1}})
    audit = audit_submissions([submission(answer())], starts)
    assert audit.started_twice == 1
    assert not audit.is_clean
