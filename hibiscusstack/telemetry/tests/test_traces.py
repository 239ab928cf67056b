"""Spans of jobs and their parents."""

from hibiscusstack.telemetry.traces import build_tracer, traceparent_of

PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
SAMPLED = 1


def test_a_hop_continues_the_trace_of_its_parent():
    tracer = build_tracer("none", 10, "h1")
    outer = tracer.start_span("caller.submit", "j1", PARENT)
    inner = tracer.start_span("target.task", "j1", traceparent_of(outer), task=3)
    inner.end()
    outer.end()
    first, second = tracer.ring.spans_of("j1")
    assert (first.name, first.parent_id) == ("caller.submit", "b7ad6b7169203331")
    assert second.parent_id == first.span_id
    assert first.trace_id == second.trace_id == "0af7651916cd43dd8448eb211c80319c"
    assert second.attributes == {"task": "3"}


def test_a_malformed_parent_starts_a_new_trace():
    tracer = build_tracer("none", 10, "h1")
    tracer.start_span("caller.submit", "j1", "00-nonsense").end()
    (span,) = tracer.ring.spans_of("j1")
    assert span.parent_id == ""


def test_the_ring_keeps_the_newest_spans():
    tracer = build_tracer("none", 3, "h1")
    for number in range(5):
        tracer.start_span("caller.submit", f"j{number}", "").end()
    kept = [n for n in range(5) if tracer.ring.spans_of(f"j{n}")]
    assert kept == [2, 3, 4]


def test_an_unsampled_parent_is_respected():
    tracer = build_tracer("none", 10, "h1")
    tracer.start_span("caller.submit", "j1", PARENT[:-2] + "00").end()
    assert tracer.ring.spans_of("j1") == ()


def test_a_part_of_the_jobs_can_be_traced():
    tracer = build_tracer("none", 10, "h1", percent=0)
    span = tracer.start_span("caller.submit", "j1", "")
    span.end()
    flags = int(traceparent_of(span).rpartition("-")[2], 16)
    assert not flags & SAMPLED
    assert tracer.ring.spans_of("j1") == ()
