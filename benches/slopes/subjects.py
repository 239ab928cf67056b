"""What is measured: the product's decision code and codec at several sizes."""

__all__ = ["SUBJECTS", "Subject"]

import json
from collections.abc import Callable

import attrs

from benches.slopes.builders import (
    HOSTS_PER_DATA_CENTRE,
    NO_TIMEOUT_MS,
    make_batch,
    make_engine,
    make_entry,
    make_heartbeat,
    make_live_list,
    make_results,
    make_targets,
    make_tasks,
    policy_text_of,
    run_to_the_end,
)
from benches.slopes.fitting import allocated_bytes, best_time_us
from hibiscusstack.dispatch.answers import JobAnswer, Outcome
from hibiscusstack.dispatch.jobs import Job
from hibiscusstack.dispatch.messages import (
    HostName,
)
from hibiscusstack.dispatch.planning.policy_components import make_policy_components
from hibiscusstack.dispatch.policy.policy import CurrentPolicy, matching_targets
from hibiscusstack.dispatch.policy.text import read_policy
from hibiscusstack.dispatch.submission.finished import FinishedJobs
from hibiscusstack.host.codec import decode_message, encode_message
from hibiscusstack.records.live_list import decode_live_list

JOBS = 20


@attrs.frozen
class Subject:
    """A cost in ``unit`` for each further ``of``, measured at ``sizes``."""

    name: str
    unit: str
    of: str
    sizes: tuple[int, ...]
    cost: Callable[[int], float]


def time_of_jobs(tasks: int) -> float:
    """Return the time of one job with ``tasks`` tasks on this host alone."""
    engine = make_engine(targets=24)
    numbers = iter(range(10**9))

    def run_job() -> None:
        job = Job(engine.ids.mint(1)[0], "bench", make_tasks(tasks))
        run_to_the_end(engine, engine.submit(next(numbers), job))

    return best_time_us(run_job, JOBS)


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
    listed = list(engine._listed_targets)
    return best_time_us(lambda: engine.targets_listed(listed))


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


def bytes_of_queue(tasks: int) -> float:
    """Return the memory of a home's queue with batches of 20."""
    targets = frozenset(target.name for target in make_targets(20))

    def build() -> object:
        queue = make_policy_components(CurrentPolicy()).queue
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
            job_id = engine.ids.mint(1)[0]
            job = Job(job_id, "bench", make_tasks(20), timeout_ms=NO_TIMEOUT_MS)
            engine.submit(number, job)
        return engine

    return allocated_bytes(build)


def bytes_of_answers(jobs: int) -> float:
    """Return the memory of the kept answers of jobs of 20 tasks."""

    def build() -> object:
        finished = FinishedJobs()
        for number in range(jobs):
            results = make_results(20).results
            answer = JobAnswer(f"job-{number}", Outcome.SUCCEEDED, results)
            finished.put("caller", answer, 0)
        return finished

    return allocated_bytes(build)


def bytes_of_targets(targets: int) -> float:
    """Return the memory of an engine that knows some targets."""
    return allocated_bytes(lambda: make_engine(targets, HOSTS_PER_DATA_CENTRE - 1))


def time_of_queue(teams: int) -> float:
    """Return the time of one push and one pop while some teams wait."""
    queue = make_policy_components(CurrentPolicy()).queue
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


def time_of_live_list(hosts: int) -> float:
    """Return the time of decoding the live list."""
    body = make_live_list(hosts)
    return best_time_us(lambda: decode_live_list(json.loads(body)))


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
    Subject("job_memory", "bytes", "job", (100, 200, 400), bytes_of_owned),
    Subject("answer_memory", "bytes", "job", (500, 1_000, 2_000), bytes_of_answers),
    Subject("queue_time", "us", "team", (10, 50, 150, 300), time_of_queue),
    Subject("tick_time", "us", "target", (10, 20, 80, 160), time_of_ticks),
    Subject("target_memory", "bytes", "target", (24, 154, 500), bytes_of_targets),
    Subject("match_time", "us", "target", (24, 154, 500, 2_000), time_of_first_match),
    Subject("heartbeat_time", "us", "host", (7, 31, 63, 103), time_of_heartbeats),
    Subject(
        "heartbeat_bytes",
        "bytes",
        "target",
        (4, 20, 80),
        bytes_of_frames(make_heartbeat),
    ),
    Subject("list_time", "us", "data_centre", (1, 3, 7, 13), time_of_new_list),
    Subject("live_list_time", "us", "host", (154, 500, 2_000), time_of_live_list),
    Subject(
        "live_list_bytes",
        "bytes",
        "host",
        (154, 500, 2_000),
        lambda hosts: float(len(make_live_list(hosts))),
    ),
    Subject(
        "peer_frame_time",
        "us",
        "target",
        (4, 20, 80),
        time_of_frames(make_heartbeat),
    ),
    Subject("policy_time", "us", "team", (10, 50, 150), time_of_policy),
    Subject(
        "policy_bytes",
        "bytes",
        "team",
        (10, 50, 150),
        lambda teams: float(len(policy_text_of(teams))),
    ),
)
