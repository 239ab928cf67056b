"""Command line of a dispatcher host for pools: settings file, logs and signals."""

__all__ = ["SettingsFile", "run_pool_host"]

import signal
import sys
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import Any, TextIO

import attrs
from eliot import log_message
from twisted.internet import reactor

from hibiscusstack.daemon.pool_daemon import PoolDaemon
from hibiscusstack.exceptions import SettingsError
from hibiscusstack.settings import PoolSettings, read_settings
from hibiscusstack.telemetry.logs import start_logging, stop_logging

EXIT_INVALID_SETTINGS = 2

BuildPoolDaemon = Callable[[PoolSettings, Any], PoolDaemon]


class SettingsFile:
    """The settings of the running process and the file that they were read from."""

    def __init__(self, path: Path, settings: PoolSettings, output: TextIO) -> None:
        self._path = path
        self._settings = settings
        self._output = output
        self._logging = start_logging(output, settings.telemetry.log_level)

    def reload(self) -> None:
        """Read the file again and apply its log level; other changes need a restart."""
        result = read_settings(self._path, PoolSettings)
        if result.is_error():
            for fault in result.error.faults:
                log_message("settings:refused", level="error", fault=str(fault))
            return
        changed = list(_changed_keys(self._settings, result.ok))
        log_message("settings:read", changed=changed)
        restart_keys = [key for key in changed if key != "telemetry.log_level"]
        if restart_keys:
            log_message("settings:needs_restart", level="warning", keys=restart_keys)
        level = result.ok.telemetry.log_level
        if level != self._settings.telemetry.log_level:
            stop_logging(self._logging)
            self._logging = start_logging(self._output, level)
            self._settings = attrs.evolve(self._settings, telemetry=result.ok.telemetry)

    def close(self) -> None:
        """Stop logging."""
        stop_logging(self._logging)


def run_pool_host(
    build: BuildPoolDaemon, arguments: Sequence[str], default_file: str | None
) -> None:
    """Run the daemon that ``build`` returns until a signal stops it."""
    path, is_check = _read_arguments(arguments, default_file)
    result = read_settings(path, PoolSettings)
    if result.is_error():
        _print_faults(result.error)
        sys.exit(EXIT_INVALID_SETTINGS)
    if is_check:
        print(f"{path}: no faults")
        return
    file = SettingsFile(path, result.ok, sys.stdout)
    daemon = build(result.ok, reactor)
    _on_signal(signal.SIGTERM, daemon.stop_requested)
    _on_signal(signal.SIGINT, daemon.stop_requested)
    _on_signal(signal.SIGHUP, file.reload)
    # An entry point may block it until here.
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    reactor.callWhenRunning(daemon.start)
    reactor.run(installSignalHandlers=False)


def _on_signal(number: int, callback: Callable[[], None]) -> None:
    signal.signal(number, lambda *_: reactor.callFromThread(callback))


def _read_arguments(
    arguments: Sequence[str], default_file: str | None
) -> tuple[Path, bool]:
    if not arguments and default_file:
        return Path(default_file), False
    # Hosts usually start without arguments; not importing argparse saves memory.
    import argparse  # noqa: PLC0415

    parser = argparse.ArgumentParser(
        description="A host of pools: accepts jobs for targets that hold leases."
    )
    parser.add_argument(
        "file",
        type=Path,
        nargs="?" if default_file else None,
        default=default_file and Path(default_file),
        help="the settings, see docs/SETTINGS.md",
    )
    parser.add_argument(
        "--check-config",
        action="store_true",
        help="name every fault in the settings and start nothing",
    )
    options = parser.parse_args(arguments)
    return options.file, options.check_config


def _print_faults(error: SettingsError) -> None:
    for fault in error.faults:
        print(fault, file=sys.stderr)


def _changed_keys(old: PoolSettings, new: PoolSettings) -> Iterator[str]:
    after = attrs.asdict(new)
    for section, values in attrs.asdict(old).items():
        for name, value in values.items():
            if after[section][name] != value:
                yield f"{section}.{name}"
