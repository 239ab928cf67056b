"""The queue of a site, as its operator publishes it and its clients use it."""

__all__ = [
    "DEFAULT_SERVICE",
    "QUEUE_HOST",
    "encode_job",
    "job_path",
    "publish_evacuation",
    "publish_queue",
    "publish_queues",
]

import json
from collections.abc import Mapping
from typing import Any

from hibiscusstack_standins.estate.jobs import Job, Step
from hibiscusstack_standins.estate.log_store import LogStore
from hibiscusstack_standins.estate.records import frame_keyed

QUEUE_HOST = "q.example"
DEFAULT_SERVICE = "s"
_PLAIN = ("cpu", "mem_mb", "gpu", "requires", "data_rack", "anti_affinity")


def publish_queue(store: LogStore, now_ms: int, version: int = 1, **terms: Any) -> None:
    """Write a configuration with one queue as the operator does."""
    publish_queues(store, now_ms, {"q": terms}, version)


def publish_queues(
    store: LogStore,
    now_ms: int,
    queues: Mapping[str, Mapping[str, Any]],
    version: int = 1,
) -> None:
    """Write a configuration with the terms of each queue by its name.

    Queues use the service ``DEFAULT_SERVICE`` unless their terms name another.
    """
    routes = [_encode_route(name, terms) for name, terms in queues.items()]
    body = json.dumps({"version": version, "routes": routes})
    store.put(now_ms, "keyed.op", frame_keyed("config", body.encode()))


def publish_evacuation(
    store: LogStore, now_ms: int, zone: str, *, is_asked: bool = True
) -> None:
    """Ask for the evacuation of a zone as the operator does, or take it back."""
    value = b"{}" if is_asked else b""
    store.put(now_ms, "keyed.op", frame_keyed(f"evacuate/{zone}", value))


def job_path(job: Job) -> str:
    """Return where a client submits a job."""
    return _prefix(job.queue) + job.id


def _prefix(queue: str) -> str:
    return f"/{queue}/"


def _encode_route(name: str, terms: Mapping[str, Any]) -> dict[str, Any]:
    place = {"host": QUEUE_HOST, "path_prefix": _prefix(name)}
    return {"name": name, **place, "service": DEFAULT_SERVICE, **terms}


def encode_job(job: Job) -> bytes:
    """Return the body by which a client submits a job."""
    steps = [_encode_step(step) for step in job.steps]
    body = {"spec": job.spec, "best_effort": job.best_effort, "steps": steps}
    return json.dumps(body).encode()


def _encode_step(step: Step) -> dict[str, Any]:
    named = {name: getattr(step, name) for name in _PLAIN if getattr(step, name)}
    after = list(step.after)
    estimate_ms = step.estimate_ms or step.work_ms
    return {**named, "count": step.count, "estimate_ms": estimate_ms, "after": after}
