"""A scenario as plain data: a site, its load, and the faults that come to it."""

__all__ = [
    "Burst",
    "CapacityKind",
    "DataCentre",
    "Fault",
    "FaultKind",
    "JobClass",
    "Run",
    "Scenario",
    "Shape",
    "Traffic",
]

from collections.abc import Mapping
from enum import StrEnum

import attrs

from hibiscusstack.settings.kinds import Choice, Number
from hibiscusstack.settings.pool_sections import PoolPeerSettings, PoolTargetSettings
from hibiscusstack.settings.sections import DURATION, MAX_DURATION_MS, key
from hibiscusstack_standins.lab.kinds import Amount, Label, Seeds, YesOrNo

_DELAY = Number(0, 10_000)
_TIME = Number(0, MAX_DURATION_MS)
_HOSTS = Number(0, 100)
_TARGETS = Number(0, 1_000)
_CPU = Number(1, 1_000_000)
_MEMORY = Number(1, 10_000_000)
_RATE = Amount(0, 100_000)
_SHARE = Amount(0, 1)
_SPREAD = Amount(0, 3)
_FACTOR = Amount(0, 10_000)
_TASKS = Number(1, 200)


class Shape(StrEnum):
    """How the rate of arrivals goes over time."""

    CONSTANT = "constant"
    WAVE = "wave"


class FaultKind(StrEnum):
    """What goes wrong."""

    HOST_KILLED = "host-killed"
    HOST_FROZEN = "host-frozen"
    HOST_CUT = "host-cut"
    DATA_CENTRE_CUT = "data-centre-cut"
    TARGET_CRASHED = "target-crashed"
    TARGET_SLOW = "target-slow"
    TARGET_HUNG = "target-hung"
    TARGET_FAILING = "target-failing"
    TARGET_REFUSING = "target-refusing"
    ORDERS_LATE = "orders-late"
    CALLS_LATE = "calls-late"
    LOG_DOWN = "log-down"
    LOG_SLOW = "log-slow"
    LOG_ANSWERS_LOST = "log-answers-lost"


def _words(kinds: type[StrEnum]) -> Choice:
    return Choice(tuple(kinds))


@attrs.frozen
class Run:
    """How long a scenario is played, and with which seeds."""

    seeds: tuple[int, ...] = key(Seeds(), "The seeds, one run each.", (1,))
    duration_ms: int = key(DURATION, "How long jobs arrive.", 30_000)
    settle_ms: int = key(_TIME, "How long the run goes on after that.", 5_000)
    window_ms: int = key(DURATION, "The length of the windows of figures.", 2_000)
    parts: int = key(
        Number(1, 100), "Into how many pools targets and jobs are divided.", 1
    )
    least_delay_ms: int = key(_DELAY, "The least delay of a call, one way.", 0)
    most_delay_ms: int = key(_DELAY, "The most delay of a call, one way.", 1)


@attrs.frozen
class DataCentre:
    """Hosts, targets and the callers near them."""

    hosts: int = key(_HOSTS, "How many hosts stand there.")
    targets: int = key(_TARGETS, "How many targets stand there.")
    rate_per_s: float = key(_RATE, "How many jobs arrive there in a second.")
    phase: float = key(Amount(0, 1), "The phase of the wave there, in periods.", 0.0)


@attrs.frozen
class CapacityKind:
    """What some of the targets hold; the kinds take turns, ``weight`` at a time."""

    cpu_milli: int = key(_CPU, "Thousandths of a core.")
    memory_mb: int = key(_MEMORY, "Memory.", 32_768)
    weight: int = key(Number(1, 100), "How many in turn are of this kind.", 1)
    slowness: float = key(Amount(0.01, 100), "How many times longer work takes.", 1.0)


