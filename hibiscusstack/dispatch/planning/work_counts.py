"""Counts of work in progress by caller, team and class."""

__all__ = ["WorkCount", "WorkCounts"]

import attrs

from hibiscusstack.dispatch.jobs import Job


@attrs.define
class WorkCount:
    """Jobs, tasks and expected run time admitted and not yet answered."""

    jobs: int = 0
    tasks: int = 0
    work_ms: float = 0.0

    def add(self, tasks: int, work_ms: float, sign: int = 1) -> None:
        """Add one job of ``tasks`` tasks, or subtract it with a ``sign`` of -1."""
        self.jobs += sign
        self.tasks += sign * tasks
        self.work_ms += sign * work_ms


class WorkCounts:
    """Work in progress: total, by caller, by team, by class, and by class and team.

    No entry is kept for a caller, team or class with nothing in progress.

    >>> counts = WorkCounts()
    >>> job = Job("j1", "desk", (), team="office")
    >>> counts.add(job, "checks", 250.0)
    >>> counts.of_team("office").jobs
    1
    >>> counts.remove(job, "checks", 250.0)
    >>> counts.of_team("office").jobs
    0
    """

    def __init__(self) -> None:
        self.total = WorkCount()
        self._counts: dict[tuple[str, ...], WorkCount] = {}
        self._team_counts: dict[str, int] = {}

    def add(self, job: Job, class_name: str, work_ms: float) -> None:
        """Add an admitted job."""
        self.total.add(len(job.tasks), work_ms)
        if not self.of_class_and_team(class_name, job.team).jobs:
            self._team_counts[class_name] = self.teams_in(class_name) + 1
        for key in _keys_of(job, class_name):
            counted = self._counts.setdefault(key, WorkCount())
            counted.add(len(job.tasks), work_ms)

    def remove(self, job: Job, class_name: str, work_ms: float) -> None:
        """Subtract a job that was added by :meth:`add` with the same arguments."""
        self.total.add(len(job.tasks), work_ms, -1)
        for key in _keys_of(job, class_name):
            counted = self._counts[key]
            counted.add(len(job.tasks), work_ms, -1)
            if not counted.jobs:
                del self._counts[key]
        if not self.of_class_and_team(class_name, job.team).jobs:
            self._team_counts[class_name] -= 1

    def of_caller(self, caller: str) -> WorkCount:
        """Return the work in progress of one caller."""
        return self._counts.get(("caller", caller), WorkCount())

    def of_team(self, team: str) -> WorkCount:
        """Return the work in progress of one team."""
        return self._counts.get(("team", team), WorkCount())

    def of_class(self, class_name: str) -> WorkCount:
        """Return the work in progress of one class."""
        return self._counts.get(("class", class_name), WorkCount())

    def teams_in(self, class_name: str) -> int:
        """Return the number of teams with work in progress in one class."""
        return self._team_counts.get(class_name, 0)

    def of_class_and_team(self, class_name: str, team: str) -> WorkCount:
        """Return the work in progress of one team in one class."""
        return self._counts.get(("class", class_name, team), WorkCount())


def _keys_of(job: Job, class_name: str) -> tuple[tuple[str, ...], ...]:
    return (
        ("caller", job.caller),
        ("team", job.team),
        ("class", class_name),
        ("class", class_name, job.team),
    )
