"""The jobs of a run."""

from collections import Counter

from hibiscusstack_standins.lab.load import draw_arrivals, rate_per_s
from hibiscusstack_standins.lab.tests.scenarios import small_scenario

BURST = ("burst x.at_ms=1000", "burst x.for_ms=500", "burst x.factor=4")


def test_a_seed_gives_the_same_jobs_whatever_the_settings_of_the_product():
    first = draw_arrivals(small_scenario(), 1)
    assert first == draw_arrivals(small_scenario("targets.lease_ms=400"), 1)
    assert first != draw_arrivals(small_scenario(), 2)


def test_jobs_arrive_by_the_rates_and_shares():
    scenario = small_scenario("run.duration_ms=200000")
    counts = Counter(
        (each.data_centre, each.job_class) for each in draw_arrivals(scenario, 1)
    )
    assert abs(counts["a", "quick"] - 1_500) < 150
    assert abs(counts["b", "slow"] - 250) < 60


def test_a_burst_multiplies_the_rate_of_its_class_for_a_while():
    scenario = small_scenario(*BURST, "burst x.job_class=slow")
    rates = [rate_per_s(scenario, "a", "slow", at_ms) for at_ms in (999, 1_000, 1_500)]
    assert rates == [2.5, 10.0, 2.5]
    assert rate_per_s(scenario, "a", "quick", 1_200) == 7.5


def test_a_wave_swings_about_the_rate():
    wave = ("traffic.shape=wave", "traffic.swing=0.5", "traffic.period_ms=4000")
    scenario = small_scenario(*wave, "data_centre b.phase=0.5")
    assert rate_per_s(scenario, "a", "quick", 1_000) == 7.5 * 1.5
    assert rate_per_s(scenario, "b", "quick", 1_000) == 3.75 * 0.5


def test_draws_keep_to_their_bounds():
    spread = ("class quick.tasks_spread=1", "class quick.most_tasks=3")
    arrivals = draw_arrivals(small_scenario(*spread, "run.duration_ms=60000"), 3)
    counts = {
        step.count
        for each in arrivals
        if each.job_class == "quick"
        for step in each.job.steps
    }
    assert counts == {1, 2, 3}
