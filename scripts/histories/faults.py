"""The faults of one history, drawn from its seed."""

__all__ = ["Fault", "FaultKind", "draw_faults"]

import random
from collections.abc import Sequence
from enum import Enum

import attrs

FIRST_FAULT_MS = 400
LAST_FAULT_MS = 3_500
MIN_FAULTS = 2
MAX_FAULTS = 5


class FaultKind(Enum):
    """What may be done to a site."""

    KILL_HOST = "kill host"
    PAUSE_HOST = "pause host"
    STOP_HOST = "stop host"
    KILL_TARGETS = "kill targets"
    PAUSE_TARGETS = "pause targets"
    SILENCE_CONNECTIONS = "silence connections"
    LOSE_ANSWERS = "lose answers"
    MUTE = "mute"
    REFUSE = "refuse as busy"
    FAIL_EVERY_TASK = "fail every task"
    LEAVE = "target leaves"
    LOG_REFUSES = "log refuses"
    LOG_HANGS = "log hangs"
    LOSE_APPENDS = "lose answers of log"
    EXPIRE_RECORDS = "expire records"
    LIST_OUTAGE = "list outage"


@attrs.frozen
class Fault:
    """One fault; ``victim`` is the number of a host or of a group of targets."""

    kind: FaultKind
    at_ms: int
    duration_ms: int
    victim: int

    def __str__(self) -> str:
        """Return the fault in words."""
        return (
            f"{self.kind.value} {self.victim}"
            f" at {self.at_ms} ms for {self.duration_ms} ms"
        )


def draw_faults(
    seed: int, hosts: int, groups: int, kinds: Sequence[FaultKind] = tuple(FaultKind)
) -> list[Fault]:
    """Return the faults of one history, all of ``kinds``, in the order of their time.

    The first host is never killed or stopped, so that a caller finds one alive.

    >>> draw_faults(1, 3, 2) == draw_faults(1, 3, 2)
    True
    """
    rng = random.Random(seed)
    faults = [
        _draw(rng, hosts, groups, kinds)
        for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS))
    ]
    if rng.random() < 1 / 3:
        together_ms = faults[0].at_ms
        faults = [attrs.evolve(fault, at_ms=together_ms) for fault in faults]
    return sorted(faults, key=lambda fault: fault.at_ms)


def _draw(
    rng: random.Random, hosts: int, groups: int, kinds: Sequence[FaultKind]
) -> Fault:
    kind = rng.choice(kinds)
    at_ms = rng.randint(FIRST_FAULT_MS, LAST_FAULT_MS)
    duration_ms = rng.choice([200, 700, 1_500, 3_500])
    if kind in (FaultKind.KILL_HOST, FaultKind.STOP_HOST):
        victim = rng.randrange(1, hosts)
    elif kind is FaultKind.PAUSE_HOST:
        victim = rng.randrange(hosts)
    else:
        victim = rng.randrange(groups)
    return Fault(kind, at_ms, duration_ms, victim)
