"""The comparison of what callers were told with what targets recorded."""

__all__ = ["Audit", "Finding", "audit_submissions", "count_starts"]

from collections import Counter
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Any

import attrs

from scripts.submitting import Submission


class Finding(Enum):
    """What may be wrong with an answer."""

    PARTIAL = "partial"
    FOREIGN = "foreign"
    FALSE = "false"
    CHANGED = "changed"
    MISSING = "missing"


@attrs.define
class Audit:
    """The counts of all answers, and every finding with its job."""

    outcomes: Counter[str] = attrs.field(factory=Counter)
    submitted: int = 0
    started_twice: int = 0
    findings: list[tuple[Finding, str, str]] = attrs.field(factory=list)

    @property
    def is_clean(self) -> bool:
        """Tell whether every answer was whole, its caller's own, and true."""
        return not self.findings and not self.started_twice

    def last_line(self) -> str:
        """Return the counts as one line of key=value pairs."""
        answered = sum(self.outcomes.values())
        return (
            f"submitted={self.submitted} answered={answered}"
            f" failed={self.outcomes['failed']} not_run={self.outcomes['not_run']}"
            f" unknown={self.outcomes['unknown']} started_twice={self.started_twice}"
        )


def count_starts(
    by_target: Mapping[str, Mapping[str, int]],
) -> Counter[tuple[str, int]]:
    """Return how often each task started, as (job id, index), on any target.

    The targets know a task as JOB/INDEX/BATCH; two placements of one task are two
    starts of it.

    >>> count_starts({"t1": {"j/0/1": 1}, "t2": {"j/0/2": 1}})
    Counter({('j', 0): 2})
    """
    starts: Counter[tuple[str, int]] = Counter()
    for counts in by_target.values():
        for task_id, count in counts.items():
            job_id, index, _ = task_id.rsplit("/", 2)
            starts[job_id, int(index)] += count
    return starts


def audit_submissions(
    submissions: Iterable[Submission], starts: Mapping[tuple[str, int], int]
) -> Audit:
    """Return what is wrong with the answers, given the targets' own record."""
    audit = Audit()
    audit.started_twice = sum(count > 1 for count in starts.values())
    started_jobs = {job_id for job_id, _ in starts}
    for submission in submissions:
        audit.submitted += 1
        for job_id in submission.abandoned_ids:
            if job_id in started_jobs:
                audit.findings.append(
                    (Finding.FALSE, job_id, "not run, yet it started")
                )
        _check(audit, submission, starts)
    return audit


def _check(
    audit: Audit, submission: Submission, starts: Mapping[tuple[str, int], int]
) -> None:
    if submission.answer is None:
        found = (Finding.MISSING, submission.job_id, f"{submission.attempts} attempts")
        audit.findings.append(found)
        return
    audit.outcomes[submission.outcome] += 1
    for answer in [submission.answer, *submission.extra_answers]:
        for kind, detail in _faults_of(answer, submission, starts):
            audit.findings.append((kind, submission.job_id, detail))
    for answer in submission.extra_answers:
        if _is_contradiction(submission.answer, answer):
            found = (Finding.CHANGED, submission.job_id, "a resubmission differs")
            audit.findings.append(found)


def _faults_of(
    answer: dict[str, Any],
    submission: Submission,
    starts: Mapping[tuple[str, int], int],
) -> list[tuple[Finding, str]]:
    if answer["id"] != submission.job_id:
        return [(Finding.FOREIGN, f"the answer of {answer['id']}")]
    tasks = submission.body["tasks"]
    results = answer["tasks"]
    faults = []
    if [result["index"] for result in results] not in ([], list(range(len(tasks)))):
        faults.append((Finding.PARTIAL, f"{len(results)} of {len(tasks)} tasks"))
    outcomes = {result["outcome"] for result in results}
    if answer["outcome"] == "succeeded" and outcomes != {"succeeded"}:
        faults.append((Finding.PARTIAL, f"a success with {sorted(outcomes)}"))
    if answer["outcome"] == "not_run":
        started = sum((answer["id"], index) in starts for index in range(len(tasks)))
        if started:
            faults.append((Finding.FALSE, f"not run, yet {started} tasks started"))
    for result in results:
        faults += _faults_of_result(answer["id"], result, tasks, starts)
    return faults


def _faults_of_result(
    job_id: str,
    result: dict[str, Any],
    tasks: list[dict[str, Any]],
    starts: Mapping[tuple[str, int], int],
) -> list[tuple[Finding, str]]:
    index, outcome = result["index"], result["outcome"]
    has_started = (job_id, index) in starts
    if outcome == "not_run" and has_started:
        return [(Finding.FALSE, f"task {index} is told as not run, yet it started")]
    if outcome == "succeeded" and not has_started:
        return [(Finding.FALSE, f"task {index} is told as run, yet it never started")]
    expected = tasks[index].get("payload", {}).get("value")
    if outcome == "succeeded" and result["value"] != expected:
        return [(Finding.FOREIGN, f"task {index} has the value {result['value']!r}")]
    return []


def _is_contradiction(first: dict[str, Any], second: dict[str, Any]) -> bool:
    """Tell whether two answers to one job differ; *unknown* claims nothing."""
    if "unknown" in (first["outcome"], second["outcome"]):
        return False
    return (first["outcome"], first["tasks"]) != (second["outcome"], second["tasks"])
