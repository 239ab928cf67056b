"""What one run leaves behind: the words of callers, targets, hosts and operators.

Every ``_ms`` is a reading of this machine's monotonic clock.
"""

__all__ = [
    "Attempt",
    "ConfigurationSeen",
    "GracefulStop",
    "History",
    "LeavingTarget",
    "Published",
    "TaskStart",
    "Unavailable",
    "read_journal",
]

import json
import sys
from pathlib import Path

import attrs

from scripts.submitting import Submission


@attrs.frozen
class Attempt:
    """One request to submit a job; ``status`` is 0 when no answer came."""

    job_id: str
    host: str
    began_ms: int
    ended_ms: int
    status: int | None
    has_waited_in_vain: bool = False


@attrs.frozen
class TaskStart:
    """One start that a target recorded."""

    at_ms: int
    target: str
    task_id: str

    @property
    def task(self) -> str:
        """Return the task as JOB/INDEX, whatever its placement."""
        return self.task_id.rsplit("/", 1)[0]


@attrs.frozen
class LeavingTarget:
    """A target that the live list shows as leaving from ``at_ms`` on.

    ``until_ms`` is when another process took its name and place.
    """

    target: str
    at_ms: int
    until_ms: int = sys.maxsize


@attrs.frozen
class GracefulStop:
    """A host that was told to stop, and the exit code of its process."""

    host: str
    at_ms: int
    exit_code: int


@attrs.frozen
class ConfigurationSeen:
    """The version that one process of a host had in force."""

    host: str
    process: int
    at_ms: int
    offset: int


@attrs.frozen
class Published:
    """An operator's change; ``offset`` is 0 unless it was called accepted."""

    parent: int
    offset: int
    answered_ms: int
    outcome: str


@attrs.frozen
class Unavailable:
    """A time in which a host was paused, dead or being started."""

    host: str
    from_ms: int
    to_ms: int


@attrs.define
class History:
    """One run."""

    seed: int
    faults: list[str] = attrs.field(factory=list)
    not_applied: list[str] = attrs.field(factory=list)
    submissions: list[Submission] = attrs.field(factory=list)
    attempts: list[Attempt] = attrs.field(factory=list)
    starts: list[TaskStart] = attrs.field(factory=list)
    leaving: list[LeavingTarget] = attrs.field(factory=list)
    stops: list[GracefulStop] = attrs.field(factory=list)
    seen: list[ConfigurationSeen] = attrs.field(factory=list)
    published: list[Published] = attrs.field(factory=list)
    unavailable: list[Unavailable] = attrs.field(factory=list)


def read_journal(path: Path) -> list[TaskStart]:
    """Return the starts in a target's journal; a line cut short is left out."""
    if not path.exists():
        return []
    lines = [line for line in path.read_text().splitlines() if line.endswith("}")]
    return [TaskStart(**json.loads(line)) for line in lines]
