"""Spans of what other hosts hand to this one."""

__all__ = ["PeerHops"]

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
class _OpenHop:
    span: Span
    remaining: int


class PeerHops:
    """Opens a span when a peer hands work over, and ends it with the last answer.

    The message that comes out names the span as parent of the hops that follow.
    """

    def __init__(self, tracer: Tracer) -> None:
        self._tracer = tracer
        self._open: dict[tuple[HostName, type, int], _OpenHop] = {}

    def received(self, sender: HostName, message: Message) -> Message:
        """Return the message with this hop as parent of those that follow."""
        if isinstance(message, ForwardJob):
            job = message.job
            key = (sender, ForwardJob, message.request)
            parent = self._begin("owner.job", key, job.job_id, job.traceparent, 1)
            return attrs.evolve(message, job=attrs.evolve(job, traceparent=parent))
        if isinstance(message, PlaceBatch):
            key = (sender, PlaceBatch, message.batch)
            tasks = len(message.tasks)
            parent = self._begin(
                "home.batch", key, message.job_id, message.traceparent, tasks
            )
            return attrs.evolve(message, traceparent=parent)
        return message

    def sent(self, to: HostName, message: Message) -> None:
        """End the hop that a message answers."""
        if isinstance(message, ForwardAnswer):
            self._advance((to, ForwardJob, message.request), 1)
        elif isinstance(message, BatchResults):
            count = len(message.results) + len(message.returned)
            self._advance((to, PlaceBatch, message.batch), count)

    def lost(self, peer: HostName) -> None:
        """End every hop from a peer that is gone."""
        for key in [key for key in self._open if key[0] == peer]:
            hop = self._open.pop(key)
            hop.span.set_attribute("peer_lost", True)
            hop.span.end()

    def _begin(
        self,
        name: str,
        key: tuple[HostName, type, int],
        job_id: str,
        traceparent: str,
        tasks: int,
    ) -> str:
        hop = self._open.get(key)
        if hop is None:
            peer = key[0].name
            span = self._tracer.start_span(
                name, job_id, traceparent, peer=peer, tasks=tasks
            )
            hop = _OpenHop(span, tasks)
            self._open[key] = hop
        return traceparent_of(hop.span)

    def _advance(self, key: tuple[HostName, type, int], count: int) -> None:
        hop = self._open.get(key)
        if hop is None:
            return
        hop.remaining -= count
        if hop.remaining <= 0:
            del self._open[key]
            hop.span.end()
