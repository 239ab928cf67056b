"""Orders to targets that run work under a lease, and the replies.

A hold is a long-polling request: it renews the lease of the target and returns the
runs and run ends of the target.
"""

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
    """Start ``run`` of ``task`` and renew the lease until ``until_ms``.

    ``until_ms`` is on the target's clock. ``takeover_number`` is the number of the
    sender's takeover of the target, by which late replies to an earlier takeover are
    ignored. It is not sent. A run with a ``checkpoint`` resumes from there.
    """

    task: str
    run: int
    payload: str
    until_ms: int
    token: int
    takeover_number: int = 0
    checkpoint: str = ""


@attrs.frozen
class StopOrder:
    """Stop ``run`` of ``task``, even if its start has not arrived yet."""

    task: str
    run: int
    token: int
    takeover_number: int = 0


@attrs.frozen
class HoldOrder:
    """Renew the lease, acknowledge run ends and list the runs and their ends.

    The target keeps no ends up to number ``acked_through``. It waits up to ``wait_ms``
    for an end before it replies. Without ``until_ms`` the lease is not renewed.
    ``sent_ms`` is on the sender's clock. ``takeover_number`` and ``sent_ms`` are not
    sent.

    With ``acked_on``, ends are acknowledged only if the order is sent on the connection
    of that number or an earlier one. A later one may lead to a new instance of the
    target, which numbers its ends from the start.
    """

    token: int
    acked_through: int
    wait_ms: int
    until_ms: int | None = None
    takeover_number: int = 0
    sent_ms: float = 0.0
    acked_on: int | None = None


@attrs.frozen
class RunEnd:
    """The end of one run; ``number`` counts the run ends of one target instance.

    ``outcome`` is ``RUN_DONE``, ``RUN_FAILED`` or the reason why there is no result.
    """

    number: int
    task: str
    run: int
    outcome: str
    checkpoint: str = ""


@attrs.frozen
class Started:
    """The target has the run."""

    clock_ms: int


@attrs.frozen
class Stopped:
    """The run ends within the time allowed for a stop and cannot start any more."""

    clock_ms: int


@attrs.frozen
class HoldReply:
    """The active runs of a target and the run ends that it keeps.

    ``has_more`` is set if the target keeps more ends than it lists. ``checkpoints`` has
    task, run and newest checkpoint of each active run that has one. ``connection`` is
    the number of the connection on which the reply came, ``None`` if it isn't known.
    """

    clock_ms: int
    instance_started_ms: int | None
    active: tuple[tuple[str, int], ...]
    ended: tuple[RunEnd, ...]
    has_more: bool = False
    checkpoints: tuple[tuple[str, int, str], ...] = ()
    connection: int | None = attrs.field(default=None, eq=False)


@attrs.frozen
class Refused:
    """The target refused the order; ``reason`` is a reason code."""

    reason: str
    clock_ms: int | None = None


@attrs.frozen
class FencedOut:
    """The target has seen a higher token."""


@attrs.frozen
class NotReached:
    """Nothing was sent, so the order was not carried out.

    With ``is_refused`` the address refused the connection.
    """

    cause: str
    is_refused: bool = False


@attrs.frozen
class ReplyLost:
    """No reply arrived; the order may be carried out, now or later."""

    cause: str


OrderFailure = Refused | FencedOut | NotReached | ReplyLost


class TargetOrders(Protocol):
    """Sends orders; each reply is passed to a method of the coordinator."""

    def start(self, target: ListedTarget, order: StartOrder) -> None:
        """Send a start order."""

    def stop(self, target: ListedTarget, order: StopOrder) -> None:
        """Send a stop order."""

    def hold(self, target: ListedTarget, order: HoldOrder) -> None:
        """Send a hold."""

    def close_connections(self, target: ListedTarget) -> None:
        """Close the connections to a target instance that has ended."""
