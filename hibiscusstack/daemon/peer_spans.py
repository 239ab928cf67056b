"""Trace spans of the work that peers send to this host."""

__all__ = ["PeerSpans"]

import attrs
from opentelemetry.trace import Span

from hibiscusstack.dispatch.messages import (
    BatchResults,
    ForwardAnswer,
    ForwardJob,
    HostName,
    Message,
    PlaceBatch,
)
from hibiscusstack.telemetry.traces import Tracer, traceparent_of


@attrs.define
class _OpenSpan:
    span: Span
    remaining_results: int


class PeerSpans:
    """Starts a span when a peer sends work, and ends it with the last result.

    The message is passed on with this span as the parent of all later spans.
    """

    def __init__(self, tracer: Tracer) -> None:
        self._tracer = tracer
        self._open: dict[tuple[HostName, type, int], _OpenSpan] = {}

    def message_received(self, sender: HostName, message: Message) -> Message:
        """Start the span of a message with work; return the message with that parent.

        A repeated message keeps the span that is open for it.
        """
        if isinstance(message, ForwardJob):
            job = message.job
            key = (sender, ForwardJob, message.request)
            parent = self._start("owner.job", key, job.job_id, job.traceparent, 1)
            return attrs.evolve(message, job=attrs.evolve(job, traceparent=parent))
        if isinstance(message, PlaceBatch):
            key = (sender, PlaceBatch, message.batch)
            tasks = len(message.tasks)
            parent = self._start(
                "home.batch", key, message.job_id, message.traceparent, tasks
            )
            return attrs.evolve(message, traceparent=parent)
        return message

    def message_sent(self, to: HostName, message: Message) -> None:
        """Count the results in a message, and end the span with the last one."""
        if isinstance(message, ForwardAnswer):
            self._count_results((to, ForwardJob, message.request), 1)
        elif isinstance(message, BatchResults):
            count = len(message.results) + len(message.returned)
            self._count_results((to, PlaceBatch, message.batch), count)

    def peer_lost(self, peer: HostName) -> None:
        """End all open spans of a lost peer, marked with ``peer_lost``."""
        for key in [key for key in self._open if key[0] == peer]:
            open_span = self._open.pop(key)
            open_span.span.set_attribute("peer_lost", True)
            open_span.span.end()

    def _start(
        self,
        name: str,
        key: tuple[HostName, type, int],
        job_id: str,
        traceparent: str,
        tasks: int,
    ) -> str:
        open_span = self._open.get(key)
        if open_span is None:
            peer = key[0].name
            span = self._tracer.start_span(
                name, job_id, traceparent, peer=peer, tasks=tasks
            )
            open_span = _OpenSpan(span, tasks)
            self._open[key] = open_span
        return traceparent_of(open_span.span)

    def _count_results(self, key: tuple[HostName, type, int], count: int) -> None:
        open_span = self._open.get(key)
        if open_span is None:
            return
        open_span.remaining_results -= count
        if open_span.remaining_results <= 0:
            del self._open[key]
            open_span.span.end()
