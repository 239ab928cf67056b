"""The measures of a run by name, as tables, comparisons and plots use them."""

__all__ = ["HEADLINES", "measures_of"]

from hibiscusstack_standins.lab.figures import GroupFigures, RunFigures

HEADLINES = (
    "earned",
    "earned worst class",
    "earned worst data centre",
    "earned worst windows",
    "in time",
    "late",
    "refused",
    "unanswered",
    "latency/objective p50",
    "latency/objective p99",
    "starts/task",
    "wasted core-s",
    "messages/job",
    "calls/job",
    "violations",
)
"""The measures of whole runs, in the order of tables."""

_WORST_WINDOWS = 2
_UNANSWERED = ("lost", "gave-up", "open")


def measures_of(run: RunFigures) -> dict[str, float]:
    """Return every measure of a run by its name.

    Parts are of 1. Those of a class or a data centre end with its name.
    """
    measures = _headlines(run)
    for name, group in run.classes.items():
        measures |= _measures_of_group(group, name)
    for name, group in run.data_centres.items():
        measures[f"earned {name}"] = group.earned_part
    return measures


def _headlines(run: RunFigures) -> dict[str, float]:
    total = run.total
    jobs = max(1, total.jobs)
    windows = sorted(each.earned_part for each in run.windows if each.jobs)
    worst = windows[:_WORST_WINDOWS]
    values = (
        total.earned_part,
        min((each.earned_part for each in run.classes.values()), default=1.0),
        min((each.earned_part for each in run.data_centres.values()), default=1.0),
        sum(worst) / len(worst) if worst else 1.0,
        total.in_time / jobs,
        total.late / jobs,
        total.ends.get("refused", 0) / jobs,
        sum(total.ends.get(end, 0) for end in _UNANSWERED) / jobs,
        total.ratio_p50,
        total.ratio_p99,
        run.starts / max(1, run.tasks),
        run.wasted_core_s,
        run.host_messages / jobs,
        sum(run.calls.values()) / jobs,
        float(sum(run.violations.values())),
    )
    return dict(zip(HEADLINES, values, strict=True))


def _measures_of_group(group: GroupFigures, name: str) -> dict[str, float]:
    jobs = max(1, group.jobs)
    return {
        f"earned {name}": group.earned_part,
        f"refused {name}": group.ends.get("refused", 0) / jobs,
        f"p50 ms {name}": group.p50_ms,
        f"p99 ms {name}": group.p99_ms,
    }
