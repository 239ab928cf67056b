"""The interfaces through which the engine consults policy, and permissive defaults."""

__all__ = [
    "Admission",
    "AdmitEverything",
    "HomeLoad",
    "TargetHealth",
    "UnlimitedHealth",
]

from collections.abc import Mapping
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

    def may_start(self, target: TargetInfo, running: int, now_ms: int) -> bool:
        """Tell whether a target that runs ``running`` tasks may get one more."""

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

    def may_start(self, target: TargetInfo, running: int, now_ms: int) -> bool:
        """Allow every start."""
        return True

    def record(
        self, target: str, is_success: bool, run_time_ms: int, now_ms: int
    ) -> None:
        """Do nothing."""
