"""The components of a host that apply its current policy."""

__all__ = ["PolicyComponents", "make_policy_components"]

import attrs

from hibiscusstack.dispatch.observation.health import HealthTable
from hibiscusstack.dispatch.observation.run_times import RunTimes
from hibiscusstack.dispatch.planning.admission import AdmissionControl
from hibiscusstack.dispatch.policy.interfaces import Admission, TargetHealth
from hibiscusstack.dispatch.policy.policy import CurrentPolicy
from hibiscusstack.dispatch.queueing.fair_share import FairShareQueue
from hibiscusstack.dispatch.queueing.task_queue import TaskQueue


@attrs.frozen
class PolicyComponents:
    """Queue, admission and health, with their common policy and learned run times."""

    current_policy: CurrentPolicy
    queue: TaskQueue
    admission: Admission
    health: TargetHealth
    run_times: RunTimes


def make_policy_components(
    current_policy: CurrentPolicy | None = None,
) -> PolicyComponents:
    """Return the components of one host; all follow changes of ``current_policy``.

    >>> make_policy_components().queue.queued_ms()
    0
    """
    current_policy = current_policy or CurrentPolicy()
    run_times = RunTimes()
    return PolicyComponents(
        current_policy,
        FairShareQueue(current_policy, run_times),
        AdmissionControl(current_policy, run_times),
        HealthTable(current_policy),
        run_times,
    )
