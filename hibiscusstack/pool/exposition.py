"""Counters and gauges of a pool host in the Prometheus text format."""

__all__ = ["render_metrics"]

from collections.abc import Iterator, Mapping

from hibiscusstack.pool.counters import PoolCounters
from hibiscusstack.pool.views import PoolDetails

_PREFIX = "hibiscus_pool_"

_COUNTERS = {
    "jobs": ("end", "Jobs of callers at this host, by end."),
    "refused_requests": ("reason", "Requests refused before there was a job."),
    "jobs_moved": ("", "Jobs handed to another coordinator than before."),
    "starts": ("", "Starts sent to targets."),
    "refused_starts": ("reason", "Starts that brought no run, by reason."),
    "runs_again": ("", "Tasks that wait again after a run without a result."),
    "lost_runs": ("", "Runs that ended with the instance or lease of their target."),
    "given_up_tasks": ("", "Tasks given up because they crashed their targets."),
    "delayed_jobs": ("cause", "Jobs that waited for an earlier run, by cause."),
    "resubmitted_starts": ("reason", "Starts for resubmitted jobs, by reason."),
    "adopted_runs": ("", "Runs of an earlier coordinator that were adopted."),
    "overdue_runs": ("", "Runs stopped because they took too long."),
    "stops": ("", "Stops sent to targets."),
    "holds": ("", "Holds sent to targets."),
    "silent_targets": ("", "Times that a target fell silent."),
    "terms": ("", "Terms that began."),
    "log_calls": ("call", "Calls to the platform's log, by kind."),
    "shed_clients": ("cause", "Connections ended as clients held too much."),
    "refused_records": ("topic", "Records skipped since they can't be decoded."),
}
_GAUGES = {
    "is_ready": "1 if the balancer is told to send callers.",
    "is_coordinator": "1 if this host coordinates.",
    "term": "The fencing token of the newest known term.",
    "configuration_version": "The version of the configuration in force.",
    "routes": "Routes of the configuration.",
    "listed_targets": "Targets that are listed.",
    "missing_targets": "Recorded targets that this coordinator does not control.",
    "jobs_in_progress": "Jobs that this host coordinates.",
    "jobs_waiting_here": "Jobs whose callers wait at this host.",
    "held_targets": "Targets that take work of this coordinator.",
    "runs": "Runs on the targets of this coordinator.",
    "waiting_tasks": "Tasks of this coordinator that wait for room.",
    "evacuated_data_centres": "Data centres that operators have asked to evacuate.",
    "evacuated_runs": "Runs that go on in data centres that are evacuated.",
    "oldest_wait_ms": "How long the oldest job with waiting tasks has waited.",
}


def render_metrics(counters: PoolCounters, details: PoolDetails) -> str:
    """Return the metrics: help and type of each, then one line for each sample.

    >>> from hibiscusstack.pool.views import PoolView
    >>> details = PoolDetails(PoolView("a", "dc1", 1, "ready", 8, "dc1/a", *[0] * 6))
    >>> text = render_metrics(PoolCounters(starts=3), details)
    >>> "hibiscus_pool_starts_total 3" in text.splitlines()
    True
    """
    lines: list[str] = []
    for name, (label, doc) in _COUNTERS.items():
        lines += _render_header(f"{name}_total", "counter", doc)
        lines += _render_samples(f"{name}_total", label, getattr(counters, name))
    for name, value in _gauge_values(details):
        lines += _render_header(name, "gauge", _GAUGES[name])
        lines.append(f"{_PREFIX}{name} {value}")
    return "\n".join(lines) + "\n"


def _render_header(name: str, kind: str, doc: str) -> tuple[str, str]:
    return f"# HELP {_PREFIX}{name} {doc}", f"# TYPE {_PREFIX}{name} {kind}"


def _render_samples(
    name: str, label: str, value: int | Mapping[str, int]
) -> Iterator[str]:
    if not label:
        yield f"{_PREFIX}{name} {value}"
        return
    for key, count in sorted(value.items()):
        yield f'{_PREFIX}{name}{{{label}="{_escape(key)}"}} {count}'


def _escape(text: str) -> str:
    return text.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def _gauge_values(details: PoolDetails) -> Iterator[tuple[str, int]]:
    host = details.host
    yield "is_ready", int(host.phase == "ready")
    yield "is_coordinator", int(host.is_coordinator)
    for name in ("term", "configuration_version", "routes", "listed_targets"):
        yield name, getattr(host, name)
    yield "missing_targets", host.missing_targets
    yield "jobs_in_progress", host.jobs_in_progress
    yield "jobs_waiting_here", host.jobs_waiting_here
    yield "held_targets", sum(each.phase == "held" for each in details.targets)
    yield "runs", sum(each.runs for each in details.targets)
    yield "waiting_tasks", sum(each.tasks for each in details.queue)
    yield "evacuated_data_centres", len(details.evacuations)
    yield "evacuated_runs", sum(each.runs for each in details.evacuations)
    waits = (each.oldest_wait_ms for each in details.queue)
    yield "oldest_wait_ms", max(waits, default=0)
