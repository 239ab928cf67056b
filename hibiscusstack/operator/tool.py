# PYTHON_ARGCOMPLETE_OK
"""The command-line tool ``hibiscus``."""

__all__ = ["main", "run_command"]

import sys
from collections.abc import Awaitable, Callable
from typing import Any

import argcomplete
from twisted.internet.defer import Deferred
from twisted.internet.task import react

from hibiscusstack.exceptions import (
    InvalidInputError,
    RequestRefusedError,
    SettingsError,
    UnavailableError,
)
from hibiscusstack.operator.arguments import build_parser
from hibiscusstack.operator.configuration_commands import (
    diff_configurations,
    publish_configuration,
    show_configuration,
    show_history,
)
from hibiscusstack.operator.context import ToolContext, build_context
from hibiscusstack.operator.exit_codes import ExitCode
from hibiscusstack.operator.host_commands import (
    drain_host,
    show_hosts,
    show_queue,
    show_targets,
    show_trace,
)
from hibiscusstack.operator.job_commands import (
    cancel_job,
    fetch_ids,
    show_status,
    submit_jobs,
)
from hibiscusstack.operator.pool_commands import (
    show_pool,
    show_pool_evacuations,
    show_pool_queue,
    show_pool_runs,
    show_pool_targets,
)

Command = Callable[[ToolContext], Awaitable[ExitCode]]

COMMANDS: dict[str, Command] = {
    "submit": submit_jobs,
    "status": show_status,
    "cancel": cancel_job,
    "ids": fetch_ids,
    "config publish": publish_configuration,
    "config show": show_configuration,
    "config history": show_history,
    "config diff": diff_configurations,
    "targets": show_targets,
    "hosts": show_hosts,
    "queue": show_queue,
    "drain": drain_host,
    "trace": show_trace,
    "pool show": show_pool,
    "pool targets": show_pool_targets,
    "pool queue": show_pool_queue,
    "pool evacuations": show_pool_evacuations,
    "pool runs": show_pool_runs,
}


def main() -> None:
    """Run the tool on the arguments of the process and exit with its code."""
    parser = build_parser()
    argcomplete.autocomplete(parser)
    options = parser.parse_args()

    def run(reactor: Any) -> Deferred[None]:
        context = build_context(options, reactor, sys.stdout, sys.stderr)
        return Deferred.fromCoroutine(_run_and_exit(context))

    react(run)


async def run_command(context: ToolContext) -> ExitCode:
    """Return the exit code of the command; errors are written, each with its type."""
    options = context.options
    name = options.command
    if name in ("config", "pool"):
        name = f"{name} {options.action}"
    try:
        return await COMMANDS[name](context)
    except (InvalidInputError, SettingsError, OSError, UnicodeDecodeError) as error:
        context.write_error(f"{type(error).__name__}: {error}")
        return ExitCode.USAGE
    except UnavailableError as error:
        context.write_error(str(error))
        return ExitCode.UNAVAILABLE
    except RequestRefusedError as error:
        context.write_error(str(error))
        return ExitCode.REFUSED


async def _run_and_exit(context: ToolContext) -> None:
    code = await run_command(context)
    raise SystemExit(code.value)
