"""The arguments of the command-line tool."""

__all__ = ["build_parser", "read_addresses"]

import argparse
import os
from typing import Any

from hibiscusstack.operator.exit_codes import describe_exit_codes

DEFAULT_ENTRY = "http://127.0.0.1:8080"
DEFAULT_ADMIN = "http://127.0.0.1:8081"
ENTRIES_VARIABLE = "HIBISCUS_ENTRIES"
ADMINS_VARIABLE = "HIBISCUS_ADMINS"
CALLER_VARIABLE = "HIBISCUS_CALLER"
ENVIRONMENT_HELP = f"""\
environment:
  {ENTRIES_VARIABLE}  addresses of entry hosts, separated by blanks
  {ADMINS_VARIABLE}   addresses of the operators' interface, if they differ
  {CALLER_VARIABLE}   the caller that jobs are submitted as
"""

Subparsers = argparse._SubParsersAction  # noqa: SLF001


def build_parser() -> argparse.ArgumentParser:
    """Return the parser; ``command`` in its result names the command."""
    parser = argparse.ArgumentParser(
        prog="hibiscus",
        description="Submit jobs to hibiscusstack and operate its hosts.",
        epilog=f"{ENVIRONMENT_HELP}\n{describe_exit_codes()}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    _add_common_arguments(parser, None)
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add_job_commands(commands)
    _add_configuration_commands(commands)
    _add_host_commands(commands)
    _add_pool_commands(commands)
    return parser


def read_addresses(options: argparse.Namespace) -> tuple[list[str], list[str]]:
    """Return the addresses of entry hosts and of operators' interfaces."""
    entries = options.entry or os.environ.get(ENTRIES_VARIABLE, "").split()
    entries = entries or [DEFAULT_ENTRY]
    admins = options.admin or os.environ.get(ADMINS_VARIABLE, "").split()
    return entries, admins or [DEFAULT_ADMIN]


def _add_common_arguments(parser: argparse.ArgumentParser, default: Any) -> None:
    """Add what may stand before or after the command's name."""
    parser.add_argument(
        "--entry",
        action="append",
        default=default,
        metavar="URL",
        help=f"an entry host, may be given again (default {DEFAULT_ENTRY})",
    )
    parser.add_argument(
        "--admin",
        "--host",
        dest="admin",
        action="append",
        default=default,
        metavar="URL",
        help=f"an operators' interface, may be given again (default {DEFAULT_ADMIN})",
    )
    parser.add_argument(
        "--json", action="store_true", default=default, help="write JSON lines"
    )


def _add_job_commands(commands: Subparsers) -> None:
    submit = _add_command(
        commands,
        "submit",
        "submit jobs from JSON files and wait for their answers",
        "hibiscus submit --caller club-7 examples/jobs/kendra-issue-licence.json",
        "hibiscus --json submit --caller club-7 - < job.json",
    )
    submit.add_argument(
        "files",
        nargs="+",
        metavar="FILE",
        help="a JSON file with a job or a list of jobs; - is the standard input",
    )
    _add_caller(submit)
    submit.add_argument(
        "--repeat", type=_positive, default=1, help="submit each job this many times"
    )
    submit.add_argument(
        "--concurrency", type=_positive, default=16, help="jobs in progress at once"
    )
    for name, text in (
        ("status", "show how far a job has come"),
        ("cancel", "cancel a job"),
    ):
        example = f"hibiscus {name} --caller club-7 dc1~h1~5~9"
        command = _add_command(commands, name, text, example)
        command.add_argument("job_id", metavar="ID")
        _add_caller(command)
    ids = _add_command(commands, "ids", "fetch fresh ids", "hibiscus ids --count 5")
    ids.add_argument("--count", type=_positive, default=1)


def _add_configuration_commands(commands: Subparsers) -> None:
    config = commands.add_parser("config", help="publish and compare configurations")
    actions = config.add_subparsers(dest="action", required=True, metavar="ACTION")
    publish = _add_command(
        actions,
        "publish",
        "publish a configuration in place of the one in force",
        "hibiscus config publish examples/kendra.ini",
        "hibiscus config publish --parent 41 new.ini",
    )
    publish.add_argument("file", metavar="FILE", help="an INI file")
    publish.add_argument(
        "--parent",
        type=int,
        metavar="OFFSET",
        help="the version to replace (default: the one in force)",
    )
    show = _add_command(
        actions, "show", "print a configuration", "hibiscus config show 41"
    )
    show.add_argument("version", nargs="?", type=int, metavar="OFFSET")
    _add_command(
        actions, "history", "list the accepted versions", "hibiscus config history"
    )
    diff = _add_command(
        actions,
        "diff",
        "compare two versions, each an offset or a file",
        "hibiscus config diff new.ini",
        "hibiscus config diff 40 41",
    )
    diff.add_argument(
        "sides",
        nargs="+",
        metavar="VERSION",
        help="the old and the new one; the old one may be left out",
    )


def _add_host_commands(commands: Subparsers) -> None:
    for name, text in (
        ("targets", "list the targets that a host knows"),
        ("hosts", "list the dispatcher hosts that a host knows"),
        ("queue", "show what waits on a host"),
    ):
        _add_command(commands, name, text, f"hibiscus {name}")
    drain = _add_command(
        commands,
        "drain",
        "stop a host gracefully",
        "hibiscus drain http://10.0.0.7:8080",
    )
    drain.add_argument(
        "address",
        nargs="?",
        metavar="URL",
        help="the host's operators' interface (default: the one of --admin)",
    )
    trace = _add_command(
        commands, "trace", "show the hops of a job", "hibiscus trace dc1~h1~5~9"
    )
    trace.add_argument("job_id", metavar="ID")


def _add_pool_commands(commands: Subparsers) -> None:
    pool = commands.add_parser("pool", help="show hosts of pools")
    actions = pool.add_subparsers(dest="action", required=True, metavar="ACTION")
    for name, text in (
        ("show", "show the state of a host of pools"),
        ("targets", "list the targets that the coordinator holds"),
        ("queue", "show what waits for room at the coordinator"),
        ("evacuations", "list the data centres that are evacuated"),
    ):
        example = f"hibiscus pool {name} --admin http://10.0.0.7:7735"
        _add_command(actions, name, text, example)
    runs = _add_command(
        actions,
        "runs",
        "list the last runs that hosts started or adopted as coordinators",
        "hibiscus pool runs --job 5c0e --admin http://10.0.0.7:7735",
    )
    runs.add_argument("--job", metavar="ID", help="show the runs of this job only")


def _add_command(
    commands: Subparsers, name: str, text: str, *examples: str
) -> argparse.ArgumentParser:
    rows = [f"  {example}" for example in examples]
    command = commands.add_parser(
        name,
        help=text,
        description=text[0].upper() + text[1:] + ".",
        epilog="\n".join(["examples:", *rows, "", describe_exit_codes()]),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    _add_common_arguments(command, argparse.SUPPRESS)
    return command


def _add_caller(command: argparse.ArgumentParser) -> None:
    default = os.environ.get(CALLER_VARIABLE)
    command.add_argument(
        "--caller",
        default=default,
        required=default is None,
        metavar="NAME",
        help=f"the caller of jobs that name none (default: ${CALLER_VARIABLE})",
    )


def _positive(text: str) -> int:
    number = int(text)
    if number < 1:
        raise argparse.ArgumentTypeError(f"expected 1 or more, found {text}")
    return number
