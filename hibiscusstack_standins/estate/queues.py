"""The queue of a site, as its operator publishes it and its clients use it."""

__all__ = ["QUEUE_HOST", "encode_job", "job_path", "publish_queue"]

import json
from typing import Any

from hibiscusstack_standins.estate.jobs import Job, Step
from hibiscusstack_standins.estate.log_store import LogStore
from hibiscusstack_standins.estate.records import frame_keyed

QUEUE_HOST = "q.example"
_PREFIX = "/q/"
_PLAIN = ("cpu", "mem_mb", "gpu", "requires", "data_rack", "anti_affinity")


def publish_queue(store: LogStore, now_ms: int, version: int = 1, **terms: Any) -> None:
    """Write a configuration with one queue as the operator does."""
    route = {"name": "q", "host": QUEUE_HOST, "path_prefix": _PREFIX, "service": "s"}
    body = json.dumps({"version": version, "routes": [{**route, **terms}]})
    store.put(now_ms, "keyed.op", frame_keyed("config", body.encode()))


def job_path(job: Job) -> str:
    """Return where a client submits a job."""
    return _PREFIX + job.id


def encode_job(job: Job) -> bytes:
    """Return the body by which a client submits a job."""
    steps = [_encode_step(step) for step in job.steps]
    body = {"spec": job.spec, "best_effort": True, "steps": steps}
    return json.dumps(body).encode()


def _encode_step(step: Step) -> dict[str, Any]:
    named = {name: getattr(step, name) for name in _PLAIN if getattr(step, name)}
    after = list(step.after)
    return {**named, "count": step.count, "estimate_ms": step.work_ms, "after": after}
