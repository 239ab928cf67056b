"""The commands of the tool that show hosts of pools."""

__all__ = [
    "show_pool",
    "show_pool_evacuations",
    "show_pool_queue",
    "show_pool_runs",
    "show_pool_targets",
]

from hibiscusstack.operator.context import ToolContext
from hibiscusstack.operator.exit_codes import ExitCode
from hibiscusstack.operator.output import write_views
from hibiscusstack.pool.views import (
    PoolEvacuationView,
    PoolQueueView,
    PoolRunView,
    PoolTargetView,
    PoolView,
)


async def show_pool(context: ToolContext) -> ExitCode:
    """Write what a host says of itself."""
    details = await context.admin_client().fetch_pool()
    write_views(context.out, [details.host], PoolView, context.options.json)
    return ExitCode.SUCCESS


async def show_pool_targets(context: ToolContext) -> ExitCode:
    """Write the targets that the coordinator holds."""
    details = await context.admin_client().fetch_coordinating_pool()
    write_views(context.out, details.targets, PoolTargetView, context.options.json)
    return ExitCode.SUCCESS


async def show_pool_queue(context: ToolContext) -> ExitCode:
    """Write what waits for room at the coordinator."""
    details = await context.admin_client().fetch_coordinating_pool()
    write_views(context.out, details.queue, PoolQueueView, context.options.json)
    return ExitCode.SUCCESS


async def show_pool_evacuations(context: ToolContext) -> ExitCode:
    """Write which data centres are evacuated, and what still runs there."""
    details = await context.admin_client().fetch_coordinating_pool()
    write_views(
        context.out, details.evacuations, PoolEvacuationView, context.options.json
    )
    return ExitCode.SUCCESS


async def show_pool_runs(context: ToolContext) -> ExitCode:
    """Write the last runs that the hosts given ordered, or those of one job."""
    runs, faults = await context.admin_client().fetch_pool_runs(context.options.job)
    for fault in faults:
        context.write_error(fault)
    write_views(context.out, runs, PoolRunView, context.options.json)
    return ExitCode.SUCCESS
