"""The command line, its results and its report."""

import json

import pytest

from hibiscusstack_standins.lab.main import main
from hibiscusstack_standins.lab.results import read_results
from hibiscusstack_standins.lab.tests.scenarios import SMALL

SHORT = ("--set", "run.duration_ms=600", "run.settle_ms=1500")


@pytest.fixture
def scenario(tmp_path):
    path = tmp_path / "small.ini"
    path.write_text(SMALL)
    return str(path)


def test_run_keeps_results_and_a_page_with_plots(scenario, tmp_path, capsys):
    folder = tmp_path / "kept"
    assert main(["run", scenario, *SHORT, "--quiet", "--out", str(folder)]) == 0
    assert "earned worst class" in capsys.readouterr().out
    (variant,) = read_results(folder).variants
    assert [run.seed for run in variant.runs] == [1, 2]
    page = (folder / "index.html").read_text()
    assert all(f'src="{each.name}"' in page for each in folder.glob("*.svg"))


def test_compare_pairs_the_seeds_of_each_variant(scenario, tmp_path, capsys):
    folder = tmp_path / "kept"
    change = ["--with", "targets.lease_ms=400", "--seeds", "3,5", "--quiet"]
    assert main(["compare", scenario, *SHORT, *change, "--out", str(folder)]) == 0
    assert "targets.lease_ms=400" in capsys.readouterr().out
    base, other = read_results(folder).variants
    assert [run.seed for run in base.runs] == [run.seed for run in other.runs] == [3, 5]
    assert other.changes[-1] == "targets.lease_ms=400"


def test_report_writes_the_page_of_kept_results_again(scenario, tmp_path):
    folder = tmp_path / "kept"
    main(["run", scenario, *SHORT, "--seeds", "1", "--quiet", "--out", str(folder)])
    first = (folder / "index.html").read_text()
    (folder / "index.html").unlink()
    assert main(["report", str(folder)]) == 0
    assert (folder / "index.html").read_text() == first


def test_faults_are_named_and_give_a_status(scenario, tmp_path, capsys):
    assert main(["run", scenario, "--set", "run.seeds=none"]) == 2
    assert "[run] seeds" in capsys.readouterr().err
    assert main(["report", str(tmp_path)]) == 2
    (tmp_path / "results.json").write_text(json.dumps({"format": 0}))
    assert main(["report", str(tmp_path)]) == 2
