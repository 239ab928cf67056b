"""The faults of one soak, drawn from its seed."""

__all__ = ["COORDINATOR", "Fault", "FaultKind", "SoakPlan", "draw_faults"]

import random
from enum import Enum

import attrs

COORDINATOR = -1
"""Stands for the host that coordinates when the fault begins, or any without one."""

FIRST_FAULT_MS = 500
DURATIONS_MS = (200, 700, 1_500, 3_500)
# Longer than the silence after which the entries of workers expire.
LAPSE_MS = 2_500
MEAN_INTERVAL_MS = 700


class FaultKind(Enum):
    """What is done to a host, a worker or the store."""

    TERM = "TERM"
    KILL = "KILL"
    STOP = "STOP"
    HUP = "HUP"
    CONFIGURATION = "configuration"
    JOIN = "join"
    LEAVE = "leave"
    CRASH = "crash"
    CUT_OFF = "cut_off"
    STORE = "store"

    @property
    def is_for_host(self) -> bool:
        """Tell whether the fault is a signal to a host."""
        return self in (self.TERM, self.KILL, self.STOP, self.HUP)


@attrs.frozen
class SoakPlan:
    """The size of a soak; ``seconds`` is how long faults occur and jobs are sent."""

    hosts: int = 3
    workers: int = 6
    clients: int = 12
    seconds: int = 15


@attrs.frozen
class Fault:
    """One fault; ``victim`` is the number of a host or worker, from 0.

    A host that was ended starts again ``duration_ms`` after its end. ``detail`` is the
    kind of an outage of the store.
    """

    kind: FaultKind
    at_ms: int
    duration_ms: int
    victim: int
    detail: str = ""

    def __str__(self) -> str:
        """Return the fault in words."""
        name = f"{self.kind.value} {self.detail}".strip()
        return f"{name} {self.victim} at {self.at_ms} for {self.duration_ms}"


def draw_faults(seed: int, plan: SoakPlan) -> list[Fault]:
    """Return the faults of one soak in the order of their time.

    Some come alone, others in groups in which they overlap.

    >>> draw_faults(1, SoakPlan()) == draw_faults(1, SoakPlan())
    True
    """
    rng = random.Random(seed)
    faults: list[Fault] = []
    at_ms = FIRST_FAULT_MS
    while at_ms < plan.seconds * 1_000:
        draw = rng.choice((_draw_one, _draw_one, _lapse_and_restart, _join_and_stop))
        group = draw(rng, plan, at_ms)
        faults += group
        at_ms += int(rng.expovariate(1 / (MEAN_INTERVAL_MS * len(group))))
    return sorted(faults, key=lambda fault: fault.at_ms)


def _draw_one(rng: random.Random, plan: SoakPlan, at_ms: int) -> list[Fault]:
    kind = rng.choice(list(FaultKind))
    if kind.is_for_host:
        victim = rng.choice((COORDINATOR, rng.randrange(plan.hosts)))
    else:
        victim = rng.randrange(plan.workers)
    detail = _draw_outage(rng) if kind is FaultKind.STORE else ""
    return [Fault(kind, at_ms, rng.choice(DURATIONS_MS), victim, detail)]


def _lapse_and_restart(rng: random.Random, plan: SoakPlan, at_ms: int) -> list[Fault]:
    """Return an outage with restarts in it and a stop at its end."""
    outage_ms = LAPSE_MS + rng.randrange(5_000)
    faults = [Fault(FaultKind.STORE, at_ms, outage_ms, 0, _draw_outage(rng))]
    for _ in range(rng.randint(1, max(1, plan.hosts - 1))):
        begin_ms = at_ms + rng.randrange(outage_ms)
        kind = rng.choice((FaultKind.TERM, FaultKind.KILL))
        victim = rng.choice((COORDINATOR, rng.randrange(plan.hosts)))
        faults.append(Fault(kind, begin_ms, 200, victim))
    stop_ms = at_ms + outage_ms + rng.randrange(-200, 600)
    return [*faults, Fault(FaultKind.TERM, stop_ms, 700, COORDINATOR)]


def _join_and_stop(rng: random.Random, plan: SoakPlan, at_ms: int) -> list[Fault]:
    """Return workers that join or come back while coordinators stop."""
    faults = []
    for _ in range(rng.randint(1, 4)):
        kind = rng.choice((FaultKind.JOIN, FaultKind.CRASH, FaultKind.CUT_OFF))
        begin_ms = at_ms + rng.randrange(800)
        faults.append(Fault(kind, begin_ms, LAPSE_MS, rng.randrange(plan.workers)))
    for number in range(rng.randint(1, 3)):
        kind = rng.choice((FaultKind.TERM, FaultKind.TERM, FaultKind.KILL))
        begin_ms = at_ms + number * 600 + rng.randrange(800)
        faults.append(Fault(kind, begin_ms, 200, COORDINATOR))
    return faults


def _draw_outage(rng: random.Random) -> str:
    return rng.choice(("busy", "rejecting", "reset", "silent"))
