"""The parts of one host that carry out the published policy, made together."""

__all__ = ["PolicyParts", "make_policy_parts"]

import attrs

from hibiscusstack.dispatch.admission import AdmissionControl
from hibiscusstack.dispatch.health import HealthTable
from hibiscusstack.dispatch.policy import PolicyInForce
from hibiscusstack.dispatch.run_times import RunTimes
from hibiscusstack.dispatch.shares import ShareQueue


@attrs.frozen
class PolicyParts:
    """Queue, admission and health that share a policy and learned run times."""

    queue: ShareQueue
    admission: AdmissionControl
    health: HealthTable
    run_times: RunTimes


def make_policy_parts(in_force: PolicyInForce) -> PolicyParts:
    """Return the parts for one host; a change of ``in_force`` counts in all of them.

    >>> make_policy_parts(PolicyInForce()).queue.queued_ms()
    0
    """
    run_times = RunTimes()
    return PolicyParts(
        ShareQueue(in_force, run_times),
        AdmissionControl(in_force, run_times),
        HealthTable(in_force),
        run_times,
    )
