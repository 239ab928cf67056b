"""Spans of the hops of jobs, kept in memory and, if wished, exported."""

__all__ = ["SpanRecord", "SpanRing", "Tracer", "build_tracer", "traceparent_of"]

import re
import sys
from collections import deque
from collections.abc import Mapping

import attrs
from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.export import ConsoleSpanExporter, SimpleSpanProcessor
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import (
    NonRecordingSpan,
    Span,
    SpanContext,
    TraceFlags,
    format_span_id,
    format_trace_id,
    set_span_in_context,
)
from opentelemetry.trace import Tracer as ApiTracer

JOB_ATTRIBUTE = "job_id"
NANOSECONDS_PER_MS = 1_000_000

_TRACEPARENT = re.compile(r"00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")

_PackedSpan = tuple[str | int, ...]


@attrs.frozen
class SpanRecord:
    """One hop that has ended; ``start_ms`` is the time of day."""

    job_id: str
    name: str
    trace_id: str
    span_id: str
    parent_id: str
    start_ms: float
    duration_ms: float
    attributes: Mapping[str, str]


class SpanRing(SpanProcessor):
    """The newest spans of jobs, bounded in number."""

    def __init__(self, max_spans: int) -> None:
        self._max_spans = max_spans
        self._order: deque[str] = deque()
        self._by_job: dict[str, deque[_PackedSpan]] = {}

    def on_start(self, span: Span, parent_context: Context | None = None) -> None:
        """Do nothing: a span is kept once it has ended."""

    def on_end(self, span: ReadableSpan) -> None:
        """Keep a span that belongs to a job, in place of the oldest."""
        job_id = str((span.attributes or {}).get(JOB_ATTRIBUTE, ""))
        if not job_id:
            return
        self._by_job.setdefault(job_id, deque()).append(_pack(span))
        self._order.append(job_id)
        if len(self._order) > self._max_spans:
            self._drop_oldest()

    def spans_of(self, job_id: str) -> tuple[SpanRecord, ...]:
        """Return the kept spans of one job in the order of their starts."""
        spans = self._by_job.get(job_id, ())
        records = [_unpack(job_id, span) for span in spans]
        return tuple(sorted(records, key=lambda record: record.start_ms))

    def _drop_oldest(self) -> None:
        job_id = self._order.popleft()
        spans = self._by_job[job_id]
        spans.popleft()
        if not spans:
            del self._by_job[job_id]


@attrs.frozen
class Tracer:
    """Starts spans whose parent came with a request or a message."""

    provider: TracerProvider
    ring: SpanRing
    spans: ApiTracer

    def start_span(
        self, name: str, job_id: str, traceparent: str, **attributes: str | int
    ) -> Span:
        """Return a span that has begun; whoever asked for it ends it.

        An empty or malformed ``traceparent`` makes it the root of a new trace.
        """
        return self.spans.start_span(
            name,
            context=_context_of(traceparent),
            attributes={JOB_ATTRIBUTE: job_id, **attributes},
        )

    def close(self) -> None:
        """Hand over everything that waits to be exported."""
        self.provider.shutdown()


def build_tracer(
    exporter: str, max_spans: int, host_name: str, percent: int = 100
) -> Tracer:
    """Return a tracer that keeps ``max_spans`` spans.

    It traces ``percent`` of the jobs that come without a parent, and the others as
    their parent says.

    ``exporter`` is ``none``, or ``console`` for lines of JSON on
    standard error.

    >>> tracer = build_tracer("none", 10, "h1")
    >>> tracer.start_span("caller.submit", "j1", "").end()
    >>> [span.name for span in tracer.ring.spans_of("j1")]
    ['caller.submit']
    """
    resource = Resource({"service.name": "hibiscusd", "host.name": host_name})
    provider = TracerProvider(
        sampler=ParentBased(TraceIdRatioBased(percent / 100)),
        resource=resource,
        shutdown_on_exit=False,
    )
    ring = SpanRing(max_spans)
    provider.add_span_processor(ring)
    if exporter == "console":
        exporter_to_stderr = ConsoleSpanExporter(
            out=sys.stderr, formatter=_format_as_line
        )
        provider.add_span_processor(SimpleSpanProcessor(exporter_to_stderr))
    return Tracer(provider, ring, provider.get_tracer("hibiscusstack"))


def traceparent_of(span: Span) -> str:
    """Return the W3C header that makes ``span`` the parent of the next hop."""
    context = span.get_span_context()
    trace_id = format_trace_id(context.trace_id)
    span_id = format_span_id(context.span_id)
    return f"00-{trace_id}-{span_id}-{int(context.trace_flags):02x}"


def _format_as_line(span: ReadableSpan) -> str:
    return f"{span.to_json(indent=None)}\n"


def _context_of(traceparent: str) -> Context:
    """Return a context with the remote parent, or an empty one."""
    match = _TRACEPARENT.fullmatch(traceparent)
    if match is None:
        return Context()
    trace_id, span_id, flags = (int(part, 16) for part in match.groups())
    parent = SpanContext(
        trace_id, span_id, is_remote=True, trace_flags=TraceFlags(flags)
    )
    if not parent.is_valid:
        return Context()
    return set_span_in_context(NonRecordingSpan(parent), Context())


def _pack(span: ReadableSpan) -> _PackedSpan:
    """Return a span as one flat tuple, which garbage collection need not visit."""
    context = span.get_span_context()
    parent = span.parent
    packed = [
        span.name,
        context.trace_id,
        context.span_id,
        0 if parent is None else parent.span_id,
        span.start_time,
        span.end_time,
    ]
    for key, value in (span.attributes or {}).items():
        if key != JOB_ATTRIBUTE:
            packed += (key, str(value))
    return tuple(packed)


def _unpack(job_id: str, packed: _PackedSpan) -> SpanRecord:
    name, trace_id, span_id, parent_id, start_ns, end_ns, *pairs = packed
    return SpanRecord(
        job_id=job_id,
        name=name,
        trace_id=format_trace_id(trace_id),
        span_id=format_span_id(span_id),
        parent_id=format_span_id(parent_id) if parent_id else "",
        start_ms=start_ns / NANOSECONDS_PER_MS,
        duration_ms=(end_ns - start_ns) / NANOSECONDS_PER_MS,
        attributes=dict(zip(pairs[::2], pairs[1::2], strict=True)),
    )
