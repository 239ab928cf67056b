"""Workers that are emptied and taken away, one after the other, under one task."""

import sys
import time
from pathlib import Path
from typing import Any

from review.lab3.site import CannotRunError, ScriptSite, run_case, wait_until

JOB = "5c0e7a21d94b36f8"
WORKERS = 16
WORK_MS = 12_000
LEAVES = 4
REMAINING_MS = 2_000
WORKS_S = 1.0
ENDS_S = 75
PAUSE_S = 0.25


def play(site: ScriptSite, has_trouble: bool) -> str:
    """Return how the rule was broken."""
    site.start_estate("--workers", str(WORKERS))
    site.start_hosts(3)
    step = {"count": 1, "cpu": 2_000, "mem_mb": 1_024, "checkpointing": True}
    site.call(
        "jobs",
        jobs=[{"id": JOB, "spec": JOB, "steps": [{**step, "work_ms": WORK_MS}]}],
    )
    body = {"spec": JOB, "steps": [{**step, "estimate_ms": WORK_MS}]}
    status, _ = site.ask("edge-1", "POST", f"/q/{JOB}", body)
    if status != 200:
        raise ValueError(f"the job was not accepted: {status}")
    began = time.monotonic()
    for _ in range(LEAVES if has_trouble else 0):
        worker = _wait_for_run(site)
        if not worker:
            break
        time.sleep(WORKS_S)
        site.record.note(f"worker {worker} is draining, {REMAINING_MS} ms are left")
        site.call("leave", worker=worker, remaining_ms=REMAINING_MS)
        wait_until(lambda gone=worker: _has_gone(site.state(), gone), 10, "a leave")
        site.record.note(f"worker {worker} has left")
        joined = site.call("join")["worker"]
        site.record.note(f"worker {joined} is new")
    while time.monotonic() < began + ENDS_S:
        status, answer = site.ask("edge-2", "GET", f"/q/{JOB}", is_noted=False)
        if answer.get("state") == "completed":
            return ""
        if status == 200 and answer.get("state") in ("failed", "cancelled"):
            site.record.note(f"GET /q/{JOB}: {answer}")
            return _judge(site.state(), answer["state"])
        time.sleep(PAUSE_S)
    raise CannotRunError("the job has not ended in time")


def _wait_for_run(site: ScriptSite) -> str:
    """Return the worker at which the task runs, empty if the job has ended."""
    found: list[str] = []

    def is_known() -> bool:
        _, answer = site.ask("edge-2", "GET", f"/q/{JOB}", is_noted=False)
        if answer.get("state") not in ("queued", "running"):
            found.append("")
            return True
        workers = site.state()["workers"]
        found[:] = [name for name in workers if workers[name]["running"]]
        return bool(found)

    wait_until(is_known, 20, "a start")
    return found[0]


def _has_gone(state: dict[str, Any], worker: str) -> bool:
    return not state["workers"][worker]["is_up"]


def _judge(state: dict[str, Any], shown: str) -> str:
    """Return how the rule was broken: only ends ``failed`` are a cause."""
    ends = [event["how"] for event in state["events"] if "how" in event]
    if "failed" in ends:
        return ""
    return f"the job is shown as {shown}, no run has ended failed, ends: {ends}"


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
