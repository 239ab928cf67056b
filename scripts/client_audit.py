"""What the targets' record says of the answers that a client library gave."""

__all__ = ["ClientAudit", "audit_answers"]

from collections.abc import Iterable, Mapping

import attrs

from hibiscusstack.dispatch.answers import JobAnswer, Outcome
from hibiscusstack.dispatch.jobs import Task


@attrs.define
class ClientAudit:
    """Counts of each outcome and of each kind of violation.

    ``started_unaccounted`` counts jobs that started under an id which no answer
    carries, so that work ran for an id that the client had given up.
    """

    outcomes: dict[Outcome, int] = attrs.field(factory=dict)
    started_twice: int = 0
    started_unaccounted: int = 0
    false_not_run: int = 0
    partial: int = 0
    foreign: int = 0

    @property
    def violations(self) -> int:
        """The number of violations of every kind."""
        return (
            self.started_twice
            + self.started_unaccounted
            + self.false_not_run
            + self.partial
            + self.foreign
        )


def audit_answers(
    jobs: Iterable[tuple[tuple[Task, ...], JobAnswer]],
    starts: Mapping[tuple[str, int], int],
) -> ClientAudit:
    """Return what holds of jobs and answers, given starts by (job id, index).

    Each task is expected to carry the value that it returns as ``payload["value"]``,
    different for every task of every job.
    """
    audit = ClientAudit()
    audit.started_twice = sum(count > 1 for count in starts.values())
    answered_ids = set()
    for tasks, answer in jobs:
        answered_ids.add(answer.job_id)
        audit.outcomes[answer.outcome] = audit.outcomes.get(answer.outcome, 0) + 1
        _audit_one(audit, tasks, answer, starts)
    started_ids = {job_id for job_id, _ in starts}
    audit.started_unaccounted = len(started_ids - answered_ids)
    return audit


def _audit_one(
    audit: ClientAudit,
    tasks: tuple[Task, ...],
    answer: JobAnswer,
    starts: Mapping[tuple[str, int], int],
) -> None:
    if answer.outcome is Outcome.NOT_RUN:
        audit.false_not_run += any((answer.job_id, t.index) in starts for t in tasks)
    for result in answer.results:
        has_started = (answer.job_id, result.index) in starts
        audit.false_not_run += has_started and result.outcome is Outcome.NOT_RUN
    if answer.outcome is not Outcome.SUCCEEDED:
        return
    values = [result.value for result in answer.results]
    expected = [task.payload["value"] for task in tasks]
    audit.partial += len(values) != len(expected)
    audit.foreign += any(value not in expected for value in values)
