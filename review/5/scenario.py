"""Tasks crash their workers while the store is slow."""

import math
import random
import sys
import threading
import time
import traceback
from pathlib import Path

from lab import ZONES, Lab, LabError, WorkerSpec, is_disturbed

from hibiscusstack_standins.estate.events import LifeEnded, RunStarted
from hibiscusstack_standins.estate.jobs import Job, Step

WORKERS_PER_ZONE = 4
HOSTS = 6
CLIENTS = 9
PLAIN_WORK_MS = (450, 900)
PLAIN_TASKS = 4
PLAIN_CPU = 3_000
CULPRITS = 17
CULPRIT_INTERVAL_S = 10 / 17
CULPRIT_CPU = 6_800
SLOW_AFTER_S = 2
CRASH_DELAY_MS = 700
# An answer of the store takes 4 ms otherwise.
SLOW_MS = 69 * 4 - 4
SLOW_S = 4.9
SLOW_TIMES = 2
CONTACT_S = 3.0
WATCH_S = 50
MAX_CRASHES = 3
MAX_LATER_STARTS = 2
QUEUES = {"q": {"max_attempts": 2, "target_latency_ms": 60, "stretch": 1.6}}


def run() -> bool:
    """Run the case; return whether the rule was broken."""
    workers = [
        WorkerSpec(f"w{zone}{number}", name)
        for zone, name in enumerate(ZONES)
        for number in range(WORKERS_PER_ZONE)
    ]
    culprits = [_make_culprit(number) for number in range(CULPRITS)]
    stop = threading.Event()
    with Lab(Path(__file__).parent, workers, queues=QUEUES) as lab:
        lab.add_jobs(culprits)
        lab.start_hosts(HOSTS)
        clients = [
            threading.Thread(target=_send_plain_jobs, args=(lab, number, stop))
            for number in range(CLIENTS)
        ]
        for client in clients:
            client.start()
        rng = random.Random(5)
        try:
            time.sleep(6)
            accepted: list[Job] = []
            sender = threading.Thread(
                target=_send_culprits, args=(lab, culprits, accepted)
            )
            sender.start()
            time.sleep(SLOW_AFTER_S)
            touch_ms = _disturb(lab) if is_disturbed() else -math.inf
            sender.join()
            if not accepted:
                raise LabError("no job was accepted")
            _wait_for_ends(lab, accepted, rng)
        finally:
            stop.set()
            for client in clients:
                client.join()
        return _find_broken(lab, accepted, touch_ms)


def _make_culprit(number: int) -> Job:
    """Return a job whose task crashes its worker; without trouble it is sound."""
    step = Step(
        1,
        CRASH_DELAY_MS + 600,
        cpu=CULPRIT_CPU,
        mem_mb=64,
        crashing=(0,) if is_disturbed() else (),
        crash_delay_ms=CRASH_DELAY_MS,
    )
    return Job(f"c0ffee{number:010x}", spec="culprit", steps=(step,), max_attempts=2)


def _send_culprits(lab: Lab, culprits: list[Job], accepted: list[Job]) -> None:
    """Submit the jobs with a task that crashes its workers, each once."""
    rng = random.Random(6)
    for job in culprits:
        if lab.submit(job, lab.random_host(rng)).is_accepted:
            accepted.append(job)
        time.sleep(CULPRIT_INTERVAL_S)


def _send_plain_jobs(lab: Lab, number: int, stop: threading.Event) -> None:
    """Send jobs that keep the workers busy, one after the other."""
    rng = random.Random(number)
    sent = 0
    while not stop.is_set():
        sent += 1
        work_ms = rng.randint(*PLAIN_WORK_MS)
        step = Step(PLAIN_TASKS, work_ms, cpu=PLAIN_CPU, mem_mb=64)
        job = Job(f"{number:04x}{sent:012x}", steps=(step,), best_effort=True)
        lab.add_jobs([job])
        lab.submit(job, lab.random_host(rng))


def _disturb(lab: Lab) -> float:
    """Make the store slow; return when the machines are in touch again."""
    for _ in range(SLOW_TIMES):
        lab.with_store(lambda _, store: setattr(store, "slow_ms", SLOW_MS), "slow")
        time.sleep(SLOW_S)
        lab.with_store(lambda _, store: setattr(store, "slow_ms", 0), "as before")
        time.sleep(CONTACT_S)
    return lab.at_ms()


def _wait_for_ends(lab: Lab, jobs: list[Job], rng: random.Random) -> None:
    until = time.monotonic() + WATCH_S
    left = list(jobs)
    while left and time.monotonic() < until:
        left = [
            job
            for job in left
            if lab.ask(job, lab.random_host(rng)).body.get("state")
            not in ("completed", "failed")
        ]
        time.sleep(1)


def _find_broken(lab: Lab, jobs: list[Job], touch_ms: float) -> bool:
    """Return whether a task was started too often after three crashes.

    Starts before ``touch_ms``, when the machines are in touch again, don't count.
    """
    events = lab.events()
    is_broken = False
    for job in jobs:
        starts = [
            event
            for event in events
            if isinstance(event, RunStarted) and event.task == f"{job.id}.0.0.0"
        ]
        lives = {(event.worker, event.born) for event in starts}
        crashes_ms = sorted(
            event.at_ms
            for event in events
            if isinstance(event, LifeEnded) and (event.worker, event.born) in lives
        )
        limit_ms = (*crashes_ms[MAX_CRASHES - 1 :], math.inf)[0]
        later = sum(event.at_ms > max(limit_ms, touch_ms) for event in starts)
        text = f"{job.id}: {len(starts)} starts, {later} of them after three crashes"
        lab.note(f"{text} and in touch")
        if later > MAX_LATER_STARTS:
            print(f"{text} and by machines in touch")
            is_broken = True
    return is_broken


if __name__ == "__main__":
    try:
        IS_BROKEN = run()
    except Exception:
        traceback.print_exc()
        sys.exit(2)
    sys.exit(1 if IS_BROKEN else 0)
