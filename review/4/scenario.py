"""A task that crashes its workers, while the store is down and a host is killed."""

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
from hibiscusstack_standins.estate.store_service import Outage

WORKERS_PER_ZONE = 4
HOSTS = 6
CLIENTS = 13
PLAIN_WORK_MS = 900
CRASH_DELAY_MS = 1_000
OUTAGE_S = 4.2
# Two workers have crashed under the task by then.
KILL_AFTER_CRASHES = 2
RESTART_AFTER_S = 1.0
CONTACT_S = 3.0
WATCH_S = 45
MAX_CRASHES = 3
MAX_LATER_STARTS = 2
CULPRIT = Job(
    "c0ffee0000000000",
    spec="culprit",
    max_attempts=2,
    steps=(
        Step(1, 300, cpu=6_800, mem_mb=64),
        Step(
            1,
            PLAIN_WORK_MS + CRASH_DELAY_MS,
            cpu=6_800,
            mem_mb=64,
            after=(0,),
            crashing=(0,),
            crash_delay_ms=CRASH_DELAY_MS,
        ),
    ),
)
TASK = f"{CULPRIT.id}.0.1.0"


def run() -> bool:
    """Run the case; return whether the rule was broken."""
    workers = [
        WorkerSpec(f"w{zone}{number}", name)
        for zone, name in enumerate(ZONES)
        for number in range(WORKERS_PER_ZONE)
    ]
    queues = {"q": {"max_attempts": 2, "target_latency_ms": 60, "stretch": 1.6}}
    stop = threading.Event()
    with Lab(Path(__file__).parent, workers, queues=queues) as lab:
        lab.add_jobs([CULPRIT])
        lab.start_hosts(HOSTS)
        clients = [
            threading.Thread(target=_send_plain_jobs, args=(lab, number, stop))
            for number in range(CLIENTS)
        ]
        for client in clients:
            client.start()
        try:
            time.sleep(3)
            if not lab.submit(CULPRIT, lab.random_host(random.Random(3))).is_accepted:
                raise LabError("the job was not accepted")
            calm_s = -math.inf
            if is_disturbed():
                calm_s = _disturb(lab)
            touch_ms = lab.at_ms() + 1000 * (calm_s + CONTACT_S - time.monotonic())
            _wait_for_end(lab)
        finally:
            stop.set()
            for client in clients:
                client.join()
        return _count_starts(lab, touch_ms)


def _send_plain_jobs(lab: Lab, number: int, stop: threading.Event) -> None:
    """Send jobs that keep the workers busy, one after the other."""
    rng = random.Random(number)
    sent = 0
    while not stop.is_set():
        sent += 1
        step = Step(1, PLAIN_WORK_MS, cpu=6_800, mem_mb=64)
        job = Job(f"{number:04x}{sent:012x}", steps=(step,), best_effort=True)
        lab.add_jobs([job])
        lab.submit(job, lab.random_host(rng))


def _disturb(lab: Lab) -> float:
    """Take the store down, and kill the coordinator; return when both are over."""
    coordinator = lab.find_coordinator()
    outage = [Outage("reset")]
    lab.with_store(lambda now, store: store.set_outages(now, outage), "store down")
    end_s = time.monotonic() + OUTAGE_S
    while len(_crashes_ms(lab)) < KILL_AFTER_CRASHES and time.monotonic() < end_s:
        time.sleep(0.02)
    lab.kill(coordinator)
    killed_s = time.monotonic()
    time.sleep(max(0, end_s - time.monotonic()))
    lab.with_store(lambda now, store: store.set_outages(now, []), "store up")
    up_s = time.monotonic()
    time.sleep(max(0, killed_s + RESTART_AFTER_S - time.monotonic()))
    lab.launch(coordinator)
    return max(up_s, killed_s)


def _wait_for_end(lab: Lab) -> None:
    until = time.monotonic() + WATCH_S
    host = next(iter(lab.hosts.values()))
    while time.monotonic() < until:
        if lab.ask(CULPRIT, host).body.get("state") == "failed":
            return
        time.sleep(1)


def _crashes_ms(lab: Lab) -> list[int]:
    """Return when workers crashed while the task ran there."""
    events = lab.events()
    starts = [e for e in events if isinstance(e, RunStarted) and e.task == TASK]
    return sorted(
        event.at_ms
        for event in events
        if isinstance(event, LifeEnded)
        and any((e.worker, e.born) == (event.worker, event.born) for e in starts)
    )


def _count_starts(lab: Lab, touch_ms: float) -> bool:
    """Return whether the task was started too often after three crashes.

    Starts before ``touch_ms``, when the machines are in touch again, don't count.
    """
    starts_ms = sorted(
        event.at_ms
        for event in lab.events()
        if isinstance(event, RunStarted) and event.task == TASK
    )
    crashes_ms = _crashes_ms(lab)
    limit_ms = crashes_ms[MAX_CRASHES - 1 : MAX_CRASHES]
    later = [ms for ms in starts_ms if limit_ms and ms > max(limit_ms[0], touch_ms)]
    text = f"{len(starts_ms)} starts, {len(crashes_ms)} crashes; {len(later)} starts"
    text += " after three crashes by machines in touch"
    lab.note(text)
    print(text)
    return len(later) > MAX_LATER_STARTS


if __name__ == "__main__":
    try:
        IS_BROKEN = run()
    except Exception:
        traceback.print_exc()
        sys.exit(2)
    sys.exit(1 if IS_BROKEN else 0)
