"""What a pool host needs of its surroundings."""

__all__ = [
    "AppendRefused",
    "Appended",
    "KeyedLog",
    "KeyedPage",
    "KeyedRecord",
    "Readiness",
]

from typing import Protocol

import attrs
from twisted.internet.defer import Deferred


@attrs.frozen
class KeyedRecord:
    """One record of a keyed topic; without ``value`` the key was dropped."""

    offset: int
    key: str
    value: bytes | None


@attrs.frozen
class KeyedPage:
    """Records of a topic, and the offset that the next one will get."""

    records: tuple[KeyedRecord, ...]
    end: int


@attrs.frozen
class Appended:
    """The record stands at ``offset``."""

    offset: int


@attrs.frozen
class AppendRefused:
    """The topic did not end at the expected offset but at ``end``."""

    end: int


class KeyedLog(Protocol):
    """A log that keeps the newest record of each key of a topic.

    Calls fail with :class:`~hibiscusstack.exceptions.UnavailableError`; an append that
    fails so may have been done, or may still be.
    """

    def read_newest(self, topic: str) -> Deferred[KeyedPage]:
        """Return the newest record of each key, and an end no later than they are."""

    def read_from(self, topic: str, offset: int, wait_ms: int) -> Deferred[KeyedPage]:
        """Return the records from ``offset`` on, waiting for the first.

        Fails with :class:`~hibiscusstack.exceptions.ExpiredError` when some of them
        are gone.
        """

    def append(
        self, topic: str, key: str, value: bytes, at: int | None = None
    ) -> Deferred[Appended | AppendRefused]:
        """Append a record, if ``at`` is given only where the topic ends there."""


class Readiness(Protocol):
    """Tells the balancer whether to send connections here."""

    def set_ready(self, is_ready: bool) -> None:
        """Take over whether this host takes requests."""
