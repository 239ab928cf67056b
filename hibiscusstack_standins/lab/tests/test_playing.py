"""Whole runs of small scenarios."""

import pytest

from hibiscusstack_standins.lab.playing import play
from hibiscusstack_standins.lab.scenario import FaultKind
from hibiscusstack_standins.lab.tests.scenarios import small_scenario


def test_the_same_seed_gives_the_same_figures():
    first = play(small_scenario(), 1)
    assert first == play(small_scenario(), 1)
    assert first != play(small_scenario(), 2)


def test_a_calm_run_earns_all_and_is_told_of_its_time():
    spans = []
    run = play(small_scenario(), 1, spans.append)
    assert run.total.earned == run.total.owed > 0
    assert run.starts == run.tasks
    assert run.violations == {}
    assert sum(spans) == 5_000


def test_more_work_than_room_is_refused():
    run = play(small_scenario("traffic.factor=15"), 1)
    assert run.total.ends["refused"] > 0
    assert run.total.earned < run.total.owed
    assert run.violations == {}


def test_a_refused_caller_comes_back_while_it_has_retries():
    patient = ("class quick.patience_ms=4000", "class slow.patience_ms=4000")
    load = ("traffic.factor=15", "run.duration_ms=500", *patient)
    retries = ("class quick.retries=2", "class slow.retries=2")
    refused = [
        play(small_scenario(*load, *more), 1).total.ends.get("refused", 0)
        for more in ((), retries)
    ]
    assert refused[1] < refused[0]


def test_parts_of_the_targets_keep_to_their_jobs():
    run = play(small_scenario("run.parts=2", "data_centre b.targets=2"), 1)
    assert run.violations == {}
    assert run.total.ends == {"completed": run.total.jobs}


@pytest.mark.parametrize("kind", FaultKind)
def test_faults_break_no_rule_and_end(kind):
    fault = {
        "kind": kind,
        "at_ms": 500,
        "for_ms": 700,
        "data_centre": "a",
        "factor": 8,
        "delay_ms": 200,
        "call_share": 0.5,
    }
    changes = [f"fault x.{key}={value}" for key, value in fault.items()]
    run = play(small_scenario(*changes, "run.settle_ms=8000"), 3)
    assert run.violations == {}
    assert run.total.ends["completed"] > 0.5 * run.total.jobs
    assert "open" not in run.total.ends


def test_the_coordinator_can_be_killed_without_notice():
    fault = ["kind=host-killed", "at_ms=800", "is_coordinator=yes", "resets=no"]
    changes = [f"fault x.{each}" for each in (*fault, "for_ms=1000")]
    run = play(small_scenario(*changes), 1)
    assert run.violations == {}
    assert run.total.ends["completed"] > 0.5 * run.total.jobs


def test_an_unanswered_caller_sends_again_while_it_has_resends():
    fault = ["kind=host-killed", "at_ms=1000", "share=1", "for_ms=200"]
    changes = [f"fault x.{each}" for each in fault]
    patient = ("class quick.patience_ms=6000", "class slow.patience_ms=6000")
    load = ("traffic.factor=4", "run.settle_ms=8000", *patient)
    lost = []
    for resends in (0, 3):
        more = [f"class {name}.resends={resends}" for name in ("quick", "slow")]
        run = play(small_scenario(*changes, *load, *more), 1)
        lost.append(run.total.ends.get("lost", 0))
    assert lost[0] > lost[1] == 0
