"""The interfaces through which the engine consults policy, and permissive defaults."""

__all__ = [
    "Admission",
    "AdmitEverything",
    "HomeLoad",
    "TargetHealth",
    "UnlimitedHealth",
]

from collections.abc import Iterable, Mapping
from typing import Protocol

import attrs

from hibiscusstack.dispatch.answers import Problem
from hibiscusstack.dispatch.jobs import Job
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.dispatch.targets import TargetInfo


@attrs.frozen
class HomeLoad:
    """What a home host last said of its targets and its queue."""

    free_slots: int
    queued_ms: int
    targets: int
    slots: int = 0
    ejected: int = 0
    queued_ms_by_class: tuple[tuple[str, int], ...] = ()

    def with_batch(self, class_name: str, tasks: int, work_ms: float) -> "HomeLoad":
        """Return the load that is expected once a batch has been placed.

        Tasks take free slots first; the rest counts as queued.

        >>> load = HomeLoad(1, 0, 1, slots=8).with_batch("checks", 3, 300.0)
        >>> load.free_slots, load.queued_ms, load.queued_ms_by_class
        (-2, 200, (('checks', 200),))
        """
        waiting = max(tasks - max(self.free_slots, 0), 0)
        added_ms = round(work_ms * waiting / tasks) if tasks else 0
        by_class = dict(self.queued_ms_by_class)
        if added_ms:
            by_class[class_name] = by_class.get(class_name, 0) + added_ms
        return attrs.evolve(
            self,
            free_slots=self.free_slots - tasks,
            queued_ms=self.queued_ms + added_ms,
            queued_ms_by_class=tuple(sorted(by_class.items())),
        )


class Admission(Protocol):
    """The decision whether a whole job can be served in time."""

    def admit(
        self,
        job: Job,
        class_name: str,
        loads: Mapping[HostName, HomeLoad],
        now_ms: int,
    ) -> Problem | None:
        """Return why the job is refused, or ``None`` when it is admitted."""

    def finished(self, job: Job, class_name: str, now_ms: int) -> None:
        """Account for the end of an admitted job."""


class TargetHealth(Protocol):
    """The judgement how much work a target should get."""

    def replace_targets(self, targets: Iterable[TargetInfo]) -> None:
        """Take over the targets that are judged here."""

    def note_fleet(self, ejected_elsewhere: int, targets: int) -> None:
        """Take over what other homes have ejected, and of how many targets."""

    def most_running(self, target: TargetInfo, now_ms: int) -> int:
        """Return how many tasks the target may run at once now."""

    def ejected(self, now_ms: int) -> int:
        """Return how many targets get nothing now."""

    def record(
        self, target: str, is_success: bool, run_time_ms: int, now_ms: int
    ) -> None:
        """Account for one start that has ended."""


class AdmitEverything:
    """An admission without limits."""

    def admit(
        self,
        job: Job,
        class_name: str,
        loads: Mapping[HostName, HomeLoad],
        now_ms: int,
    ) -> Problem | None:
        """Admit the job."""
        return None

    def finished(self, job: Job, class_name: str, now_ms: int) -> None:
        """Do nothing."""


class UnlimitedHealth:
    """A judgement that trusts every target."""

    def replace_targets(self, targets: Iterable[TargetInfo]) -> None:
        """Do nothing."""

    def note_fleet(self, ejected_elsewhere: int, targets: int) -> None:
        """Do nothing."""

    def most_running(self, target: TargetInfo, now_ms: int) -> int:
        """Return all slots of the target."""
        return target.slots

    def ejected(self, now_ms: int) -> int:
        """Return none."""
        return 0

    def record(
        self, target: str, is_success: bool, run_time_ms: int, now_ms: int
    ) -> None:
        """Do nothing."""
