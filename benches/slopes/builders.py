"""Engines, messages and policies of a given size."""

__all__ = [
    "HOSTS_PER_DATA_CENTRE",
    "NO_TIMEOUT_MS",
    "OWN",
    "make_batch",
    "make_engine",
    "make_entry",
    "make_heartbeat",
    "make_live_list",
    "make_results",
    "make_targets",
    "make_tasks",
    "policy_text_of",
    "run_to_the_end",
]

import json

import attrs

from hibiscusstack.clock import ManualClock
from hibiscusstack.dispatch.answers import Outcome, TaskResult
from hibiscusstack.dispatch.effects import Effect, StartTask, TaskFinished
from hibiscusstack.dispatch.engine import Engine
from hibiscusstack.dispatch.jobs import Task
from hibiscusstack.dispatch.messages import (
    BatchResults,
    Heartbeat,
    HostName,
    PlaceBatch,
)
from hibiscusstack.dispatch.planning.policy_components import make_policy_components
from hibiscusstack.dispatch.policy.policy import CurrentPolicy
from hibiscusstack.dispatch.policy.text import read_policy
from hibiscusstack.dispatch.queueing.task_queue import QueuedTask
from hibiscusstack.dispatch.submission.ids import IdIssuer
from hibiscusstack.dispatch.targets import TargetInfo

OWN = HostName("dc1", "host-1", 1)
HOSTS_PER_DATA_CENTRE = 8
NO_TIMEOUT_MS = 1_000_000_000
NO_LIMITS = """\
[limits]
max_queue_ms = 1000000000
max_queued_tasks = 1000000000
max_jobs_per_caller = 1000000000
max_tasks_per_caller = 1000000000
"""


def make_targets(count: int, data_centre: str = "dc1") -> list[TargetInfo]:
    """Return targets of one data centre."""
    return [
        TargetInfo(f"{data_centre}-worker-{n:04}", "127.0.0.1", 1, data_centre)
        for n in range(count)
    ]


def make_engine(targets: int, peers: int = 0, data_centres: int = 1) -> Engine:
    """Return an engine with all parts of the policy, and its peers connected."""
    clock = ManualClock()
    in_force = CurrentPolicy(read_policy(NO_LIMITS).ok)
    ids = IdIssuer(OWN, clock, secret=bytes(16))
    engine = Engine(OWN, clock, ids, make_policy_components(in_force))
    for number in range(peers):
        engine.peer_connected(HostName("dc1", f"peer-{number}", 1))
    listed = make_targets(targets)
    for other in range(2, data_centres + 1):
        name = f"dc{other}"
        listed += make_targets(targets, name)
        for number in range(HOSTS_PER_DATA_CENTRE):
            engine.peer_connected(HostName(name, f"peer-{number}", 1))
    engine.targets_listed(listed)
    return engine


def run_to_the_end(engine: Engine, effects: list[Effect]) -> None:
    """Answer every start at once."""
    pending = list(effects)
    while pending:
        effect = pending.pop()
        if isinstance(effect, StartTask):
            result = TaskResult(effect.task.index, Outcome.SUCCEEDED, run_time_ms=100)
            pending += engine.target_replied(effect, TaskFinished(result))


def make_tasks(count: int) -> tuple[Task, ...]:
    """Return tasks with a payload of about 50 bytes."""
    payload = {"gate": "kairouan-17", "guard": "b-204", "turn": 12}
    return tuple(Task(index, "gate_check", payload) for index in range(count))


def make_batch(tasks: int) -> PlaceBatch:
    """Return a batch on its way to a home with 20 targets."""
    names = tuple(target.name for target in make_targets(20))
    return PlaceBatch(1, "dc1~h1~7~0~0", make_tasks(tasks), names, 9_000, "c", "t", "k")


def make_results(tasks: int) -> BatchResults:
    """Return the results of a batch."""
    results = tuple(
        TaskResult(n, Outcome.SUCCEEDED, {"open": True, "until": "06:40"}, None, 90)
        for n in range(tasks)
    )
    classes = tuple((f"class-{n}", 10_000) for n in range(4))
    return BatchResults(1, results, (), False, 10, 40_000, classes, (1,) * 20)


def make_heartbeat(targets: int) -> Heartbeat:
    """Return the heartbeat of a home with some targets."""
    classes = tuple((f"class-{n}", 10_000) for n in range(4))
    return Heartbeat(9, False, 30, 40_000, targets, 160, 0, classes, (1,) * targets)


def policy_text_of(teams: int) -> str:
    """Return a policy with five classes and some teams."""
    classes = "".join(
        f"[class c{n}]\nwork = kind = k{n}\nurgency = {n}\nguaranteed_part = 0.15\n"
        for n in range(5)
    )
    lines = [f"[team team-{n}]\nquota_part = 2\nmax_queued = 500" for n in range(teams)]
    return classes + "\n".join(lines) + "\n"


def make_entry(number: int, team: str, batch: int) -> QueuedTask:
    """Return a waiting task with a payload of its own."""
    task = attrs.evolve(make_tasks(1)[0], payload={"gate": f"gate-{number}"})
    targets = frozenset(target.name for target in make_targets(20))
    name = f"dc1~host-1~1~{batch:x}/{number}/{batch}"
    return QueuedTask(OWN, batch, name, task, targets, team, "c1", 0, 60_000)


def make_live_list(hosts: int) -> bytes:
    """Return the platform's answer with some targets."""
    entries = [
        {
            "name": f"dc1-worker-{n:04}",
            "role": "target",
            "address": "10.1.2.3",
            "port": 8000,
            "data_centre": "dc1",
            "rack": f"rack-{n // 8}",
            "state": "live",
            "slots": 8,
            "connections": 64,
            "labels": {"zone": "north"},
        }
        for n in range(hosts)
    ]
    return json.dumps({"version": 1, "hosts": entries}).encode()
