"""One run of a scenario with one seed."""

__all__ = ["play"]

from collections import Counter
from collections.abc import Callable, Iterator
from itertools import cycle

import attrs

from hibiscusstack_standins.estate.runs import Capacity
from hibiscusstack_standins.estate.worker import WorkerPlan
from hibiscusstack_standins.lab.callers import Callers
from hibiscusstack_standins.lab.faults import FaultPlayer
from hibiscusstack_standins.lab.figures import RunFigures, count_figures
from hibiscusstack_standins.lab.load import draw_arrivals, queue_name
from hibiscusstack_standins.lab.scenario import Scenario
from hibiscusstack_standins.lab.site import START_MS, Site, SitePlan

SLICE_MS = 500


def play(
    scenario: Scenario, seed: int, passed: Callable[[int], None] = lambda _: None
) -> RunFigures:
    """Return the figures of a run; the same scenario and seed give the same.

    ``passed`` is told of each span of time that was played, in milliseconds.
    """
    plan = _site_plan(scenario)
    site = Site(seed, plan)
    site.run(START_MS)
    room_milli = sum(worker.capacity.cpu for worker in plan.workers)
    callers = Callers(site, room_milli, seed)
    for arrival in draw_arrivals(scenario, seed):
        callers.expect(arrival, scenario.classes[arrival.job_class])
    faults = FaultPlayer(site, callers, seed)
    for fault in scenario.faults.values():
        faults.expect(fault)
    left_ms = scenario.run.duration_ms + scenario.run.settle_ms
    while left_ms > 0:
        span_ms = min(SLICE_MS, left_ms)
        site.run(span_ms)
        passed(span_ms)
        left_ms -= span_ms
    return count_figures(scenario, seed, site, callers.jobs)


def _site_plan(scenario: Scenario) -> SitePlan:
    run = scenario.run
    hosts = {
        f"{name}-{number}": name
        for name, place in scenario.data_centres.items()
        for number in range(place.hosts)
    }
    routes = {
        queue_name(name, part): {
            "service": _service_name(part),
            "priority": terms.priority,
            "max_attempts": terms.max_attempts,
            "stretch": terms.stretch,
            "target_latency_ms": terms.target_latency_ms,
        }
        for name, terms in scenario.classes.items()
        for part in range(run.parts)
    }
    resend_ms = min(terms.resend_ms for terms in scenario.classes.values())
    return SitePlan(
        hosts=hosts,
        workers=list(_worker_plans(scenario)),
        routes=routes,
        delay_ms=(run.least_delay_ms, run.most_delay_ms),
        host_terms={
            "peers": attrs.asdict(scenario.peers),
            "timing": scenario.targets.coordinator_timing(resend_ms),
            "ordering": scenario.queue.policy(scenario.classes.values()),
        },
    )


def _worker_plans(scenario: Scenario) -> Iterator[WorkerPlan]:
    kinds = cycle(
        (name, kind)
        for name, kind in scenario.kinds.items()
        for _ in range(kind.weight)
    )
    counts: Counter[str] = Counter()
    for place_name, place in scenario.data_centres.items():
        for number in range(place.targets):
            kind_name, kind = next(kinds)
            name = f"{place_name}-t{number}"
            # Every part gets targets of every kind.
            part = counts[kind_name] % scenario.run.parts
            counts[kind_name] += 1
            yield WorkerPlan(
                name,
                service=_service_name(part),
                address=f"{name}:1",
                zone=place_name,
                labels=(kind_name,),
                capacity=Capacity(kind.cpu_milli, kind.memory_mb),
                slowness=kind.slowness,
            )


def _service_name(part: int) -> str:
    return f"s{part}"
