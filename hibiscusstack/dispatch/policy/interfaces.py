"""The interfaces through which homes and owners consult what carries out the policy."""

__all__ = [
    "Admission",
    "TargetHealth",
]

from collections.abc import Iterable, Mapping
from typing import Protocol

from hibiscusstack.dispatch.answers import Problem
from hibiscusstack.dispatch.jobs import Job
from hibiscusstack.dispatch.loads import HomeLoad
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.dispatch.targets import TargetInfo


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

    def set_fleet_ejections(self, ejected_by_other_homes: int, targets: int) -> None:
        """Take over what other homes have ejected, and of how many targets."""

    def concurrency_limit(self, target: TargetInfo, now_ms: int) -> int:
        """Return how many tasks the target may run at once now."""

    def count_ejected(self, now_ms: int) -> int:
        """Return how many targets get nothing now."""

    def record(
        self, target: str, is_success: bool, slowness: float, now_ms: int
    ) -> None:
        """Account for one start that has ended."""
