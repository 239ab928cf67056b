"""Measures of one run, from the fates of its jobs."""

__all__ = ["Measures", "measure"]

import math
from collections.abc import Collection, Sequence

import attrs

from benches.policy.workload import Arrival
from benches.policy.world import Fate, World
from hibiscusstack.dispatch.answers import Outcome

BACKGROUND_MESSAGES = frozenset({"Heartbeat"})


@attrs.frozen
class Measures:
    """What one dispatcher did in one scenario.

    Ratios are of the response time to the run time of the job's longest task. The
    figures of ``other`` work leave out the kinds that a flood is of. Parts lie
    between 0 and 1.
    """

    jobs: int
    succeeded_part: float
    ratio_p50: float
    ratio_p99: float
    other_succeeded_part: float
    other_work_ms: float
    other_ratio_p99: float
    messages_per_task: float
    background_per_s: float
    thrown_away_part: float
    false_refusal_part: float
    refused_part: float
    bad_task_part: float
    unknown_part: float


def percentile(values: Sequence[float], part: float) -> float:
    """Return the value that ``part`` of the values lie at or below.

    >>> percentile([3, 1, 2, 4], 0.5)
    2
    """
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[max(math.ceil(part * len(ordered)) - 1, 0)]


def measure(
    world: World,
    duration_ms: float,
    counted_from_ms: float = 0.0,
    flooded: Collection[str] = (),
) -> Measures:
    """Return the measures of a run; jobs that came too early are left out.

    ``flooded`` names the kinds of work that a flood is of.
    """
    fates = [
        fate
        for fate in world.fates.values()
        if fate.arrival.at_ms >= counted_from_ms
        and not fate.arrival.is_impossible
        and fate.arrival.cancel_after_ms is None
    ]
    others = [fate for fate in fates if fate.arrival.kind.name not in flooded]
    succeeded = [fate for fate in fates if fate.is_success]
    other_succeeded = [fate for fate in others if fate.is_success]
    starts = sum(worker.starts for worker in world.workers)
    attempts = sum(fate.attempts for fate in fates)
    messages = world.dispatcher.messages
    background = sum(messages[name] for name in BACKGROUND_MESSAGES)
    failures = sum(worker.failures for worker in world.workers)
    return Measures(
        jobs=len(fates),
        succeeded_part=_part(len(succeeded), len(fates)),
        ratio_p50=percentile([fate.ratio for fate in succeeded], 0.5),
        ratio_p99=percentile([fate.ratio for fate in succeeded], 0.99),
        other_succeeded_part=_part(len(other_succeeded), len(others)),
        other_work_ms=sum(fate.arrival.work_ms for fate in other_succeeded),
        other_ratio_p99=percentile([fate.ratio for fate in other_succeeded], 0.99),
        messages_per_task=_part(messages.total() - background, starts),
        background_per_s=background / (duration_ms / 1_000),
        thrown_away_part=_thrown_away(world),
        false_refusal_part=_part(sum(f.false_refusals for f in fates), attempts),
        refused_part=_part(_count(fates, Outcome.NOT_RUN), len(fates)),
        bad_task_part=_part(failures, starts),
        unknown_part=_part(_count(fates, Outcome.UNKNOWN), len(fates)),
    )


def _count(fates: Sequence[Fate], outcome: Outcome) -> int:
    return sum(
        fate.verdict is not None and fate.verdict.outcome is outcome for fate in fates
    )


def _part(count: float, total: float) -> float:
    return count / total if total else 0.0


def _thrown_away(world: World) -> float:
    """Return the part of the slot time that went into jobs that did not succeed."""
    wasted_ms = total_ms = 0.0
    for worker in world.workers:
        for number, spent_ms in worker.work_done_ms.items():
            total_ms += spent_ms
            if _is_wasted(world.fates[number]):
                wasted_ms += spent_ms
    return _part(wasted_ms, total_ms)


def _is_wasted(fate: Fate) -> bool:
    arrival: Arrival = fate.arrival
    return not fate.is_success and arrival.cancel_after_ms is None
