"""The command line of the lab."""

__all__ = ["main", "run_as_script"]

import importlib.util
import sys
from collections.abc import Sequence
from pathlib import Path

import argcomplete

from hibiscusstack.exceptions import HibiscusError, InvalidInputError
from hibiscusstack_standins.lab.arguments import build_parser

FAULT_STATUS = 2
_ADAPTER = "adapter"


def main(arguments: Sequence[str] | None = None) -> int:
    """Do what the command line asks for, and return the exit status."""
    parser = build_parser()
    argcomplete.autocomplete(parser)
    options = parser.parse_args(arguments)
    try:
        _find_adapter(options.adapter)
        _commands()[options.command](options)
    except HibiscusError as error:
        print(error, file=sys.stderr)
        return FAULT_STATUS
    return 0


def _find_adapter(folder: Path) -> None:
    """Let the platform's adapter be imported; it isn't part of the distribution."""
    if importlib.util.find_spec(_ADAPTER) is not None:
        return
    if not (folder / _ADAPTER).is_dir():
        raise InvalidInputError("--adapter", "the folder of the adapter", str(folder))
    sys.path.insert(0, str(folder.resolve()))


def _commands() -> dict:
    # They import the adapter.
    from hibiscusstack_standins.lab import commands  # noqa: PLC0415

    return {
        "run": commands.run,
        "compare": commands.compare,
        "describe": commands.describe,
        "report": commands.report,
    }


def run_as_script() -> None:
    """Run the command line, and exit with its status."""
    sys.exit(main())
