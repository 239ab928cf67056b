"""The named scenarios: loads and faults, the same for every dispatcher."""

__all__ = ["DISPATCHERS", "SCENARIOS", "Scenario", "draw_scenario", "run_scenario"]

import random
from collections.abc import Callable

import attrs

from benches.policy.baselines import CentralQueue, RandomPick, TwoChoices
from benches.policy.engines import EngineFleet
from benches.policy.measures import Measures, measure
from benches.policy.pricing import PricedFleet
from benches.policy.workload import (
    Arrival,
    Kind,
    Organisation,
    draw_arrivals,
    draw_job,
    number_arrivals,
    steps,
)
from benches.policy.world import World

WARM_UP_MS = 5_000.0
DRAIN_MS = 12_000.0

DISPATCHERS: dict[str, Callable[[World, str], object]] = {
    "hibiscus": EngineFleet,
    "priced_4": lambda world, seed: PricedFleet(world, seed, mu=4.0),
    "priced_64": lambda world, seed: PricedFleet(world, seed, mu=64.0),
    "random": RandomPick,
    "two_choices": TwoChoices,
    "central": lambda world, seed: CentralQueue(world),
    "central_shortest": lambda world, seed: CentralQueue(world, shortest_first=True),
}

Fault = Callable[[World], None]


@attrs.frozen
class Scenario:
    """Loads and faults under one name.

    ``base_load`` is the part of all slots that ordinary work keeps busy. A flood is
    of the kind that ``flooding`` picks, at ``flood_load`` between the two times; a
    scenario with one is also run without it. ``change`` alters the drawn jobs and
    ``faults`` happen at their times.
    """

    name: str
    base_load: float
    duration_ms: float = 30_000.0
    flooding: Callable[[Organisation], Kind] | None = None
    flood_load: float = 0.0
    flood_ms: tuple[float, float] = (8_000.0, 24_000.0)
    change: Callable[[list[Arrival], random.Random], list[Arrival]] | None = None
    faults: tuple[tuple[float, Fault], ...] = ()
    second_flood: bool = False
    is_without_flood: bool = False

    def without_flood(self) -> "Scenario":
        """Return the same loads and faults with no flood."""
        return attrs.evolve(self, is_without_flood=True)

    def floods(self, organisation: Organisation) -> list[tuple[Kind, float, float]]:
        """Return the flooding kinds, with when each starts and ends."""
        if self.flooding is None:
            return []
        kind = self.flooding(organisation)
        start_ms, end_ms = self.flood_ms
        if not self.second_flood:
            return [(kind, start_ms, end_ms)]
        other = _least_urgent(organisation)
        middle_ms = (start_ms + end_ms) / 2
        return [(kind, start_ms, end_ms), (other, middle_ms, end_ms)]

    def stretched(self, factor: float) -> "Scenario":
        """Return the same loads with the flood made longer."""
        start_ms, end_ms = self.flood_ms
        added_ms = (factor - 1) * (end_ms - start_ms)
        return attrs.evolve(
            self,
            duration_ms=self.duration_ms + added_ms,
            flood_ms=(start_ms, end_ms + added_ms),
        )


def draw_scenario(
    scenario: Scenario, organisation: Organisation, seed: str
) -> list[Arrival]:
    """Return every job of a scenario, in order of time."""
    duration_ms = scenario.duration_ms
    arrivals: list[Arrival] = []
    for kind in organisation.kinds:
        load = scenario.base_load * kind.work_part
        arrivals += draw_arrivals(
            organisation, kind, steps((0, load)), duration_ms, seed
        )
    floods = [] if scenario.is_without_flood else scenario.floods(organisation)
    for kind, start_ms, end_ms in floods:
        load_at = steps((0, 0.0), (start_ms, scenario.flood_load), (end_ms, 0.0))
        arrivals += draw_arrivals(
            organisation, kind, load_at, duration_ms, seed, is_flood=True
        )
    if scenario.change is not None:
        source = random.Random(f"{seed}/{organisation.name}/{scenario.name}")
        arrivals = scenario.change(arrivals, source)
    return number_arrivals(arrivals)


def run_scenario(
    scenario: Scenario, organisation: Organisation, dispatcher: str, seed: str
) -> Measures:
    """Return the measures of one dispatcher in one scenario."""
    world = World(organisation)
    world.dispatcher = DISPATCHERS[dispatcher](world, seed)
    for at_ms, fault in scenario.faults:
        world.loop.at(at_ms, lambda f=fault: f(world))
    arrivals = draw_scenario(scenario, organisation, seed)
    world.run(arrivals, scenario.duration_ms + DRAIN_MS)
    flooded = {kind.name for kind, _, _ in scenario.floods(organisation)}
    return measure(world, scenario.duration_ms + DRAIN_MS, WARM_UP_MS, flooded)


