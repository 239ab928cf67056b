"""A version of the configuration puts another route in the place of one."""

import random
import sys
import time
import traceback
from collections import Counter
from pathlib import Path

from lab import ZONES, Lab, LabError, WorkerSpec, is_disturbed

from hibiscusstack_standins.estate.jobs import Job, Step

WORKERS_PER_ZONE = 2
HOSTS = 6
JOBS = 20
WORK_MS = 20_000
TERMS = {"max_attempts": 2, "target_latency_ms": 60}
PLACE = {"host": "q.example", "path_prefix": "/q/"}
CONFIG_APPLY_S = 2.0
VISIBLE_S = 3.0
GONE = 410


def run() -> bool:
    """Run the case; return whether the rule was broken."""
    workers = [
        WorkerSpec(f"w{zone}{number}", name)
        for zone, name in enumerate(ZONES)
        for number in range(WORKERS_PER_ZONE)
    ]
    rng = random.Random(5)
    step = Step(1, WORK_MS, cpu=1_000, mem_mb=64)
    jobs = [Job(f"{number:016x}", steps=(step,)) for number in range(1, JOBS + 1)]
    queues = {"route-1": {**TERMS, **PLACE}}
    with Lab(Path(__file__).parent, workers, queues=queues) as lab:
        lab.add_jobs(jobs)
        lab.start_hosts(HOSTS)
        accepted = [
            job for job in jobs if lab.submit(job, lab.random_host(rng)).is_accepted
        ]
        if not accepted:
            raise LabError("no job was accepted")
        if is_disturbed():
            lab.publish({"route-2": {**TERMS, **PLACE}}, version=2)
        time.sleep(CONFIG_APPLY_S + VISIBLE_S + 3)
        running = {task.partition(".")[0] for task in lab.running()}
        statuses = Counter(
            lab.ask(job, lab.random_host(rng)).status for job in accepted
        )
        text = f"{len(accepted)} accepted, {len(running)} of them run; GET: "
        text += ", ".join(f"{count} x {status}" for status, count in statuses.items())
        lab.note(text)
        print(text)
        return GONE in statuses


if __name__ == "__main__":
    try:
        IS_BROKEN = run()
    except Exception:
        traceback.print_exc()
        sys.exit(2)
    sys.exit(1 if IS_BROKEN else 0)