@attrs.frozen
class JobClass:
    """Jobs of one step that are alike.

    Spreads are standard deviations over means, of lognormal draws.
    """

    share: float = key(_RATE, "The part of all jobs, in proportion.")
    worth: float = key(_RATE, "What a job of the usual size earns in time.")
    tasks: int = key(_TASKS, "How many tasks a job has on average.")
    cpu_milli: int = key(_CPU, "What a task needs on average.")
    run_ms: int = key(DURATION, "How long a task runs on average.")
    late_worth: float = key(_RATE, "What it earns late.", 0.0)
    tasks_spread: float = key(_SPREAD, "The spread of that.", 0.0)
    most_tasks: int = key(_TASKS, "The bound of that.", 200)
    cpu_spread: float = key(_SPREAD, "The spread of that.", 0.0)
    most_cpu_milli: int = key(_CPU, "The bound of that.", 1_000_000)
    memory_mb: int = key(_MEMORY, "Memory that a task needs.", 64)
    run_spread: float = key(_SPREAD, "The spread of that between jobs.", 0.0)
    most_run_ms: int = key(DURATION, "The bound of that.", MAX_DURATION_MS)
    uneven_spread: float = key(_SPREAD, "The spread between tasks of a job.", 0.0)
    estimate_spread: float = key(_SPREAD, "How far the stated run time is off.", 0.0)
    doomed_share: float = key(_SHARE, "The part of jobs that can never be done.", 0.0)
    stretch: float = key(Amount(0, 100), "The objective in chains of work.", 1.0)
    target_latency_ms: int = key(_TIME, "What is added to the objective.", 0)
    priority: int = key(Number(0, 100), "The priority; 0 goes first.", 0)
    max_attempts: int = key(Number(1, 100), "Runs of a task before it fails.", 2)
    patience_ms: int = key(DURATION, "How long a caller waits at least.", 1_500)
    patience_factor: float = key(_FACTOR, "The same, in objectives of the job.", 0.0)
    retries: int = key(Number(0, 1_000), "How often a caller comes back refused.", 0)
    resends: int = key(Number(0, 1_000), "How often it sends again unanswered.", 1)
    resend_ms: int = key(DURATION, "When it sends again unanswered.", 1_300)
    redial_ms: int = key(DURATION, "When it dials again without a connection.", 500)


@attrs.frozen
class Traffic:
    """How arrivals vary."""

    shape: str = key(_words(Shape), "Whether the rate stays.", Shape.CONSTANT.value)
    swing: float = key(_SHARE, "How far a wave goes up and down.", 0.0)
    period_ms: int = key(DURATION, "The period of the wave.", 10_000)
    factor: float = key(_FACTOR, "By what all rates are multiplied.", 1.0)


@attrs.frozen
class Burst:
    """More arrivals for a while."""

    at_ms: int = key(_TIME, "When it begins.")
    for_ms: int = key(DURATION, "How long it lasts.")
    factor: float = key(_FACTOR, "By what the rate is multiplied.")
    job_class: str = key(Label(), "The class; nothing means all.", "")


@attrs.frozen
class Fault:
    """Something that goes wrong at a time, and ends."""

    kind: str = key(_words(FaultKind), "What goes wrong.")
    at_ms: int = key(_TIME, "When it begins.")
    for_ms: int = key(DURATION, "How long it lasts.", MAX_DURATION_MS)
    count: int = key(_TARGETS, "How many it strikes, unless a share is given.", 1)
    share: float = key(_SHARE, "The part that it strikes; 0 means by count.", 0.0)
    data_centre: str = key(Label(), "Where; nothing means anywhere.", "")
    is_coordinator: bool = key(YesOrNo(), "Whether it strikes that host.", False)
    resets: bool = key(YesOrNo(), "Whether peers see connections end.", True)
    factor: float = key(_FACTOR, "How many times slower targets are.", 1.0)
    delay_ms: int = key(_TIME, "How much slower the log answers.", 0)
    call_share: float = key(_SHARE, "The part of calls that it concerns.", 1.0)


@attrs.frozen
class Scenario:
    """All that a run depends on but its seed.

    ``targets`` and ``peers`` are settings of the product, by the same names as in its
    own files.
    """

    run: Run
    traffic: Traffic
    targets: PoolTargetSettings
    peers: PoolPeerSettings
    data_centres: Mapping[str, DataCentre]
    kinds: Mapping[str, CapacityKind]
    classes: Mapping[str, JobClass]
    bursts: Mapping[str, Burst]
    faults: Mapping[str, Fault]
