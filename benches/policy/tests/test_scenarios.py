"""Tests of the bench: the same verdict for the same seed, and sound fakes."""

import attrs
import pytest

from benches.policy.goals import judge_goals
from benches.policy.scenarios import (
    DISPATCHERS,
    SCENARIOS,
    draw_scenario,
    run_scenario,
)
from benches.policy.workload import KENDRA, SOCIETE

BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}
SHORT = attrs.evolve(BY_NAME["steady_50"], duration_ms=6_500.0)


@pytest.mark.parametrize("dispatcher", DISPATCHERS)
def test_same_seed_gives_the_same_measures(dispatcher):
    first = run_scenario(SHORT, SOCIETE, dispatcher, "7")
    assert first == run_scenario(SHORT, SOCIETE, dispatcher, "7")
    assert first.succeeded_part == 1.0
    assert 1.0 <= first.ratio_p50 <= first.ratio_p99


def test_other_seeds_draw_other_jobs():
    assert draw_scenario(SHORT, KENDRA, "1") != draw_scenario(SHORT, KENDRA, "2")


@pytest.mark.parametrize("organisation", [KENDRA, SOCIETE], ids=lambda each: each.name)
def test_drawn_work_is_the_load_asked_for(organisation):
    scenario = attrs.evolve(BY_NAME["steady_50"], duration_ms=400_000.0)
    work_ms = sum(each.work_ms for each in draw_scenario(scenario, organisation, "1"))
    slots = organisation.workers * organisation.slots
    assert 0.42 <= work_ms / (slots * scenario.duration_ms) <= 0.58


def test_a_flood_adds_to_the_same_other_work():
    scenario = BY_NAME["urgent_flood"]
    flooded = draw_scenario(scenario, KENDRA, "1")
    calm = draw_scenario(scenario.without_flood(), KENDRA, "1")
    others = [each.run_times_ms for each in flooded if not each.is_flood]
    assert others == [each.run_times_ms for each in calm]
    assert len(flooded) > len(calm)


def test_black_holes_fail_a_few_tasks_only():
    fault = BY_NAME["black_holes"].faults[0][1]
    scenario = attrs.evolve(SHORT, faults=((1_000.0, fault),))
    measures = run_scenario(scenario, SOCIETE, "hibiscus", "1")
    blind = run_scenario(scenario, SOCIETE, "random", "1")
    assert measures.bad_task_part < 0.01 < blind.bad_task_part


def test_goal_that_is_missed_is_said_to_be():
    measures = run_scenario(SHORT, SOCIETE, "hibiscus", "1")
    poor = attrs.evolve(measures, messages_per_task=1.0)
    lines = judge_goals({("societe", "steady_70", "hibiscus"): poor})
    assert "MISSED" in lines[0]
    good = attrs.evolve(measures, messages_per_task=0.01)
    assert " met" in judge_goals({("societe", "steady_70", "hibiscus"): good})[0]
