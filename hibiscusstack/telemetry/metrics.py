"""Metrics of the daemon, sent to a statsd server."""

__all__ = ["Metric", "MetricKind", "Metrics", "StatsdMetrics", "describe_metrics"]

from enum import Enum
from typing import Protocol

from statsd import StatsClient

PREFIX = "hibiscus"


class MetricKind(Enum):
    """How a server is to treat the values of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMER = "timer"


class Metric(Enum):
    """Every metric: its name, its kind, its unit, and what it says."""

    JOBS_SUBMITTED = ("jobs.submitted", "counter", "jobs", "Jobs taken from callers.")
    JOBS_SUCCEEDED = ("jobs.succeeded", "counter", "jobs", "Answers: succeeded.")
    JOBS_FAILED = ("jobs.failed", "counter", "jobs", "Answers: failed.")
    JOBS_NOT_RUN = ("jobs.not_run", "counter", "jobs", "Answers: not run.")
    JOBS_UNKNOWN = ("jobs.unknown", "counter", "jobs", "Answers: outcome unknown.")
    JOB_TIME_MS = ("jobs.time_ms", "timer", "ms", "From a submission to its answer.")
    JOBS_WAITING = ("jobs.waiting", "gauge", "jobs", "Submissions without an answer.")
    TASKS_STARTED = ("tasks.started", "counter", "tasks", "Starts sent to targets.")
    TASKS_FINISHED = ("tasks.finished", "counter", "tasks", "Starts with a result.")
    TASKS_REFUSED = ("tasks.refused", "counter", "tasks", "Starts that were refused.")
    TASKS_NOT_SENT = ("tasks.not_sent", "counter", "tasks", "Starts never written.")
    TASKS_SILENT = ("tasks.silent", "counter", "tasks", "Starts without an answer.")
    TASK_TIME_MS = ("tasks.time_ms", "timer", "ms", "From a start to its reply.")
    STOPS_SENT = ("stops.sent", "counter", "requests", "Stop requests to targets.")
    PEER_MESSAGES = ("peers.messages", "counter", "messages", "Sent to peers.")
    PEER_FAILURES = ("peers.send_failures", "counter", "messages", "Not sent to peers.")
    PEERS_CONNECTED = ("peers.connected", "gauge", "hosts", "Peers with a connection.")
    PEERS_LOST = ("peers.lost", "counter", "hosts", "Peers given up as lost.")
    FREE_SLOTS = ("home.free_slots", "gauge", "slots", "Free slots of own targets.")
    QUEUED_MS = ("home.queued_ms", "gauge", "ms", "Run time of all that waits here.")
    HOME_TARGETS = ("home.targets", "gauge", "targets", "Targets with this as home.")
    CONFIGURATION = (
        "configuration.offset",
        "gauge",
        "offset",
        "The version of the configuration in force.",
    )
    COLLECTION_MS = (
        "loop.collection_ms",
        "timer",
        "ms",
        "How long a full garbage collection took.",
    )
    LOOP_DELAY_MS = ("loop.delay_ms", "timer", "ms", "How late the loop runs a timer.")

    def __init__(self, label: str, kind: str, unit: str, doc: str) -> None:
        self.label = label
        self.kind = MetricKind(kind)
        self.unit = unit
        self.doc = doc


class Metrics(Protocol):
    """Where metrics go."""

    def count(self, metric: Metric, amount: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""

    def time(self, metric: Metric, duration_ms: float) -> None:
        """Record a duration."""


class StatsdMetrics:
    """Metrics gathered here and sent by UDP when flushed, many in one datagram.

    Counters are summed and gauges keep their last value until then. Without an
    address they go nowhere.

    >>> metrics = StatsdMetrics("", 8125, "h1")
    >>> metrics.count(Metric.JOBS_SUBMITTED)
    >>> metrics.flush()
    """

    def __init__(self, address: str, port: int, host_name: str) -> None:
        self._client = None
        self._counts: dict[Metric, int] = {}
        self._gauges: dict[Metric, float] = {}
        self._timings: list[tuple[Metric, float]] = []
        if address:
            prefix = f"{PREFIX}.{host_name.replace('.', '_')}"
            is_ipv6 = ":" in address
            self._client = StatsClient(address, port, prefix, ipv6=is_ipv6)

    def count(self, metric: Metric, amount: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._counts[metric] = self._counts.get(metric, 0) + amount

    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._gauges[metric] = value

    def time(self, metric: Metric, duration_ms: float) -> None:
        """Record a duration."""
        if self._client is not None:
            self._timings.append((metric, duration_ms))

    def flush(self) -> None:
        """Send what was gathered since the last flush."""
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for metric, amount in self._counts.items():
                pipeline.incr(metric.label, amount)
            for metric, value in self._gauges.items():
                pipeline.gauge(metric.label, value)
            for metric, duration_ms in self._timings:
                pipeline.timing(metric.label, duration_ms)
        self._counts.clear()
        self._gauges.clear()
        self._timings.clear()


def describe_metrics() -> str:
    """Return a Markdown table of every metric.

    >>> "hibiscus.HOST.jobs.submitted" in describe_metrics()
    True
    """
    lines = ["| metric | kind | unit | meaning |", "| --- | --- | --- | --- |"]
    lines += [
        f"| `{PREFIX}.HOST.{m.label}` | {m.kind.value} | {m.unit} | {m.doc} |"
        for m in Metric
    ]
    return "\n".join(lines)
