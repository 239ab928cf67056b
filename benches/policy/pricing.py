"""A candidate admission: an exponential price of the load, tried against the plain one.

The price is that of Dufour, Paris, Leguay and Draief, "Online Bandwidth Calendaring:
On-the-Fly Admission, Scheduling, and Path Computation", equation 7: a demand is
admitted when its volume is worth the price of the resource, which grows as ``mu`` to
the power of the relative load. Here the resource is the slot time of a data centre
between now and the deadline of the job.
"""

__all__ = ["PricedAdmission", "PricedFleet"]

from collections.abc import Mapping

import attrs

from benches.policy.engines import EngineFleet
from benches.policy.world import World
from hibiscusstack.dispatch.answers import Problem, Reason
from hibiscusstack.dispatch.jobs import Job
from hibiscusstack.dispatch.loads import HomeLoad
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.dispatch.planning.admission import AdmissionControl
from hibiscusstack.dispatch.planning.estimates import Backlog, estimate_wait_ms
from hibiscusstack.dispatch.planning.policy_components import PolicyComponents
from hibiscusstack.dispatch.policy.policy import CurrentPolicy

WORTH_OF_A_SLOT_MS = 1.0
RETRY_AFTER_MS = 500


@attrs.frozen
class PricedAdmission:
    """The plain admission, after which a job must also be worth its price."""

    plain: AdmissionControl
    in_force: CurrentPolicy
    mu: float

    def admit(
        self,
        job: Job,
        class_name: str,
        loads: Mapping[HostName, HomeLoad],
        now_ms: int,
    ) -> Problem | None:
        """Return why the job is refused, or ``None`` when it is admitted."""
        backlog = Backlog.sum_of(loads.values())
        wait_ms = estimate_wait_ms(self.in_force.policy, backlog, class_name)
        relative_load = min(wait_ms / max(job.timeout_ms, 1), 1.0)
        has_room = backlog.free_slots >= len(job.tasks)
        if not has_room and self.mu**relative_load - 1 > WORTH_OF_A_SLOT_MS:
            return Problem(Reason.OVERLOADED, "not worth its price", RETRY_AFTER_MS)
        return self.plain.admit(job, class_name, loads, now_ms)

    def finished(self, job: Job, class_name: str, now_ms: int) -> None:
        """Account for the end of an admitted job."""
        self.plain.finished(job, class_name, now_ms)


class PricedFleet(EngineFleet):
    """The product's engines with the priced admission in place of the plain one."""

    def __init__(self, world: World, seed: str, mu: float) -> None:
        self._mu = mu
        super().__init__(world, seed)

    def _make_parts(self) -> PolicyComponents:
        parts = super()._make_parts()
        priced = PricedAdmission(parts.admission, parts.current_policy, self._mu)
        return attrs.evolve(parts, admission=priced)
