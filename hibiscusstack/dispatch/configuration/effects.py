"""Effects of the configuration sync for the daemon, and the pages that it passes in."""

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
    """Consecutive records of the log, each as (offset, text), and the log's bounds.

    ``first_offset`` is the oldest offset in the log, ``next_offset`` that of the next
    record to be appended.
    """

    records: tuple[tuple[int, str], ...]
    first_offset: int
    next_offset: int


@attrs.frozen
class ReadLog:
    """Read up to ``limit`` records of the log, starting at ``from_offset``."""

    from_offset: int
    limit: int = DEFAULT_PAGE_RECORDS


@attrs.frozen
class AppendLog:
    """Append ``text`` to the log.

    ``nonce`` identifies the publication and is empty for a checkpoint.
    """

    text: str
    nonce: str = ""


@attrs.frozen
class ConfigurationChanged:
    """``version`` is in force on this host from now on."""

    version: Version


@attrs.frozen
class ConfigurationFault:
    """The log or a peer contradicts what this host has applied."""

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
