"""The commands of the tool that show and stop hosts."""

__all__ = ["drain_host", "show_hosts", "show_queue", "show_targets", "show_trace"]

import json

import attrs

from hibiscusstack.exceptions import InvalidInputError
from hibiscusstack.operator.context import ToolContext
from hibiscusstack.operator.exit_codes import ExitCode
from hibiscusstack.operator.output import format_trace, write_views
from hibiscusstack.operator.service import HostView, QueueView, TargetView


async def show_targets(context: ToolContext) -> ExitCode:
    """Write the targets that a host knows."""
    views = await context.admin_client().fetch_targets()
    write_views(context.out, views, TargetView, context.options.json)
    return ExitCode.SUCCESS


async def show_hosts(context: ToolContext) -> ExitCode:
    """Write the dispatcher hosts that a host knows."""
    views = await context.admin_client().fetch_hosts()
    write_views(context.out, views, HostView, context.options.json)
    return ExitCode.SUCCESS


async def show_queue(context: ToolContext) -> ExitCode:
    """Write what waits on a host."""
    views = await context.admin_client().fetch_queue()
    write_views(context.out, views, QueueView, context.options.json)
    return ExitCode.SUCCESS


async def drain_host(context: ToolContext) -> ExitCode:
    """Start the graceful stop of one host, which must be named."""
    address = context.options.address or _only_admin(context)
    await context.admin_client(address).drain()
    context.write_line(f"{address} draining")
    return ExitCode.SUCCESS


async def show_trace(context: ToolContext) -> ExitCode:
    """Write the hops of one job."""
    spans = await context.admin_client().fetch_trace(context.options.job_id)
    if context.options.json:
        for span in spans:
            context.write_line(json.dumps(attrs.asdict(span)))
    else:
        context.write_line(format_trace(spans))
    return ExitCode.SUCCESS


def _only_admin(context: ToolContext) -> str:
    named = context.options.admin or []
    if len(named) != 1:
        raise InvalidInputError("URL", "the one host to stop", named)
    return named[0]
