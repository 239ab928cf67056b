"""What keeping the configuration asks of the daemon, and what the daemon hands in."""

__all__ = [
    "AppendLog",
    "ConfigurationChanged",
    "ConfigurationEffect",
    "ConfigurationFault",
    "LogPage",
    "ReadLog",
]

import attrs

from hibiscusstack.dispatch.configuration.chain import IgnoreCause, Version
from hibiscusstack.dispatch.configuration.publication import PublicationDecided
from hibiscusstack.dispatch.effects import SendPeer

DEFAULT_PAGE_RECORDS = 100


@attrs.frozen
class LogPage:
    """Consecutive records of the log, each as (offset, text), and its bounds."""

    records: tuple[tuple[int, str], ...]
    first_offset: int
    next_offset: int


@attrs.frozen
class ReadLog:
    """Read up to ``limit`` records from ``from_offset`` on."""

    from_offset: int
    limit: int = DEFAULT_PAGE_RECORDS


@attrs.frozen
class AppendLog:
    """Append ``text``; ``nonce`` names the publication, empty for a checkpoint."""

    text: str
    nonce: str = ""


@attrs.frozen
class ConfigurationChanged:
    """The version is in force on this host from now on."""

    version: Version


@attrs.frozen
class ConfigurationFault:
    """The log or a peer contradicts what this host has proven."""

    offset: int
    cause: IgnoreCause


ConfigurationEffect = (
    ReadLog
    | AppendLog
    | SendPeer
    | ConfigurationChanged
    | ConfigurationFault
    | PublicationDecided
)
