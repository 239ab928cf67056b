"""What every command of the tool works with."""

__all__ = ["ToolContext", "build_context"]

import argparse
from typing import TextIO

import attrs
from twisted.internet.interfaces import IReactorTime

from hibiscusstack.caller.attempts import EntryClient, HttpRequester
from hibiscusstack.caller.client import CallerClient
from hibiscusstack.caller.client_settings import ClientSettings
from hibiscusstack.caller.connecting import connect_http
from hibiscusstack.operator.admin_client import AdminClient
from hibiscusstack.operator.arguments import read_addresses


@attrs.frozen
class ToolContext:
    """The arguments, the connections and where to write."""

    options: argparse.Namespace
    reactor: IReactorTime
    http: HttpRequester
    out: TextIO
    err: TextIO

    def caller_client(self, caller: str) -> CallerClient:
        """Return a client that submits as ``caller``."""
        entries, _ = read_addresses(self.options)
        return CallerClient(self.reactor, self.http, entries=entries, caller=caller)

    def admin_client(self, address: str | None = None) -> AdminClient:
        """Return a client of one operators' interface, or of all those given."""
        _, admins = read_addresses(self.options)
        return AdminClient(
            [
                EntryClient(url.rstrip("/"), self.http, self.reactor)
                for url in ([address] if address else admins)
            ]
        )

    def write_line(self, text: str) -> None:
        """Write a result."""
        self.out.write(text + "\n")

    def write_error(self, text: str) -> None:
        """Write an error."""
        self.err.write(f"hibiscus: {text}\n")


def build_context(
    options: argparse.Namespace, reactor: IReactorTime, out: TextIO, err: TextIO
) -> ToolContext:
    """Return a context on real connections."""
    http = connect_http(reactor, ClientSettings())
    return ToolContext(options, reactor, http, out, err)
