"""The goals that the results are held against."""

__all__ = ["judge_goals"]

from collections.abc import Iterator

from benches.policy.report import Results

OURS = "hibiscus"
NO_FLOOD = "_without_flood"
MOST_P99_OVER_CENTRAL = 1.10
MOST_MESSAGES_STEADY = 0.05
MOST_MESSAGES_FLOOD = 0.2
LEAST_OTHER_WORK = 0.95
MOST_OTHER_P99 = 1.5
MOST_WASTED_FLOOD = 0.02
MOST_BAD_TASKS = 0.01


def judge_goals(results: Results) -> list[str]:
    """Return one line for each goal that the results allow to judge."""
    lines = []
    for organisation, scenario in dict.fromkeys(key[:2] for key in results):
        for name, value, goal, is_met in _judge(results, organisation, scenario):
            verdict = "met" if is_met else "MISSED"
            lines.append(f"goal {organisation}.{scenario}.{name}: {value} {verdict}")
            lines[-1] += f" (goal {goal})"
    return lines


Judgement = tuple[str, str, str, bool]


def _judge(results: Results, organisation: str, scenario: str) -> Iterator[Judgement]:
    ours = results.get((organisation, scenario, OURS))
    if ours is None:
        return
    if scenario == "steady_70":
        yield from _judge_steady(results, organisation, scenario)
    if scenario == "black_holes":
        value = ours.bad_task_part
        is_met = value < MOST_BAD_TASKS
        yield "bad_task_part", f"{value:.4f}", f"< {MOST_BAD_TASKS}", is_met
    calm = results.get((organisation, scenario + NO_FLOOD, OURS))
    if calm is None:
        return
    kept = ours.other_work_ms / calm.other_work_ms
    is_met = kept >= LEAST_OTHER_WORK
    yield "other_work_kept", f"{kept:.4f}", f">= {LEAST_OTHER_WORK}", is_met
    factor = ours.other_ratio_p99 / calm.other_ratio_p99
    is_met = factor <= MOST_OTHER_P99
    yield "other_p99_factor", f"{factor:.3f}", f"<= {MOST_OTHER_P99}", is_met
    messages = ours.messages_per_task
    is_met = messages <= MOST_MESSAGES_FLOOD
    yield "messages_per_task", f"{messages:.3f}", f"<= {MOST_MESSAGES_FLOOD}", is_met
    wasted = ours.thrown_away_part
    is_met = wasted < MOST_WASTED_FLOOD
    yield "thrown_away_part", f"{wasted:.4f}", f"< {MOST_WASTED_FLOOD}", is_met


def _judge_steady(
    results: Results, organisation: str, scenario: str
) -> Iterator[Judgement]:
    ours = results[organisation, scenario, OURS]
    messages = ours.messages_per_task
    is_met = messages <= MOST_MESSAGES_STEADY
    yield "messages_per_task", f"{messages:.3f}", f"<= {MOST_MESSAGES_STEADY}", is_met
    for other, limit in (
        ("central", MOST_P99_OVER_CENTRAL),
        ("central_shortest", MOST_P99_OVER_CENTRAL),
        ("random", 1.0),
        ("two_choices", 1.0),
    ):
        theirs = results.get((organisation, scenario, other))
        if theirs is not None:
            factor = ours.ratio_p99 / theirs.ratio_p99
            goal = f"<= {limit}"
            yield f"p99_over_{other}", f"{factor:.3f}", goal, factor <= limit
