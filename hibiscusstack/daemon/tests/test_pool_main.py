"""Tests of the command line and settings reload of a dispatcher host for pools."""

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


def fail_on_build(settings, reactor):
    pytest.fail("a host was started")


@pytest.mark.parametrize("is_named", [True, False])
def test_check_config_accepts_valid_file(path, capsys, is_named):
    named = [str(path)] if is_named else []
    run_pool_host(fail_on_build, ["--check-config", *named], str(path))
    assert capsys.readouterr().out == f"{path}: no faults\n"


@pytest.mark.parametrize("arguments", [["--check-config"], []])
def test_each_fault_is_printed_to_stderr(path, capsys, arguments):
    path.write_text(VALID_SETTINGS.replace("h1", "h 1").replace("8169", "store"))
    with pytest.raises(SystemExit) as ending:
        run_pool_host(fail_on_build, arguments, str(path))
    assert ending.value.code == 2
    lines = capsys.readouterr().err.splitlines()
    starts = [f"{path} [host] name: ", f"{path} [log] address: "]
    assert [line.startswith(start) for line, start in zip(lines, starts, strict=True)]


def test_missing_file_argument_is_an_error(capsys):
    with pytest.raises(SystemExit) as ending:
        run_pool_host(fail_on_build, [], None)
    assert ending.value.code == 2
    assert "file" in capsys.readouterr().err


@pytest.fixture
def running_host(path):
    """Yield the settings file of a running host and its log output."""
    output = io.StringIO()
    file = SettingsFile(path, read_settings(path, PoolSettings).ok, output)
    yield file, output
    file.close()


def reload_and_read_log(running_host):
    file, output = running_host
    output.seek(0)
    output.truncate()
    file.reload()
    return [line.split(" ", 1)[1] for line in output.getvalue().splitlines()]


def test_reload_applies_log_level(running_host, path):
    path.write_text(VALID_SETTINGS + "[telemetry]\nlog_level = debug\n")
    assert reload_and_read_log(running_host) == [
        'level=info event=settings:read changed="[\\"telemetry.log_level\\"]"'
    ]
    log_message("test:detail", level="debug")
    assert running_host[1].getvalue().count("test:detail") == 1
    path.write_text(VALID_SETTINGS)
    reload_and_read_log(running_host)
    log_message("test:detail", level="debug")
    assert "test:detail" not in running_host[1].getvalue()


def test_reload_names_settings_that_need_restart(running_host, path):
    path.write_text(VALID_SETTINGS + "lease_ms = 800\n")
    assert reload_and_read_log(running_host)[1] == (
        'level=warning event=settings:needs_restart keys="[\\"targets.lease_ms\\"]"'
    )


def test_reload_ignores_file_with_faults(running_host, path):
    path.write_text(
        VALID_SETTINGS + "lease_ms = long\n[telemetry]\nlog_level = debug\n"
    )
    (line,) = reload_and_read_log(running_host)
    assert line.startswith("level=error event=settings:refused")
    log_message("test:detail", level="debug")
    assert "test:detail" not in running_host[1].getvalue()
