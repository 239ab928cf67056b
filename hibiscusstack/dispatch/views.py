"""Snapshots of the engine's state for operators."""

__all__ = ["QueueSnapshot", "TargetSnapshot"]

import attrs

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.dispatch.targets import TargetInfo


@attrs.frozen
class TargetSnapshot:
    """One target, its home, and how many tasks this host runs on it."""

    target: TargetInfo
    home: HostName | None
    running: int


@attrs.frozen
class QueueSnapshot:
    """Number of queued tasks of one class and team, and their expected run time."""

    class_name: str
    team: str
    tasks: int
    queued_ms: int
