"""Logs, metrics and traces."""

from hibiscusstack.telemetry.logs import LogLevel, render_event, start_logging
from hibiscusstack.telemetry.metrics import (
    Metric,
    Metrics,
    StatsdMetrics,
    describe_metrics,
)
from hibiscusstack.telemetry.traces import (
    SpanRecord,
    SpanRing,
    Tracer,
    build_tracer,
    traceparent_of,
)

__all__ = [
    "LogLevel",
    "Metric",
    "Metrics",
    "SpanRecord",
    "SpanRing",
    "StatsdMetrics",
    "Tracer",
    "build_tracer",
    "describe_metrics",
    "render_event",
    "start_logging",
    "traceparent_of",
]
