"""The zone of the coordinator is cut off while stored jobs run in all zones."""

import random
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

OWN = Path(__file__).resolve().parent
sys.path[:0] = [str(OWN.parents[1]), str(OWN.parent / "lab2")]

from small_site import Record, Site, find_twice, note_events, run_scenario  # noqa: E402

from hibiscusstack_standins.estate.jobs import Job, Step  # noqa: E402
from hibiscusstack_standins.estate.runs import Capacity  # noqa: E402

ZONES = ("a", "b", "c")
CLIENTS = 6
PAUSE_S = 0.8
RESEND_S = 1.3
WARM_UP_S = 4
CUT_S = 5.5
AFTER_S = 3
FINISH_S = 10


def scenario(record: Record, scratch: Path, is_trouble: bool) -> list[str]:
    """Run stored jobs of four tasks, and cut the zone of the coordinator off."""
    site = Site(
        scratch,
        record,
        zones=ZONES,
        hosts_per_zone=2,
        workers_per_zone=2,
        capacity=Capacity(cpu=16_000, mem_mb=32_768),
        terms={"max_attempts": 2, "stretch": 1.6, "target_latency_ms": 60},
    )
    is_over = threading.Event()
    try:
        site.start()
        with ThreadPoolExecutor(CLIENTS) as pool:
            clients = [
                pool.submit(_submit_jobs, site, number, is_over)
                for number in range(CLIENTS)
            ]
            try:
                time.sleep(WARM_UP_S)
                coordinator = site.coordinator()
                record.note("coordinator:", coordinator.name)
                if is_trouble:
                    site.cut_zone(coordinator.zone)
                time.sleep(CUT_S)
                if is_trouble:
                    site.mend()
                time.sleep(AFTER_S)
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


def _submit_jobs(site: Site, number: int, is_over: threading.Event) -> None:
    """Submit jobs one after the other; one without an answer is sent again."""
    rng = random.Random(number)
    while not is_over.is_set():
        job_id = f"{rng.getrandbits(64):016x}"
        steps = (Step(4, work_ms=rng.randint(600, 2_400), cpu=2_000, mem_mb=64),)
        job = Job(job_id, spec=f"job {job_id}", steps=steps, max_attempts=2)
        site.add_job(job)
        while site.call(rng.choice(site.hosts), "POST", job).status != 200:
            if is_over.wait(RESEND_S):
                return
        is_over.wait(PAUSE_S)


run_scenario(OWN, scenario)
