"""Tests of the command line of the daemon."""

import pytest

from hibiscusstack.daemon.main import main

VALID_SETTINGS = """\
[host]
name = h1
data_centre = dc1
address = 127.0.0.1

[platform]
log_url = http://127.0.0.1:8500
list_url = http://127.0.0.1:8500
"""


@pytest.fixture
def run(tmp_path, monkeypatch):
    def run_main(text):
        path = tmp_path / "host.ini"
        path.write_text(text)
        arguments = ["hibiscusd", "--check-config", str(path)]
        monkeypatch.setattr("sys.argv", arguments)
        main()
        return path

    return run_main


def test_check_config_accepts_valid_file(run, capsys):
    path = run(VALID_SETTINGS)
    assert capsys.readouterr().out == f"{path}: no faults\n"


def test_check_config_prints_each_fault_to_stderr(run, capsys, tmp_path):
    text = VALID_SETTINGS.replace("h1", "h 1").replace(
        "[platform]", "cash = 1\n[platform]"
    )
    with pytest.raises(SystemExit) as ending:
        run(text)
    assert ending.value.code == 2
    output = capsys.readouterr()
    path = tmp_path / "host.ini"
    assert output.out == ""
    assert output.err.splitlines() == [
        f"{path} [host] cash: expected one of the keys name, data_centre, address,"
        " peer_port, drain_timeout_ms, leave_ms, found '1'",
        f"{path} [host] name: expected 1 to 64 letters, digits, '.', '_' or '-',"
        " found 'h 1'",
    ]
