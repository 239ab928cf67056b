"""Orders to targets that keep leases, and their replies."""

__all__ = [
    "RUN_DONE",
    "RUN_FAILED",
    "FencedOut",
    "HoldOrder",
    "HoldReply",
    "NotReached",
    "Refused",
    "ReplyLost",
    "RunEnd",
    "StartOrder",
    "Started",
    "StopOrder",
    "Stopped",
    "TargetOrders",
]

from typing import Protocol

import attrs

from hibiscusstack.pool.targets import ListedTarget

RUN_DONE = "done"
RUN_FAILED = "failed"


@attrs.frozen
class StartOrder:
    """Start ``run`` of ``task``; the lease then lasts until ``until_ms``.

    ``until_ms`` is on the target's clock. ``takeover`` numbers the sender's takeovers
    of targets, to tell whose reply a late one is; it is not sent. A run with a
    ``checkpoint`` goes on from there.
    """

    task: str
    run: int
    payload: str
    until_ms: int
    token: int
    takeover: int = 0
    checkpoint: str = ""


@attrs.frozen
class StopOrder:
    """Stop ``run`` of ``task``, also if it has not arrived yet."""

    task: str
    run: int
    token: int
    takeover: int = 0


@attrs.frozen
class HoldOrder:
    """Extend the lease, forget ends and list what runs and what has ended.

    The reply waits up to ``wait_ms`` for an end. Without ``until_ms`` the lease is
    left as it is. ``sent_ms`` is on the sender's clock and is not sent either.
    """

    token: int
    acked_through: int
    wait_ms: int
    until_ms: int | None = None
    takeover: int = 0
    sent_ms: float = 0.0


@attrs.frozen
class RunEnd:
    """The end of one run; ``number`` counts the ends of one life of a target.

    ``how`` is ``RUN_DONE``, ``RUN_FAILED`` or why the run brought no result.
    """

    number: int
    task: str
    run: int
    outcome: str
    checkpoint: str = ""


@attrs.frozen
class Started:
    """The run is there."""

    clock_ms: int


@attrs.frozen
class Stopped:
    """The run ends within the time of a stop, and can't start any more."""

    clock_ms: int


@attrs.frozen
class HoldReply:
    """What runs on a target and which ends it remembers.

    ``has_more`` says that it remembers more ends than it lists. ``checkpoints`` has the
    newest one of each active run that has any: task, run and checkpoint.
    """

    clock_ms: int
    instance_started_ms: int | None
    active: tuple[tuple[str, int], ...]
    ended: tuple[RunEnd, ...]
    has_more: bool = False
    checkpoints: tuple[tuple[str, int, str], ...] = ()


@attrs.frozen
class Refused:
    """The order was not carried out, for a typed reason."""

    reason: str
    clock_ms: int | None = None


@attrs.frozen
class FencedOut:
    """The target has seen a higher token."""


@attrs.frozen
class NotReached:
    """Nothing was written, so the order was not carried out."""

    cause: str


@attrs.frozen
class ReplyLost:
    """No reply came; the order may be carried out, at once or later."""

    cause: str


OrderFailure = Refused | FencedOut | NotReached | ReplyLost


class TargetOrders(Protocol):
    """Sends orders; each reply comes back through the coordinator's methods."""

    def start(self, target: ListedTarget, order: StartOrder) -> None:
        """Send a start."""

    def stop(self, target: ListedTarget, order: StopOrder) -> None:
        """Send a stop."""

    def hold(self, target: ListedTarget, order: HoldOrder) -> None:
        """Send a hold."""

    def forget(self, target: ListedTarget) -> None:
        """Close the connections to a target that is gone."""
