"""Scenario files, their changes and their faults."""

from pathlib import Path

import pytest

from hibiscusstack.exceptions import SettingsError
from hibiscusstack_standins.lab.reading import parse_scenario, read_scenario
from hibiscusstack_standins.lab.tests.scenarios import SMALL, small_scenario

SHIPPED = sorted(Path("examples/lab").glob("*.ini"))


def faults_of(text, *changes):
    with pytest.raises(SettingsError) as caught:
        parse_scenario(text, "small.ini", changes)
    return [str(fault) for fault in caught.value.faults]


def test_sections_become_plain_data():
    scenario = small_scenario()
    assert scenario.run.seeds == (1, 2)
    assert list(scenario.data_centres) == ["a", "b"]
    assert scenario.classes["slow"].stretch == 2.0
    assert scenario.targets.lease_ms == 600


def test_a_change_takes_the_place_of_a_value():
    scenario = small_scenario("class quick.tasks=5", "peers.patience_ms=300")
    assert scenario.classes["quick"].tasks == 5
    assert scenario.peers.patience_ms == 300


def test_every_fault_names_file_section_and_key():
    found = faults_of(
        SMALL, "class quick.run_ms=soon", "run.seeds=5-1", "data_centre a.hots=1"
    )
    assert [fault.partition(":")[0] for fault in found] == [
        "small.ini [run] seeds",
        "small.ini [data_centre a] hots",
        "small.ini [class quick] run_ms",
    ]


@pytest.mark.parametrize(
    ("change", "where"),
    [
        ("burst x.at_ms=1", "[burst x] for_ms"),
        ("fault x.kind=rain", "[fault x] kind"),
        ("nothing.at_ms=1", "[nothing]"),
        ("run.least_delay_ms=5", "[run] least_delay_ms"),
        ("peers.silence_ms=50", "[peers] silence_ms"),
    ],
)
def test_a_fault_is_found(change, where):
    assert f"small.ini {where}: " in "\n".join(faults_of(SMALL, change))


def test_names_of_other_sections_are_checked():
    burst = [f"burst x.{each}" for each in ("at_ms=0", "for_ms=1", "factor=2")]
    assert "[burst x] job_class" in faults_of(SMALL, *burst, "burst x.job_class=z")[0]
    fault = ["fault x.kind=host-killed", "fault x.at_ms=1", "fault x.data_centre=z"]
    assert "[fault x] data_centre" in faults_of(SMALL, *fault)[0]


def test_a_change_without_a_place_is_a_fault():
    assert "SECTION.KEY=VALUE" in faults_of(SMALL, "seeds")[0]


@pytest.mark.parametrize("path", SHIPPED, ids=lambda path: path.stem)
def test_shipped_scenarios_are_sound(path):
    assert read_scenario(path).classes
