"""What is measured: the product's decision code and codec at several sizes."""

__all__ = ["SUBJECTS", "Subject"]

from collections.abc import Callable

import attrs

from benches.slopes.fitting import allocated_bytes, best_time_us
from hibiscusstack.clock import ManualClock
from hibiscusstack.dispatch.answers import Outcome, TaskResult
from hibiscusstack.dispatch.effects import Effect, StartTask, TaskFinished
from hibiscusstack.dispatch.engine import Engine
from hibiscusstack.dispatch.ids import IdIssuer
from hibiscusstack.dispatch.jobs import Job, Task
from hibiscusstack.dispatch.messages import (
    BatchResults,
    Heartbeat,
    HostName,
    PlaceBatch,
)
from hibiscusstack.dispatch.policy import PolicyInForce, matching_targets
from hibiscusstack.dispatch.policy_parts import make_policy_parts
from hibiscusstack.dispatch.policy_text import read_policy
from hibiscusstack.dispatch.queueing import QueuedTask
from hibiscusstack.dispatch.targets import TargetInfo
from hibiscusstack.host.codec import decode_message, encode_message

OWN = HostName("dc1", "host-1", 1)
HOSTS_PER_DATA_CENTRE = 8
TASKS = 200
JOBS = 20


@attrs.frozen
class Subject:
    """A cost in ``unit`` for each further ``of``, measured at ``sizes``."""

    name: str
    unit: str
    of: str
    sizes: tuple[int, ...]
    cost: Callable[[int], float]


def make_targets(count: int, data_centre: str = "dc1") -> list[TargetInfo]:
    """Return targets of one data centre."""
    return [
        TargetInfo(f"{data_centre}-worker-{n:04}", "127.0.0.1", 1, data_centre)
        for n in range(count)
    ]


def make_engine(targets: int, peers: int = 0, data_centres: int = 1) -> Engine:
    """Return an engine with all parts of the policy, and its peers connected."""
    clock = ManualClock()
    engine = Engine(OWN, clock, IdIssuer(OWN, clock, secret=bytes(16)))
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


def time_of_jobs(tasks: int) -> float:
    """Return the time of one job with ``tasks`` tasks on this host alone."""
    engine = make_engine(targets=24)
    numbers = iter(range(10**9))

    def run_job() -> None:
        job = Job(engine.ids.mint(1)[0], "bench", make_tasks(tasks))
        run_to_the_end(engine, engine.submit(next(numbers), job))

    return best_time_us(run_job, JOBS)


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


def time_of_frames(*makers: Callable[[int], object]) -> Callable[[int], float]:
    """Return the cost of encoding and decoding each message once."""

    def cost(size: int) -> float:
        messages = [make(size) for make in makers]

        def both_ways() -> None:
            for message in messages:
                decode_message(encode_message(message))

        return best_time_us(both_ways, JOBS)

    return cost


def bytes_of_frames(*makers: Callable[[int], object]) -> Callable[[int], float]:
    """Return the length of the frames of the messages."""
    return lambda size: sum(len(encode_message(make(size))) for make in makers)


def time_of_ticks(targets: int) -> float:
    """Return the time of a tick of a home with ``targets`` targets, nothing queued."""
    engine = make_engine(targets)
    return best_time_us(engine.tick, 200)


def time_of_heartbeats(peers: int) -> float:
    """Return the time of making one heartbeat and taking one from each peer."""
    engine = make_engine(targets=20 * (peers + 1), peers=peers)
    beat = engine.heartbeat()

    def one_interval() -> None:
        engine.heartbeat()
        for number in range(peers):
            engine.receive(HostName("dc1", f"peer-{number}", 1), beat)

    return best_time_us(one_interval, 20)


def time_of_new_list(data_centres: int) -> float:
    """Return the time of a new list of targets, 154 in each data centre."""
    engine = make_engine(154, HOSTS_PER_DATA_CENTRE - 1, data_centres)
    listed = list(engine._listed)
    return best_time_us(lambda: engine.targets_listed(listed))


def policy_text_of(teams: int) -> str:
    """Return a policy with five classes and some teams."""
    classes = "".join(
        f"[class c{n}]\nwork = kind = k{n}\nurgency = {n}\nguaranteed_part = 0.15\n"
        for n in range(5)
    )
    lines = [f"[team team-{n}]\nquota_part = 2\nmax_queued = 500" for n in range(teams)]
    return classes + "\n".join(lines) + "\n"


