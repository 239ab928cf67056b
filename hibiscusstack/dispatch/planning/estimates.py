"""Estimates of how long newly admitted work would wait.

A home is the host that queues and starts the tasks of its targets.
"""

__all__ = ["Backlog", "estimate_wait_ms"]

from collections.abc import Iterable, Mapping

import attrs

from hibiscusstack.dispatch.loads import HomeLoad
from hibiscusstack.dispatch.policy.policy import Policy


@attrs.frozen
class Backlog:
    """The queued work of several homes, and the slots that serve it.

    ``queued_ms_by_class`` is the expected run time of the queued tasks of each class.
    """

    slots: int
    free_slots: int
    queued_ms_by_class: Mapping[str, float]

    @classmethod
    def sum_of(cls, loads: Iterable[HomeLoad]) -> "Backlog":
        """Return the sum of the loads of several homes."""
        slots = free_slots = 0
        queued_ms_by_class: dict[str, float] = {}
        for load in loads:
            slots += load.slots
            free_slots += max(load.free_slots, 0)
            for name, queued_ms in load.queued_ms_by_class:
                queued_ms_by_class[name] = queued_ms_by_class.get(name, 0.0) + queued_ms
        return cls(slots, free_slots, queued_ms_by_class)


def estimate_wait_ms(
    policy: Policy, backlog: Backlog, class_name: str, work_ms: float = 0.0
) -> float:
    """Return the milliseconds until ``work_ms`` more work of a class is served.

    Without ``work_ms`` this is the wait until a new task of the class would start.
    The result is the lesser of two upper bounds:

    - The class alone is served at the rate of its ``guaranteed_part``, a fraction of
      the slots.
    - The class and all classes of the same or higher ``urgency`` are served at the
      rate that the guarantees of the less urgent waiting classes leave.

    If nothing is queued, only ``work_ms`` counts. Without any slot the result is
    infinite.

    >>> policy = Policy()
    >>> estimate_wait_ms(policy, Backlog(10, 0, {"default": 5_000.0}), "default")
    500.0

    The cost is linear in the number of classes with queued work.
    """
    if not backlog.slots:
        return float("inf")
    own = policy.class_named(class_name)
    own_ms = backlog.queued_ms_by_class.get(class_name, 0.0) + work_ms
    ahead_ms = own_ms
    reserved_fraction = 0.0
    for name, queued_ms in backlog.queued_ms_by_class.items():
        if name == class_name or queued_ms <= 0:
            continue
        other = policy.class_named(name)
        if other.urgency >= own.urgency:
            ahead_ms += queued_ms
        else:
            reserved_fraction += other.guaranteed_part
    estimates_ms = []
    if own.guaranteed_part:
        estimates_ms.append(own_ms / (own.guaranteed_part * backlog.slots))
    if reserved_fraction < 1.0:
        estimates_ms.append(ahead_ms / ((1.0 - reserved_fraction) * backlog.slots))
    return min(estimates_ms, default=float("inf"))
