"""The workers with a label are lost while jobs that require it go on coming."""

import random
import sys
import time
import traceback
from pathlib import Path

from lab import ZONES, Lab, LabError, WorkerSpec, is_disturbed

from hibiscusstack_standins.estate.jobs import Job, Step

WORKERS_PER_ZONE = 5
# 2 of 15 workers are of the kind b: a share of 0.133.
LABELLED = ("w00", "w10")
LABEL = "b"
HOSTS = 6
TRAFFIC_S = 16
JOB_INTERVAL_S = 0.2
CRASH_AFTER_S = 4
FINISH_S = 14
WATCH_S = 3


def run() -> bool:
    """Run the case; return whether the rule was broken."""
    names = [
        (f"w{zone}{number}", place)
        for zone, place in enumerate(ZONES)
        for number in range(WORKERS_PER_ZONE)
    ]
    workers = [
        WorkerSpec(name, place, (LABEL if name in LABELLED else "a",))
        for name, place in names
    ]
    count = round(TRAFFIC_S / JOB_INTERVAL_S)
    jobs = [_make_job(number) for number in range(count)]
    rng = random.Random(2)
    with Lab(Path(__file__).parent, workers) as lab:
        lab.add_jobs(jobs)
        lab.start_hosts(HOSTS)
        accepted = []
        began = time.monotonic()
        is_crashed = False
        for number, job in enumerate(jobs):
            time.sleep(max(0, began + number * JOB_INTERVAL_S - time.monotonic()))
            if (
                is_disturbed()
                and not is_crashed
                and number * JOB_INTERVAL_S >= CRASH_AFTER_S
            ):
                is_crashed = True
                for name in LABELLED:
                    lab.crash_worker(name)
            if lab.submit(job, lab.random_host(rng)).is_accepted:
                accepted.append(job)
        time.sleep(FINISH_S)
        return _find_starved(lab, accepted, rng)


def _make_job(number: int) -> Job:
    """Return a job; every other one requires the label."""
    requires = LABEL if number % 2 else ""
    step = Step(2, 200, cpu=6_800, mem_mb=64, requires=requires)
    return Job(f"{number + 1:016x}", spec="parts", steps=(step,))


def _find_starved(lab: Lab, accepted: list[Job], rng: random.Random) -> bool:
    """Return whether a job that needs no label has nothing running for ``WATCH_S``."""
    plain = [job for job in accepted if not job.steps[0].requires]
    if not plain:
        raise LabError("no job was accepted")
    waiting = {
        job.id
        for job in plain
        if lab.ask(job, lab.random_host(rng)).body.get("state") in ("queued", "running")
    }
    until = time.monotonic() + WATCH_S
    while time.monotonic() < until:
        waiting -= {task.partition(".")[0] for task in lab.running()}
        time.sleep(0.05)
    text = f"{len(plain)} accepted without a label, {len(waiting)} of them wait"
    lab.note(f"{text}; {len(lab.running())} tasks run on all workers")
    print(text)
    return bool(waiting)


if __name__ == "__main__":
    try:
        IS_BROKEN = run()
    except Exception:
        traceback.print_exc()
        sys.exit(2)
    sys.exit(1 if IS_BROKEN else 0)
