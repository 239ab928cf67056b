"""Workers crash and are back at once, while the store is slow."""

import random
import sys
import threading
import time
import traceback
from pathlib import Path

from lab import ZONES, Lab, LabError, WorkerSpec, is_disturbed

from hibiscusstack_standins.estate.auditor import Auditor, Violation
from hibiscusstack_standins.estate.jobs import Job, Step

WORKERS_PER_ZONE = 5
HOSTS = 6
CLIENTS = 6
MEAN_PAUSE_S = 0.06
STEP = Step(8, 20, cpu=6_800, mem_mb=64)
QUEUES = {"q": {"max_attempts": 2, "target_latency_ms": 60, "stretch": 1.6}}
# An answer of the store takes 4 ms otherwise.
SLOW_MS = 69 * 4 - 4
SLOW_S = 4.9
SLOW_TIMES = 5
CALM_S = 3.0
# 2 of 15 workers are a share of 0.133.
CRASHES_AT_ONCE = 2
CRASH_INTERVAL_S = 0.4
DOWN_S = 0.05


def run() -> bool:
    """Run the case; return whether the rule was broken."""
    workers = [
        WorkerSpec(f"w{zone}{number}", name)
        for zone, name in enumerate(ZONES)
        for number in range(WORKERS_PER_ZONE)
    ]
    stop = threading.Event()
    accepted: list[Job] = []
    with Lab(Path(__file__).parent, workers, queues=QUEUES) as lab:
        lab.start_hosts(HOSTS)
        clients = [
            threading.Thread(target=_send_jobs, args=(lab, number, stop, accepted))
            for number in range(CLIENTS)
        ]
        for client in clients:
            client.start()
        rng = random.Random()
        try:
            time.sleep(5)
            for _ in range(SLOW_TIMES):
                if is_disturbed():
                    _disturb(lab, rng)
                else:
                    time.sleep(SLOW_S)
                time.sleep(CALM_S)
        finally:
            stop.set()
            for client in clients:
                client.join()
        time.sleep(CALM_S)
        if not accepted:
            raise LabError("no job was accepted")
        return _report(lab, len(accepted))


def _send_jobs(
    lab: Lab, number: int, stop: threading.Event, accepted: list[Job]
) -> None:
    """Submit stored jobs one after the other, each once."""
    rng = random.Random(number)
    sent = 0
    while not stop.is_set():
        sent += 1
        job = Job(f"{number:04x}{sent:012x}", spec="check", steps=(STEP,))
        lab.add_jobs([job])
        if lab.submit(job, lab.random_host(rng)).is_accepted:
            accepted.append(job)
        time.sleep(rng.uniform(0, 2 * MEAN_PAUSE_S))


def _disturb(lab: Lab, rng: random.Random) -> None:
    """Make the store slow, and let workers crash that run nothing just then."""
    lab.with_store(lambda _, store: setattr(store, "slow_ms", SLOW_MS), "store slow")
    until = time.monotonic() + SLOW_S
    time.sleep(1)
    while time.monotonic() < until - CRASH_INTERVAL_S:
        idle = lab.idle_workers()
        for name in rng.sample(idle, min(len(idle), CRASHES_AT_ONCE)):
            lab.bounce_worker(name, DOWN_S)
        time.sleep(CRASH_INTERVAL_S)
    time.sleep(max(0, until - time.monotonic()))
    lab.with_store(lambda _, store: setattr(store, "slow_ms", 0), "store as before")


def _report(lab: Lab, accepted: int) -> bool:
    """Return whether a task was started after a run that ended ``done``.

    The auditor judges by what the workers saw. It holds an end for taken note of once
    ``acked_through`` has reached it, unless the lease lapsed before.
    """
    found = Auditor(lab.catalog).audit(lab.events(), lab.at_ms())
    twice = [each for each in found if _is_twice(each)]
    for each in found:
        lab.note(f"{each.rule} {each.task} run {each.run}: {each.detail}")
    print(f"{accepted} jobs accepted, {len(twice)} tasks started again when done")
    return bool(twice)


def _is_twice(violation: Violation) -> bool:
    return violation.rule == "TWICE"


if __name__ == "__main__":
    try:
        IS_BROKEN = run()
    except Exception:
        traceback.print_exc()
        sys.exit(2)
    sys.exit(1 if IS_BROKEN else 0)
