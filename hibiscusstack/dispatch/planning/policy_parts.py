"""The parts of one host that carry out the published policy, made together."""

__all__ = ["PolicyParts", "make_policy_parts"]

import attrs

from hibiscusstack.dispatch.observation.health import HealthTable
from hibiscusstack.dispatch.observation.run_times import RunTimes
from hibiscusstack.dispatch.planning.admission import AdmissionControl
from hibiscusstack.dispatch.policy.interfaces import Admission, TargetHealth
from hibiscusstack.dispatch.policy.policy import PolicyInForce
from hibiscusstack.dispatch.queueing.shares import ShareQueue
from hibiscusstack.dispatch.queueing.task_queue import TaskQueue


@attrs.frozen
class PolicyParts:
    """Queue, admission and health that share a policy and learned run times."""

    in_force: PolicyInForce
    queue: TaskQueue
    admission: Admission
    health: TargetHealth
    run_times: RunTimes


def make_policy_parts(in_force: PolicyInForce | None = None) -> PolicyParts:
    """Return the parts for one host; a change of ``in_force`` counts in all of them.

    >>> make_policy_parts().queue.queued_ms()
    0
    """
    in_force = in_force or PolicyInForce()
    run_times = RunTimes()
    return PolicyParts(
        in_force,
        ShareQueue(in_force, run_times),
        AdmissionControl(in_force, run_times),
        HealthTable(in_force),
        run_times,
    )
