"""One page with the tables and plots of results."""

__all__ = ["write_report"]

from collections.abc import Sequence
from html import escape
from pathlib import Path

from hibiscusstack_standins.lab.plots import write_plots
from hibiscusstack_standins.lab.results import Results, Variant
from hibiscusstack_standins.lab.tables import Row, comparison_rows, measure_rows

REPORT_FILE = "index.html"
_STYLE = """\
body { font: 15px sans-serif; max-width: 60em; margin: 2em auto; padding: 0 1em }
table { border-collapse: collapse } td, th { padding: 0.15em 0.8em; text-align: left }
tr:nth-child(even) { background: #f3f3f3 } img { max-width: 100% }
"""


def write_report(results: Results, folder: Path) -> Path:
    """Write the page and its plots into a folder, and return the page."""
    parts = [
        f"<!doctype html><meta charset=utf-8><title>{escape(results.scenario)}</title>",
        f"<style>{_STYLE}</style><h1>{escape(results.scenario)}</h1>",
    ]
    if len(results.variants) > 1:
        parts += ["<h2>Comparison</h2>", _table(comparison_rows(results))]
    for name in write_plots(results, folder):
        parts.append(f'<p><img src="{name}" alt="{name}">')
    for variant in results.variants:
        parts += _describe(variant)
    path = folder / REPORT_FILE
    path.write_text("\n".join(parts) + "\n", "utf-8")
    return path


def _describe(variant: Variant) -> list[str]:
    changes = ", ".join(variant.changes) or "none"
    seeds = ", ".join(str(run.seed) for run in variant.runs)
    return [
        f"<h2>{escape(variant.label)}</h2>",
        f"<p>Changes: {escape(changes)}. Seeds: {seeds}.",
        _table(measure_rows(variant)),
    ]


def _table(rows: Sequence[Row]) -> str:
    head, *body = rows
    lines = ["<table>", _line(head, "th"), *(_line(row, "td") for row in body)]
    return "\n".join([*lines, "</table>"])


def _line(row: Row, tag: str) -> str:
    return "<tr>" + "".join(f"<{tag}>{escape(cell)}</{tag}>" for cell in row)
