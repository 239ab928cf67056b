"""What the command-line tool writes: tables for people, JSON lines for scripts."""

__all__ = ["format_answer", "format_table", "format_trace", "write_views"]

import json
from collections.abc import Iterable, Sequence
from typing import Any, TextIO

import attrs

from hibiscusstack.dispatch.answers import JobAnswer
from hibiscusstack.operator.service import SpanView

COLUMN_GAP = "  "


def format_table(heads: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return rows under their heads, in columns as wide as needed.

    >>> print(format_table(["name", "slots"], [["w1", 8]]))
    name  slots
    w1    8
    """
    cells = [list(heads), *([_format_cell(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = [_format_row(row, widths) for row in cells]
    return "\n".join(lines)


def write_views(out: TextIO, views: Sequence[Any], view: type, as_json: bool) -> None:
    """Write attrs objects of one class, as a table or as JSON lines."""
    if as_json:
        for item in views:
            out.write(json.dumps(attrs.asdict(item)) + "\n")
        return
    heads = [field.name for field in attrs.fields(view)]
    rows = [[getattr(item, head) for head in heads] for item in views]
    out.write(format_table(heads, rows) + "\n")


def format_answer(answer: JobAnswer) -> str:
    """Return one line that says what became of a job.

    >>> from hibiscusstack.dispatch.answers import Reason, not_run
    >>> format_answer(not_run("j1", Reason.QUOTA, retry_after_ms=20))
    'j1 not_run tasks=0 reason=quota-exceeded retry_after_ms=20'
    """
    parts = [answer.job_id, answer.outcome.value, f"tasks={len(answer.results)}"]
    if answer.problem is not None:
        parts.append(f"reason={answer.problem.reason.value}")
        if answer.problem.detail:
            parts.append(f"detail={json.dumps(answer.problem.detail)}")
        if answer.problem.retry_after_ms is not None:
            parts.append(f"retry_after_ms={answer.problem.retry_after_ms}")
    return " ".join(parts)


def format_trace(spans: Sequence[SpanView]) -> str:
    """Return the hops of a job, each below and to the right of its parent."""
    depths: dict[str, int] = {}
    rows = []
    for span in spans:
        depth = depths.get(span.parent_id, -1) + 1
        depths[span.span_id] = depth
        name = COLUMN_GAP * depth + span.name
        times = (f"{span.start_ms:.1f}", f"{span.duration_ms:.1f}")
        rows.append([name, *times, span.attributes])
    return format_table(["hop", "start_ms", "duration_ms", "attributes"], rows)


def _format_cell(value: Any) -> str:
    if isinstance(value, dict):
        return ",".join(f"{name}={text}" for name, text in value.items())
    return str(value)


def _format_row(row: Sequence[str], widths: Sequence[int]) -> str:
    cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
    return COLUMN_GAP.join(cells).rstrip()
