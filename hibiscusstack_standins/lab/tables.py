"""Tables of results as rows of text."""

__all__ = ["comparison_rows", "measure_rows", "render_table"]

from collections.abc import Sequence

from hibiscusstack_standins.lab.results import Results, Variant
from hibiscusstack_standins.lab.statistics import compare_paired, spread_of

Row = tuple[str, ...]


def measure_rows(variant: Variant) -> list[Row]:
    """Return a head and one row for each measure: mean, deviation and error."""
    rows = [("measure", "mean", "deviation", "std. error", "runs")]
    for measure in variant.measures():
        spread = spread_of(variant.values(measure))
        figures = (spread.mean, spread.deviation, spread.error)
        rows.append((measure, *map(_figure, figures), str(spread.count)))
    return rows


def comparison_rows(results: Results) -> list[Row]:
    """Return a head and one row for each measure of each further variant.

    Each is compared with the first variant, seed by seed; ``*`` marks an interval
    that leaves 0 out.
    """
    base, *others = results.variants
    rows = [("measure", base.label, "with", "mean", "difference", "95 % interval", "")]
    for other in others:
        for measure in base.measures():
            first, second = base.values(measure), other.values(measure)
            difference = compare_paired(first, second)
            rows.append(
                (
                    measure,
                    _figure(spread_of(first).mean),
                    other.label,
                    _figure(spread_of(second).mean),
                    f"{difference.mean:+.4f}",
                    f"{difference.low:+.4f} to {difference.high:+.4f}",
                    "*" if difference.is_clear else "",
                )
            )
    return rows


def render_table(rows: Sequence[Row]) -> str:
    """Return rows as lines with columns of equal width.

    >>> print(render_table([("a", "b"), ("long", "1")]))
    a     b
    long  1
    """
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    )
    return "\n".join(line.rstrip() for line in lines)


def _figure(value: float) -> str:
    return f"{value:.4f}" if abs(value) < 100 else f"{value:.1f}"
