"""What operators see of the engine's state."""

__all__ = ["QueueSnapshot", "TargetSnapshot"]

import attrs

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.dispatch.targets import TargetInfo


@attrs.frozen
class TargetSnapshot:
    """One target with its home, and the tasks that this host runs on it."""

    target: TargetInfo
    home: HostName | None
    running: int


@attrs.frozen
class QueueSnapshot:
    """How many tasks of one class and team wait, and their expected run time."""

    class_name: str
    team: str
    tasks: int
    queued_ms: int
