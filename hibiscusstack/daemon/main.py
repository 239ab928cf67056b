"""The command line of the daemon."""

__all__ = ["main"]

import argparse
import signal
import sys
from pathlib import Path

import argcomplete
from twisted.internet import reactor

from hibiscusstack.daemon.daemon import Daemon
from hibiscusstack.daemon.lifecycle import StopCause
from hibiscusstack.exceptions import SettingsError
from hibiscusstack.settings import Settings, read_settings
from hibiscusstack.telemetry.logs import start_logging

EXIT_INVALID_SETTINGS = 2

_EPILOG = """\
examples:
  hibiscusd --check-config host.ini
  hibiscusd host.ini

TERM starts a graceful stop: readiness checks fail, peers are told, work in progress
is finished and every caller is answered. A second TERM stops the process at once.

exit codes:
  0  stopped after everything was answered
  2  the settings have faults, or the command line is wrong
  3  could not listen on an address
  4  the graceful stop timed out with work in progress
  5  a second TERM stopped the process with work in progress
"""


def main() -> None:
    """Run the daemon until a signal or an operator stops it."""
    parser = _build_parser()
    argcomplete.autocomplete(parser)
    arguments = parser.parse_args()
    settings = read_settings(arguments.file)
    if settings.is_error():
        _print_faults(settings.error)
        sys.exit(EXIT_INVALID_SETTINGS)
    if arguments.check_config:
        print(f"{arguments.file}: no faults")
        return
    sys.exit(_run(settings.ok))


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="hibiscusd",
        description="A dispatcher host: accepts jobs and runs their tasks on targets.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("file", type=Path, help="the settings, see docs/SETTINGS.md")
    parser.add_argument(
        "--check-config",
        action="store_true",
        help="name every fault in the settings and start nothing",
    )
    return parser


def _print_faults(error: SettingsError) -> None:
    for fault in error.faults:
        print(fault, file=sys.stderr)


def _run(settings: Settings) -> int:
    start_logging(sys.stdout, settings.telemetry.log_level)
    causes: list[StopCause] = []

    def stopped(cause: StopCause) -> None:
        causes.append(cause)
        reactor.stop()

    daemon = Daemon(settings, reactor, stopped)

    def request_stop(*_: object) -> None:
        reactor.callFromThread(daemon.lifecycle.stop_requested)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, request_stop)
    reactor.callWhenRunning(daemon.start)
    reactor.run(installSignalHandlers=False)
    return causes[0].value
