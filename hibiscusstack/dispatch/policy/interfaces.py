"""Interfaces to the policy-driven components that homes and owners use."""

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
    """Admission control: decides whether a job can be served in time."""

    def admit(
        self,
        job: Job,
        class_name: str,
        loads: Mapping[HostName, HomeLoad],
        now_ms: int,
    ) -> Problem | None:
        """Admit the job and return ``None``, or return why it is refused."""

    def finished(self, job: Job, class_name: str, now_ms: int) -> None:
        """Remove an ended job from the counts of work in progress."""


class TargetHealth(Protocol):
    """Health tracking: limits the work that each target gets."""

    def replace_targets(self, targets: Iterable[TargetInfo]) -> None:
        """Replace the targets that are tracked here."""

    def set_fleet_ejections(self, ejected_by_other_homes: int, targets: int) -> None:
        """Set the ejections by other homes, and the number of all targets.

        Both count the targets of this host's data centre.
        """

    def concurrency_limit(self, target: TargetInfo, now_ms: int) -> int:
        """Return the current limit on concurrent tasks of the target."""

    def count_ejected(self, now_ms: int) -> int:
        """Return the number of targets that are ejected and get no work now."""

    def record(
        self, target: str, is_success: bool, slowness: float, now_ms: int
    ) -> None:
        """Record the outcome of one start.

        ``slowness`` is the run time divided by the expected run time.
        """
