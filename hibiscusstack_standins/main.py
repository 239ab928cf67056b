"""The command line of the stand-ins."""

__all__ = ["main"]

import argparse
import json
import sys
from pathlib import Path

import treq
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.web.server import Site

from hibiscusstack_standins.estate.site import EstateSite
from hibiscusstack_standins.fleet import FleetPlan, TargetFleet
from hibiscusstack_standins.journal import StartJournal
from hibiscusstack_standins.platform import platform_application
from hibiscusstack_standins.serving import listen

_EPILOG = """\
examples:
  hibiscus-standins platform --ready-file platform.json
  hibiscus-standins targets --count 24 --platform http://127.0.0.1:8500
  hibiscus-standins estate --workers 6 --ready-file estate.json

A process prints one JSON line with its addresses once it listens. Faults are set by
POST /control/faults, starts are read by GET /control/starts.
"""


def main() -> None:
    """Serve the stand-ins that the command line asks for until told to end."""
    arguments = _parser().parse_args()
    arguments.serve(arguments)
    reactor.run()


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="hibiscus-standins",
        description="Stand-ins for the platform and for targets.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(required=True, metavar="platform|targets|estate")
    platform = commands.add_parser("platform", help="a log and a live list")
    platform.set_defaults(serve=_serve_platform)
    targets = commands.add_parser("targets", help="targets, each on its own port")
    targets.set_defaults(serve=_serve_targets)
    estate = commands.add_parser("estate", help="a site for hosts of pools")
    estate.set_defaults(serve=_serve_estate)
    estate.add_argument("--workers", type=int, default=6)
    estate.add_argument("--heartbeat-ms", type=int, default=1_500)
    estate.add_argument(
        "--expires-in-outage",
        action="store_true",
        help="entries of workers expire while the store is down too",
    )
    for command in (platform, targets, estate):
        command.add_argument("--address", default="127.0.0.1")
        command.add_argument("--port", type=int, default=0, help="0: the kernel's pick")
        command.add_argument("--ready-file", type=Path, help="gets the JSON line too")
    targets.add_argument("--count", type=int, default=24)
    targets.add_argument("--prefix", default="t", help="names are PREFIX1, PREFIX2, …")
    targets.add_argument("--data-centre", default="dc1")
    targets.add_argument("--slots", type=int, default=8)
    targets.add_argument("--connections", type=int, default=64)
    targets.add_argument("--rack-size", type=int, default=8, help="targets per rack")
    targets.add_argument("--seed", type=int, default=0, help="for faults with a share")
    targets.add_argument("--journal", type=Path, help="file that keeps every start")
    targets.add_argument("--platform", help="base address to register the targets at")
    return parser


def _serve_platform(arguments: argparse.Namespace) -> None:
    site = Site(platform_application(reactor).resource())
    listening = listen(reactor, site, arguments.address, arguments.port)
    _announce(arguments, {"role": "platform", "port": listening.getHost().port})


def _serve_targets(arguments: argparse.Namespace) -> None:
    plan = FleetPlan(
        count=arguments.count,
        prefix=arguments.prefix,
        address=arguments.address,
        data_centre=arguments.data_centre,
        slots=arguments.slots,
        connections=arguments.connections,
        rack_size=arguments.rack_size,
        seed=arguments.seed,
    )
    journal = StartJournal(arguments.journal) if arguments.journal else None
    fleet = TargetFleet(reactor, plan, journal.record if journal else None)
    site = Site(fleet.control().resource())
    listening = listen(reactor, site, arguments.address, arguments.port)
    entries = fleet.host_entries()
    ready = {"role": "targets", "port": listening.getHost().port, "hosts": entries}
    if arguments.platform is None:
        _announce(arguments, ready)
        return
    registered = _register(arguments.platform, entries)
    registered.addCallbacks(lambda _: _announce(arguments, ready), _give_up)


def _serve_estate(arguments: argparse.Namespace) -> None:
    estate = EstateSite(
        reactor,
        arguments.workers,
        arguments.address,
        heartbeat_ms=arguments.heartbeat_ms,
        expires_in_outage=arguments.expires_in_outage,
    )
    site = Site(estate.control().resource())
    listening = listen(reactor, site, arguments.address, arguments.port)
    ready = {"port": listening.getHost().port, "store_port": estate.store_port}
    _announce(arguments, {"role": "estate", **ready})


def _register(base_address: str, entries: list[dict]) -> Deferred:
    registered = treq.put(f"{base_address}/control/hosts", json={"hosts": entries})
    return registered.addCallback(treq.content)


def _give_up(failure: object) -> None:
    print(f"registration at the platform failed: {failure}", file=sys.stderr)
    reactor.stop()


def _announce(arguments: argparse.Namespace, ready: dict) -> None:
    line = json.dumps({"address": arguments.address, **ready})
    if arguments.ready_file is not None:
        partial = arguments.ready_file.with_suffix(".partial")
        partial.write_text(f"{line}\n")
        partial.rename(arguments.ready_file)
    print(line, flush=True)
