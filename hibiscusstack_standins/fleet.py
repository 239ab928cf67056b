"""Many stand-in targets in one process, and the control of their faults."""

__all__ = ["FleetPlan", "Target", "TargetFleet", "counts_by_task"]

from collections import Counter

import attrs
from klein import Klein
from twisted.internet.interfaces import IListeningPort, IReactorCore
from twisted.web.http import Request
from twisted.web.server import Site

from hibiscusstack.exceptions import InvalidInputError
from hibiscusstack_standins.faults import TargetFaults, faults_from_json
from hibiscusstack_standins.serving import (
    SilenceableFactory,
    answer_json,
    answer_problem,
    listen,
    read_json,
)
from hibiscusstack_standins.targets import TargetResource
from hibiscusstack_standins.worker import OnStart, TargetWorker


@attrs.frozen
class FleetPlan:
    """How many targets to serve and what the live list says of them."""

    count: int
    prefix: str = "t"
    address: str = "127.0.0.1"
    data_centre: str = "dc1"
    slots: int = 8
    connections: int = 64
    rack_size: int = 8
    seed: int = 0


@attrs.frozen
class Target:
    """One served target."""

    name: str
    rack: str
    resource: TargetResource
    factory: SilenceableFactory
    listening: IListeningPort


def counts_by_task(counts: Counter[str]) -> Counter[str]:
    """Return the starts of each ``JOB/INDEX``, summed over its placements.

    >>> counts_by_task(Counter({"j/0/7": 1, "j/0/9": 1}))
    Counter({'j/0': 2})
    """
    by_task: Counter[str] = Counter()
    for task_id, count in counts.items():
        task, _, _batch = task_id.rpartition("/")
        by_task[task if "/" in task else task_id] += count
    return by_task


class TargetFleet:
    """Serves the targets of a plan, each on its own port."""

    def __init__(
        self, reactor: IReactorCore, plan: FleetPlan, on_start: OnStart | None = None
    ) -> None:
        self._reactor = reactor
        self._on_start = on_start
        self._plan = plan
        self.targets = {t.name: t for t in map(self._serve, range(plan.count))}

    def _serve(self, index: int) -> Target:
        plan = self._plan
        name = f"{plan.prefix}{index + 1}"
        worker = TargetWorker(name, plan.slots, self._reactor, self._on_start)
        resource = TargetResource(worker, self._reactor, plan.seed)
        site = Site(resource)
        site.noisy = False
        factory = SilenceableFactory(site)
        listening = listen(self._reactor, factory, plan.address, 0)
        rack = f"{plan.data_centre}-rack{index // plan.rack_size + 1}"
        return Target(name, rack, resource, factory, listening)

    def host_entries(self) -> list[dict]:
        """Return the targets as entries of the live list."""
        return [self._entry_of(target) for target in self.targets.values()]

    def _entry_of(self, target: Target) -> dict:
        is_leaving = target.resource.faults.leaving
        return {
            "name": target.name,
            "role": "target",
            "address": self._plan.address,
            "port": target.listening.getHost().port,
            "data_centre": self._plan.data_centre,
            "rack": target.rack,
            "state": "leaving" if is_leaving else "live",
            "slots": self._plan.slots,
            "connections": self._plan.connections,
            "labels": {"rack": target.rack},
        }

    def set_faults(self, names: list[str], faults: TargetFaults) -> None:
        """Give the named targets these faults in place of those they had."""
        for name in names:
            self._target(name).resource.faults = faults

    def silence(self, names: list[str]) -> int:
        """Silence the open connections of the named targets; return their number."""
        return sum(
            self._target(name).factory.silence_open_connections() for name in names
        )

    def record(self) -> dict:
        """Return what the targets were asked and did."""
        workers = [target.resource.worker for target in self.targets.values()]
        counts = sum((worker.starts for worker in workers), Counter())
        refused = sum((worker.refused for worker in workers), Counter())
        by_task = counts_by_task(counts)
        return {
            "counts": counts,
            "counts_by_task": by_task,
            "started": counts.total(),
            "started_twice": sum(count > 1 for count in by_task.values()),
            "refused": refused,
            "stops": sum(worker.stops for worker in workers),
            "by_target": {w.name: dict(w.starts) for w in workers},
        }

    def control(self) -> Klein:
        """Return the application that sets faults and shows the record."""
        app = Klein()

        @app.route("/control/faults", methods=["POST"])
        def faults(request: Request) -> int:
            return self._answer_faults(request)

        @app.route("/control/starts", methods=["GET"])
        def starts(request: Request) -> int:
            return answer_json(request, 200, self.record())

        @app.route("/control/hosts", methods=["GET"])
        def hosts(request: Request) -> int:
            return answer_json(request, 200, {"hosts": self.host_entries()})

        return app

    def _answer_faults(self, request: Request) -> int:
        try:
            body = read_json(request)
            names = body.pop("targets", None) or list(self.targets)
            silences = body.pop("silence_open_connections", False)
            faults = faults_from_json(TargetFaults, body)
            self.set_faults(names, faults)
        except (InvalidInputError, AttributeError, TypeError):
            return answer_problem(request, 400, "bad_request")
        silenced = self.silence(names) if silences else 0
        return answer_json(request, 200, {"silenced_connections": silenced})

    def _target(self, name: str) -> Target:
        target = self.targets.get(name)
        if target is None:
            raise InvalidInputError("targets", "names of targets", name)
        return target
