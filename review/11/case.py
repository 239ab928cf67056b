"""A queue moves to another service: the jobs that wait for the old one never run."""

import sys
import time
from pathlib import Path
from typing import Any

from review.lab3.site import ScriptSite, run_case, wait_until

OLD_WORKERS = 4
NEW_WORKERS = 8
NEW_SERVICE = "lipi-booking-next"
FIRST_ID = 0x5C0E7A21D94B3600
JOBS = 8
CPU = 9_000
WORK_MS = 6_000
FINISH_S = 14
NOTHING_RUNS_S = 3
ENDS_S = 60
PAUSE_S = 0.2


def play(site: ScriptSite, has_trouble: bool) -> str:
    """Return how the rule was broken."""
    site.start_estate("--workers", str(OLD_WORKERS))
    for _ in range(NEW_WORKERS):
        site.call("join", service=NEW_SERVICE)
    services = ["lipi-booking", NEW_SERVICE]
    site.call("configure", version=9, service=services[0], services=services)
    site.start_hosts(3)
    job_ids = [f"{FIRST_ID + number:016x}" for number in range(JOBS)]
    for job_id in job_ids:
        _submit(site, job_id)
    last_sent = time.monotonic()
    wait_until(lambda: _count_running(site.state()) == OLD_WORKERS, 5, "the starts")
    if has_trouble:
        site.record.note(f"configuration: the queue moves to {NEW_SERVICE}")
        site.call("configure", version=12, service=NEW_SERVICE, services=[NEW_SERVICE])
    return _watch(site, job_ids, last_sent)


def _submit(site: ScriptSite, job_id: str) -> None:
    step = {"count": 1, "cpu": CPU, "mem_mb": 256}
    site.call(
        "jobs",
        jobs=[{"id": job_id, "spec": job_id, "steps": [{**step, "work_ms": WORK_MS}]}],
    )
    body = {"spec": job_id, "steps": [{**step, "estimate_ms": WORK_MS}]}
    status, _ = site.ask("edge-1", "POST", f"/q/{job_id}", body)
    if status != 200:
        raise ValueError(f"a job was not accepted: {status}")


def _count_running(state: dict[str, Any]) -> int:
    return sum(len(worker["running"]) for worker in state["workers"].values())


def _watch(site: ScriptSite, job_ids: list[str], last_sent: float) -> str:
    """Look for jobs that have nothing running though the service is idle."""
    idle_since: dict[str, float] = {}
    while time.monotonic() < last_sent + ENDS_S:
        time.sleep(PAUSE_S)
        state, now = site.state(), time.monotonic()
        ended = {
            event["task"].partition(".")[0]
            for event in state["events"]
            if event.get("how") == "done"
        }
        if len(ended) == len(job_ids):
            return ""
        workers = state["workers"]
        running = {
            task.partition(".")[0]
            for worker in workers.values()
            for task, _ in worker["running"]
        }
        # Each worker has room for one task, and most of the service is idle.
        new = [workers[f"w{OLD_WORKERS + 1 + n}"] for n in range(NEW_WORKERS)]
        has_room = sum(not worker["running"] for worker in new) > NEW_WORKERS / 2
        for job_id in job_ids:
            is_idle = job_id not in ended and job_id not in running and has_room
            if not is_idle or now < last_sent + FINISH_S:
                idle_since.pop(job_id, None)
                continue
            since = idle_since.setdefault(job_id, now)
            if now - since >= NOTHING_RUNS_S and now >= last_sent + ENDS_S - 5:
                for host in site.hosts:
                    site.ask(host, "GET", f"/q/{job_id}")
                return (
                    f"{len(idle_since)} accepted jobs have had nothing running for"
                    f" {now - since:.0f} s, {now - last_sent:.0f} s after the end of"
                    f" the traffic, and all workers of {NEW_SERVICE} are idle"
                )
    return ""


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
