"""The arguments of ``hibiscus-lab``."""

__all__ = ["build_parser"]

import argparse
from pathlib import Path

from hibiscusstack_standins.lab.kinds import Seeds

_EPILOG = """\
examples:
  hibiscus-lab run examples/lab/calm-day.ini --seeds 1-5
  hibiscus-lab run examples/lab/scale-day.ini --set traffic.factor=1.3 --out runs/busy
  hibiscus-lab compare examples/lab/scale-day.ini --with targets.lease_ms=400
  hibiscus-lab report runs/busy

A change is SECTION.KEY=VALUE in the words of the scenario file, such as
"class avail-check.share=50". Several changes after one --with make one variant.
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the parser; ``command`` in its result names the command."""
    parser = argparse.ArgumentParser(
        prog="hibiscus-lab",
        description="Play load and faults on hosts of pools in virtual time.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--adapter",
        type=Path,
        default=Path("platform"),
        metavar="FOLDER",
        help="where the platform's adapter is (default: platform)",
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add_play_command(commands, "run", "play a scenario with each seed")
    compare = _add_play_command(commands, "compare", "play it with and without changes")
    compare.add_argument(
        "--with",
        dest="variants",
        action="append",
        nargs="+",
        required=True,
        metavar="CHANGE",
        help="the changes of a variant; may be given again for another one",
    )
    report = commands.add_parser("report", help="write the page of kept results")
    report.add_argument("folder", type=Path, metavar="DIR")
    commands.add_parser("describe", help="print the page on scenario files")
    return parser


def _add_play_command(
    commands: argparse._SubParsersAction,  # noqa: SLF001
    name: str,
    summary: str,
) -> argparse.ArgumentParser:
    command = commands.add_parser(name, help=summary)
    command.add_argument("scenario", type=Path, metavar="SCENARIO")
    command.add_argument(
        "--seeds", type=_seeds, help="such as 1-5 (default: those of the scenario)"
    )
    command.add_argument(
        "--set",
        dest="changes",
        action="extend",
        nargs="+",
        default=[],
        metavar="CHANGE",
        help="changes of the scenario for all runs",
    )
    command.add_argument(
        "--out", type=Path, metavar="DIR", help="keep results and report there"
    )
    command.add_argument("--quiet", action="store_true", help="show no progress bar")
    return command


def _seeds(text: str) -> tuple[int, ...]:
    try:
        return Seeds().parse(text)
    except ValueError:
        raise argparse.ArgumentTypeError(f"expected {Seeds().expected}") from None