def _most_urgent(organisation: Organisation) -> Kind:
    return organisation.kind_named(organisation.most_urgent)


def _least_urgent(organisation: Organisation) -> Kind:
    return organisation.kind_named(organisation.least_urgent)


def _cancel_wave(arrivals: list[Arrival], source: random.Random) -> list[Arrival]:
    """Cancel half of what arrives in 5 s, all around the same time."""
    wave_ms = 15_000.0
    return [
        attrs.evolve(each, cancel_after_ms=wave_ms - each.at_ms)
        if 10_000 <= each.at_ms < wave_ms and source.random() < 0.5
        else each
        for each in arrivals
    ]


def _declare_wrongly(arrivals: list[Arrival], source: random.Random) -> list[Arrival]:
    """Declare run times wrong by 10 times, either way."""
    changed = []
    for each in arrivals:
        factor = source.choice((0.1, 10.0))
        declared = tuple(max(round(ms * factor), 1) for ms in each.declared_ms)
        changed.append(attrs.evolve(each, declared_ms=declared))
    return changed


def _add_impossible(arrivals: list[Arrival], source: random.Random) -> list[Arrival]:
    """Add a fifth as many jobs that no target may run."""
    chosen = [each for each in arrivals if source.random() < 0.2]
    return arrivals + [attrs.evolve(each, is_impossible=True) for each in chosen]


def _mix_sizes(arrivals: list[Arrival], source: random.Random) -> list[Arrival]:
    """Let every kind come in sizes from 1 to 200 at the same load."""
    changed = []
    for each in arrivals:
        wide = attrs.evolve(each.kind, least_tasks=1, most_tasks=200)
        keep = each.kind.mean_tasks() / wide.mean_tasks()
        copies = int(keep) + (source.random() < keep % 1)
        for _ in range(copies):
            job = draw_job(source, wide, each.at_ms + source.random() * 200)
            changed.append(job)
    return changed


def _make_black_holes(world: World) -> None:
    for worker in (world.workers[3], world.workers[17]):
        worker.fails = True


def _make_stragglers(world: World) -> None:
    for worker in (world.workers[3], world.workers[17]):
        worker.slow_factor = 5.0


def _lose_rack(world: World) -> None:
    rack = world.workers[0].rack
    for worker in world.workers:
        if worker.rack == rack:
            worker.go_down()


def _lose_host(world: World) -> None:
    world.dispatcher.lose_host(2)


def _leave(first: int, last: int) -> Fault:
    def fault(world: World) -> None:
        for number, worker in enumerate(world.workers):
            worker.is_leaving = first <= number < last
        world.dispatcher.workers_changed()

    return fault


_WAVES = tuple(
    (8_000.0 + 4_000.0 * wave, _leave(6 * wave, 6 * wave + 6)) for wave in range(4)
)

SCENARIOS: tuple[Scenario, ...] = (
    Scenario("steady_50", 0.5),
    Scenario("steady_70", 0.7),
    Scenario("steady_90", 0.9),
    Scenario("opening_day", 0.5, flooding=_most_urgent, flood_load=10.0),
    Scenario("urgent_flood", 0.5, flooding=_most_urgent, flood_load=3.0),
    Scenario("least_urgent_flood", 0.5, flooding=_least_urgent, flood_load=3.0),
    Scenario(
        "burst_on_burst",
        0.5,
        flooding=_most_urgent,
        flood_load=2.0,
        second_flood=True,
    ),
    Scenario("cancel_wave", 0.9, change=_cancel_wave),
    Scenario("black_holes", 0.5, faults=((10_000.0, _make_black_holes),)),
    Scenario("stragglers", 0.5, faults=((0.0, _make_stragglers),)),
    Scenario("wrong_declarations", 0.7, change=_declare_wrongly),
    Scenario(
        "rack_lost_in_flood",
        0.5,
        flooding=_most_urgent,
        flood_load=3.0,
        faults=((12_000.0, _lose_rack),),
    ),
    Scenario(
        "host_lost_in_flood",
        0.5,
        flooding=_most_urgent,
        flood_load=3.0,
        faults=((12_000.0, _lose_host),),
    ),
    Scenario("targets_leave_in_waves", 0.5, faults=_WAVES),
    Scenario("impossible_jobs", 0.7, change=_add_impossible),
    Scenario("mixed_sizes", 0.7, change=_mix_sizes),
)