def time_of_policy(teams: int) -> float:
    """Return the time of reading a policy with some teams."""
    text = policy_text_of(teams)
    return best_time_us(lambda: read_policy(text))


def time_of_first_match(targets: int) -> float:
    """Return the time of the first match after a change, over all targets."""
    policy = read_policy("[placement p]\ntargets = zone != north, !old\n").ok
    listed = {target.name: target for target in make_targets(targets)}
    job = Job("j", "c", make_tasks(1))
    return best_time_us(
        lambda: matching_targets(policy, job, job.tasks[0], dict(listed))
    )


def make_entry(number: int, team: str, batch: int) -> QueuedTask:
    """Return a waiting task with a payload of its own."""
    task = attrs.evolve(make_tasks(1)[0], payload={"gate": f"gate-{number}"})
    targets = frozenset(target.name for target in make_targets(20))
    name = f"dc1~host-1~1~{batch:x}/{number}/{batch}"
    return QueuedTask(OWN, batch, name, task, targets, team, "c1", 0, 60_000)


def bytes_of_queue(tasks: int) -> float:
    """Return the memory of a home's queue with batches of 20."""
    targets = frozenset(target.name for target in make_targets(20))

    def build() -> object:
        queue = make_policy_parts(PolicyInForce()).queue
        for number in range(tasks):
            entry = make_entry(number, "office", number // 20)
            queue.push(attrs.evolve(entry, targets=targets))
        return queue

    return allocated_bytes(build)


def bytes_of_owned(jobs: int) -> float:
    """Return the memory of jobs of 20 tasks that wait at owner and home."""

    def build() -> object:
        engine = make_engine(targets=24)
        for number in range(jobs):
            job = Job(engine.ids.mint(1)[0], "bench", make_tasks(20))
            engine.submit(number, job)
        return engine

    return allocated_bytes(build)


def bytes_of_targets(targets: int) -> float:
    """Return the memory of an engine that knows some targets."""
    return allocated_bytes(lambda: make_engine(targets, HOSTS_PER_DATA_CENTRE - 1))


def time_of_queue(teams: int) -> float:
    """Return the time of one push and one pop while some teams wait."""
    queue = make_policy_parts(PolicyInForce()).queue
    target = make_targets(20)[0]
    queue.replace_targets(make_targets(20), 160)
    for number in range(teams * 10):
        queue.push(make_entry(number, f"team-{number % teams}", number))
    numbers = iter(range(10**6, 10**9))

    def push_and_pop() -> None:
        entry = queue.pop(target, 0)
        queue.record_run(entry, 100)
        number = next(numbers)
        queue.push(attrs.evolve(entry, batch=number, task_id=f"j/{number}/0"))

    return best_time_us(push_and_pop, 300)


SUBJECTS = (
    Subject("engine_time", "us", "task", (1, 10, 50, 100, 200), time_of_jobs),
    Subject(
        "frames_time",
        "us",
        "task",
        (1, 10, 50, 200),
        time_of_frames(make_batch, make_results),
    ),
    Subject(
        "frames_bytes",
        "bytes",
        "task",
        (1, 10, 50, 200),
        bytes_of_frames(make_batch, make_results),
    ),
    Subject("queue_memory", "bytes", "task", (1_000, 2_000, 4_000), bytes_of_queue),
    Subject("job_memory", "bytes", "job", (50, 100, 200), bytes_of_owned),
    Subject("queue_time", "us", "team", (10, 50, 150, 300), time_of_queue),
    Subject("tick_time", "us", "target", (10, 20, 80, 160), time_of_ticks),
    Subject("target_memory", "bytes", "target", (24, 154, 500), bytes_of_targets),
    Subject("match_time", "us", "target", (24, 154, 500, 2_000), time_of_first_match),
    Subject("heartbeat_time", "us", "host", (7, 15, 31, 63), time_of_heartbeats),
    Subject(
        "heartbeat_bytes",
        "bytes",
        "target",
        (4, 20, 80),
        bytes_of_frames(make_heartbeat),
    ),
    Subject("list_time", "us", "data_centre", (1, 3, 7, 13), time_of_new_list),
    Subject("policy_time", "us", "team", (10, 50, 150), time_of_policy),
    Subject(
        "policy_bytes",
        "bytes",
        "team",
        (10, 50, 150),
        lambda teams: float(len(policy_text_of(teams))),
    ),
)
