"""The components of a host that apply the policy in force."""

__all__ = ["PolicyComponents", "make_policy_components"]

import attrs

from hibiscusstack.dispatch.observation.health import HealthTable
from hibiscusstack.dispatch.observation.run_times import RunTimes
from hibiscusstack.dispatch.planning.admission import AdmissionControl
from hibiscusstack.dispatch.policy.interfaces import Admission, TargetHealth
from hibiscusstack.dispatch.policy.policy import PolicyInForce
from hibiscusstack.dispatch.queueing.fair_share import FairShareQueue
from hibiscusstack.dispatch.queueing.task_queue import TaskQueue


@attrs.frozen
class PolicyComponents:
    """Queue, admission and health, with their common policy and learned run times."""

    in_force: PolicyInForce
    queue: TaskQueue
    admission: Admission
    health: TargetHealth
    run_times: RunTimes


def make_policy_components(in_force: PolicyInForce | None = None) -> PolicyComponents:
    """Return the components of one host; all of them follow changes of ``in_force``.

    >>> make_policy_components().queue.queued_ms()
    0
    """
    in_force = in_force or PolicyInForce()
    run_times = RunTimes()
    return PolicyComponents(
        in_force,
        FairShareQueue(in_force, run_times),
        AdmissionControl(in_force, run_times),
        HealthTable(in_force),
        run_times,
    )
