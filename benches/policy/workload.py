"""The work of both organisations, drawn by seed."""

__all__ = [
    "KENDRA",
    "SOCIETE",
    "Arrival",
    "Kind",
    "Organisation",
    "draw_arrivals",
    "draw_job",
    "number_arrivals",
    "steps",
]

import bisect
import math
import random
from collections.abc import Callable, Sequence
from pathlib import Path

import attrs

EXAMPLES = Path(__file__).parents[2] / "examples"
LEAST_RUN_TIME_MS = 20
MOST_RUN_TIME_MS = 6_000
TEAMS_PER_KIND = 10

LoadProfile = Callable[[float], float]


@attrs.frozen
class Kind:
    """One kind of work; run times are log-normal, sizes log-uniform."""

    name: str
    class_name: str
    work_part: float
    median_ms: float
    sigma: float
    least_tasks: int
    most_tasks: int
    timeout_ms: int = 10_000
    idempotent: bool = True

    def mean_run_time_ms(self) -> float:
        """Return the mean of the run times before they are clipped."""
        return self.median_ms * math.exp(self.sigma**2 / 2)

    def mean_tasks(self) -> float:
        """Return the mean number of tasks in a job."""
        if self.least_tasks == self.most_tasks:
            return float(self.most_tasks)
        low, high = self.least_tasks, self.most_tasks
        return (high - low) / math.log(high / low)


@attrs.frozen
class Organisation:
    """The fleet of one data centre and the work that it is for."""

    name: str
    kinds: tuple[Kind, ...]
    workers_per_rack: int
    most_urgent: str
    least_urgent: str
    workers: int = 24
    slots: int = 8
    hosts: int = 7

    def policy_text(self) -> str:
        """Return the published policy, as in the examples."""
        return (EXAMPLES / f"{self.name}.ini").read_text()

    def kind_named(self, name: str) -> Kind:
        """Return one kind of work."""
        return next(kind for kind in self.kinds if kind.name == name)


@attrs.frozen
class Arrival:
    """One job as its caller sends it; run times are the true ones."""

    number: int
    at_ms: float
    kind: Kind
    team: str
    run_times_ms: tuple[int, ...]
    declared_ms: tuple[int, ...]
    is_flood: bool = False
    is_impossible: bool = False
    cancel_after_ms: float | None = None

    @property
    def work_ms(self) -> int:
        """The sum of the true run times."""
        return sum(self.run_times_ms)

    @property
    def ideal_ms(self) -> int:
        """The run time of the longest task alone."""
        return max(self.run_times_ms)


KENDRA = Organisation(
    "kendra",
    (
        Kind("check_availability", "checks", 0.35, 70, 0.5, 1, 20),
        Kind("issue_licence", "licences", 0.15, 150, 0.5, 1, 6, idempotent=False),
        Kind("prepare_cast_copies", "copies", 0.50, 280, 0.8, 5, 200),
    ),
    workers_per_rack=8,
    most_urgent="issue_licence",
    least_urgent="prepare_cast_copies",
)
SOCIETE = Organisation(
    "societe",
    (
        Kind("gate_check", "gates", 0.30, 60, 0.4, 1, 10),
        Kind("book_turn", "turns", 0.30, 150, 0.5, 1, 6, idempotent=False),
        Kind("roster_lookup", "roster", 0.40, 110, 0.6, 10, 200),
    ),
    workers_per_rack=6,
    most_urgent="gate_check",
    least_urgent="roster_lookup",
)


def draw_arrivals(
    organisation: Organisation,
    kind: Kind,
    load_at: LoadProfile,
    duration_ms: float,
    seed: str,
    *,
    is_flood: bool = False,
) -> list[Arrival]:
    """Return Poisson arrivals of one kind at a load that may change with time.

    ``load_at`` gives the part of all slots that the work would keep busy.
    """
    source = random.Random(f"{seed}/{organisation.name}/{kind.name}/{is_flood}")
    job_work_ms = kind.mean_tasks() * kind.mean_run_time_ms()
    slots = organisation.workers * organisation.slots
    most = max(load_at(step * duration_ms / 1_000) for step in range(1_001))
    arrivals: list[Arrival] = []
    at_ms = 0.0
    while most > 0:
        at_ms += source.expovariate(slots * most / job_work_ms)
        if at_ms >= duration_ms:
            break
        if source.random() * most <= load_at(at_ms):
            arrivals.append(draw_job(source, kind, at_ms, is_flood))
    return arrivals


def draw_job(
    source: random.Random, kind: Kind, at_ms: float, is_flood: bool = False
) -> Arrival:
    """Return one job of a kind."""
    low, high = math.log(kind.least_tasks), math.log(kind.most_tasks + 1)
    count = min(int(math.exp(source.uniform(low, high))), kind.most_tasks)
    times = tuple(_draw_run_time(source, kind) for _ in range(count))
    declared_ms = round(kind.median_ms * source.uniform(0.8, 1.2))
    team = f"{kind.class_name}-{source.randrange(TEAMS_PER_KIND)}"
    declared = (declared_ms,) * count
    return Arrival(0, at_ms, kind, team, times, declared, is_flood)


def number_arrivals(arrivals: Sequence[Arrival]) -> list[Arrival]:
    """Return arrivals in order of time, numbered."""
    ordered = sorted(arrivals, key=lambda each: each.at_ms)
    return [attrs.evolve(each, number=n) for n, each in enumerate(ordered)]


def steps(*points: tuple[float, float]) -> LoadProfile:
    """Return a load that takes each value from its time on.

    >>> load_at = steps((0, 0.5), (1_000, 2.0))
    >>> load_at(999), load_at(1_000)
    (0.5, 2.0)
    """
    times = [time_ms for time_ms, _ in points]

    def load_at(at_ms: float) -> float:
        return points[bisect.bisect_right(times, at_ms) - 1][1]

    return load_at


def _draw_run_time(source: random.Random, kind: Kind) -> int:
    drawn_ms = kind.median_ms * math.exp(source.gauss(0.0, kind.sigma))
    return round(min(max(drawn_ms, LEAST_RUN_TIME_MS), MOST_RUN_TIME_MS))
