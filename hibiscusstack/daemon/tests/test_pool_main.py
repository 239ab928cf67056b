"""The command line of a host of pools, and its settings while it runs."""

import io

import pytest
from eliot import log_message

from hibiscusstack.daemon.pool_main import SettingsFile, run_pool_host
from hibiscusstack.settings import PoolSettings, read_settings
from hibiscusstack.settings.tests.test_pool_sections import VALID_SETTINGS


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "host.ini"
    path.write_text(VALID_SETTINGS)
    return path


def build(settings, reactor):
    pytest.fail("a host was started")


@pytest.mark.parametrize("is_named", [True, False])
def test_a_file_without_faults_is_confirmed(path, capsys, is_named):
    named = [str(path)] if is_named else []
    run_pool_host(build, ["--check-config", *named], str(path))
    assert capsys.readouterr().out == f"{path}: no faults\n"


@pytest.mark.parametrize("arguments", [["--check-config"], []])
def test_every_fault_is_a_line_on_stderr(path, capsys, arguments):
    path.write_text(VALID_SETTINGS.replace("h1", "h 1").replace("8169", "store"))
    with pytest.raises(SystemExit) as ending:
        run_pool_host(build, arguments, str(path))
    assert ending.value.code == 2
    lines = capsys.readouterr().err.splitlines()
    starts = [f"{path} [host] name: ", f"{path} [log] address: "]
    assert [line.startswith(start) for line, start in zip(lines, starts, strict=True)]


def test_without_a_file_the_command_line_is_wrong(capsys):
    with pytest.raises(SystemExit) as ending:
        run_pool_host(build, [], None)
    assert ending.value.code == 2
    assert "file" in capsys.readouterr().err


@pytest.fixture
def running(path):
    """Return the settings of a running host, and what it logs."""
    output = io.StringIO()
    file = SettingsFile(path, read_settings(path, PoolSettings).ok, output)
    yield file, output
    file.close()


def reload(running):
    file, output = running
    output.seek(0)
    output.truncate()
    file.reload()
    return [line.split(" ", 1)[1] for line in output.getvalue().splitlines()]


def test_a_new_level_of_the_logs_is_taken_over(running, path):
    path.write_text(VALID_SETTINGS + "[telemetry]\nlog_level = debug\n")
    assert reload(running) == [
        'level=info event=settings:read changed="[\\"telemetry.log_level\\"]"'
    ]
    log_message("test:detail", level="debug")
    assert running[1].getvalue().count("test:detail") == 1
    path.write_text(VALID_SETTINGS)
    reload(running)
    log_message("test:detail", level="debug")
    assert "test:detail" not in running[1].getvalue()


def test_what_needs_a_restart_is_named(running, path):
    path.write_text(VALID_SETTINGS + "lease_ms = 800\n")
    assert reload(running)[1] == (
        'level=warning event=settings:needs_restart keys="[\\"targets.lease_ms\\"]"'
    )


def test_a_file_with_faults_changes_nothing(running, path):
    path.write_text(
        VALID_SETTINGS + "lease_ms = long\n[telemetry]\nlog_level = debug\n"
    )
    (line,) = reload(running)
    assert line.startswith("level=error event=settings:refused")
    log_message("test:detail", level="debug")
    assert "test:detail" not in running[1].getvalue()
