"""The hosts are killed, those of one zone somewhat earlier than all others.

The others are killed just before the first ones listen again. Each process is started
again half a second after its end. Stored jobs run all the while.
"""

import random
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

OWN = Path(__file__).resolve().parent
sys.path[:0] = [str(OWN.parents[1]), str(OWN.parent / "lab2")]

from small_site import (  # noqa: E402
    Host,
    Record,
    Site,
    find_twice,
    note_events,
    run_scenario,
)

from hibiscusstack_standins.estate.jobs import Job, Step  # noqa: E402
from hibiscusstack_standins.estate.runs import Capacity  # noqa: E402

ZONES = ("a", "b", "c")
CLIENTS = 2
TASKS = 150
PAUSE_S = 1.8
RESEND_S = 1.3
WARM_UP_S = 3
ROUNDS = 6
ROUND_S = 5
RESTART_S = 0.5
# How long before the first ones listen the others are killed.
BEFORE_S = (0.02, 0.08)
FINISH_S = 6


def scenario(record: Record, scratch: Path, is_trouble: bool) -> list[str]:
    """Run stored jobs, and kill the hosts zone after zone."""
    site = Site(
        scratch,
        record,
        zones=ZONES,
        hosts_per_zone=1,
        workers_per_zone=2,
        capacity=Capacity(cpu=16_000, mem_mb=32_768),
        terms={"max_attempts": 2, "stretch": 1.6, "target_latency_ms": 60},
    )
    is_over = threading.Event()
    rng = random.Random(7)
    try:
        site.start()
        with ThreadPoolExecutor(CLIENTS) as pool:
            clients = [
                pool.submit(_submit_jobs, site, number, is_over)
                for number in range(CLIENTS)
            ]
            try:
                time.sleep(WARM_UP_S)
                start_s = _measure_start(site) if is_trouble else 0.0
                for _ in range(ROUNDS):
                    if is_trouble:
                        first, others = _divide(site)
                        _restart(site, first)
                        time.sleep(start_s - rng.uniform(*BEFORE_S))
                        _restart(site, others)
                    time.sleep(ROUND_S)
            finally:
                is_over.set()
            for client in clients:
                client.result()
        time.sleep(FINISH_S)
        events = site.events()
        note_events(record, events)
        return find_twice(events)
    finally:
        site.stop()


def _divide(site: Site) -> tuple[list[Host], list[Host]]:
    """Return the hosts of a zone without the coordinator, and all others."""
    coordinator = site.coordinator()
    zone = next(zone for zone in ZONES if zone != coordinator.zone)
    first = [host for host in site.hosts if host.zone == zone]
    return first, [host for host in site.hosts if host.zone != zone]


def _measure_start(site: Site) -> float:
    """Restart a host and return how long it takes until it listens."""
    host = _divide(site)[0][0]
    _restart(site, [host])
    began_s = time.monotonic()
    site.wait_until_listening(host)
    start_s = time.monotonic() - began_s
    site.wait_until_ready(host)
    return start_s


def _restart(site: Site, hosts: list[Host]) -> None:
    site.kill(*hosts)
    time.sleep(RESTART_S)
    for host in hosts:
        site.launch(host)


def _submit_jobs(site: Site, number: int, is_over: threading.Event) -> None:
    """Submit jobs one after the other; one without an answer is sent again."""
    rng = random.Random(number)
    while not is_over.is_set():
        job_id = f"{rng.getrandbits(64):016x}"
        works_ms = tuple(rng.randint(150, 450) for _ in range(TASKS))
        step = Step(TASKS, 300, cpu=2_000, mem_mb=64, uneven_work_ms=works_ms)
        job = Job(job_id, spec=f"job {job_id}", steps=(step,), max_attempts=2)
        site.add_job(job)
        while site.call(rng.choice(site.hosts), "POST", job).status != 200:
            if is_over.wait(RESEND_S):
                return
        is_over.wait(PAUSE_S)


run_scenario(OWN, scenario)
