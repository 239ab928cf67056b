"""The commands of the tool that publish and compare configurations."""

__all__ = [
    "diff_configurations",
    "publish_configuration",
    "show_configuration",
    "show_history",
]

import difflib
import json
from pathlib import Path

import attrs

from hibiscusstack.dispatch.policy.text import read_policy
from hibiscusstack.exceptions import InvalidInputError
from hibiscusstack.operator.admin_client import AdminClient
from hibiscusstack.operator.context import ToolContext
from hibiscusstack.operator.exit_codes import ExitCode
from hibiscusstack.operator.output import format_table
from hibiscusstack.operator.service import (
    ConfigurationVersion,
    PublishAccepted,
    PublishLost,
    PublishUnknown,
)

MAX_SIDES = 2


async def publish_configuration(context: ToolContext) -> ExitCode:
    """Publish a file, unless another version came first."""
    text = Path(context.options.file).read_text(encoding="utf-8")
    faults = read_policy(text)
    if faults.is_error():
        raise faults.error
    client = context.admin_client()
    parent_offset = context.options.parent
    if parent_offset is None:
        in_force = await client.fetch_configuration()
        parent_offset = in_force.offset if in_force else 0
    outcome = await client.publish(text, parent_offset)
    match outcome:
        case PublishAccepted(offset):
            _write_accepted(context, offset, parent_offset)
            return ExitCode.SUCCESS
        case PublishLost(offset_in_force):
            context.write_error(
                f"configuration-conflict: version {offset_in_force} came first; "
                f"compare with: hibiscus config diff {context.options.file}"
            )
            return ExitCode.CONFLICT
        case PublishUnknown(cause):
            context.write_error(
                f"configuration-unknown: {cause}; it may yet come into force, "
                "see: hibiscus config history"
            )
            return ExitCode.UNKNOWN


async def show_configuration(context: ToolContext) -> ExitCode:
    """Write the text of the version in force, or of the one asked for."""
    client = context.admin_client()
    version = await _find_version(client, context.options.version)
    if context.options.json:
        context.write_line(json.dumps(attrs.asdict(version)))
    else:
        context.out.write(version.text)
    return ExitCode.SUCCESS


async def show_history(context: ToolContext) -> ExitCode:
    """Write a line for each accepted version."""
    versions = await context.admin_client().fetch_history()
    if context.options.json:
        for version in versions:
            context.write_line(json.dumps(attrs.asdict(version)))
        return ExitCode.SUCCESS
    rows = [[v.offset, v.parent_offset, len(v.text.splitlines())] for v in versions]
    context.write_line(format_table(["offset", "parent", "lines"], rows))
    return ExitCode.SUCCESS


async def diff_configurations(context: ToolContext) -> ExitCode:
    """Write what changes from the old version to the new one."""
    sides = context.options.sides
    if len(sides) > MAX_SIDES:
        raise InvalidInputError("NEW", "one or two versions", sides)
    client = context.admin_client()
    old_side = sides[0] if len(sides) == MAX_SIDES else None
    old_name, old = await _read_side(client, old_side)
    new_name, new = await _read_side(client, sides[-1])
    lines = difflib.unified_diff(
        old.splitlines(keepends=True), new.splitlines(keepends=True), old_name, new_name
    )
    context.out.writelines(lines)
    return ExitCode.SUCCESS


def _write_accepted(context: ToolContext, offset: int, parent_offset: int) -> None:
    if context.options.json:
        fields = {"offset": offset, "parent_offset": parent_offset}
        context.write_line(json.dumps(fields))
    else:
        context.write_line(f"version {offset} replaces {parent_offset}")


async def _read_side(client: AdminClient, side: str | None) -> tuple[str, str]:
    """Return the name and the text of an offset, a file, or what is in force."""
    if side is not None and not side.isdecimal():
        return side, Path(side).read_text(encoding="utf-8")
    version = await _find_version(client, None if side is None else int(side))
    return f"version {version.offset}", version.text


async def _find_version(
    client: AdminClient, offset: int | None
) -> ConfigurationVersion:
    if offset is None:
        in_force = await client.fetch_configuration()
        return in_force or ConfigurationVersion(0, 0, "")
    for version in await client.fetch_history():
        if version.offset == offset:
            return version
    raise InvalidInputError("OFFSET", "a version in the history", offset)
