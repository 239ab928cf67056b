"""Interfaces to what a pool host needs from its environment."""

__all__ = [
    "AppendRefused",
    "Appended",
    "Fenced",
    "KeyedLog",
    "KeyedPage",
    "KeyedRecord",
    "OutOfSequence",
    "Producer",
    "Readiness",
    "SequencedLog",
]

from collections.abc import Sequence
from typing import Protocol

import attrs
from twisted.internet.defer import Deferred


@attrs.frozen
class KeyedRecord:
    """One record of a keyed topic; ``value`` is None if the key was deleted."""

    offset: int
    key: str
    value: bytes | None


@attrs.frozen
class KeyedPage:
    """Records of a topic; ``end`` is the offset that the next record will get.

    With ``has_more`` the topic had further records, for which the page had no room.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    has_more: bool = False


@attrs.frozen
class Appended:
    """The append succeeded, at ``offset``."""

    offset: int


@attrs.frozen
class AppendRefused:
    """Nothing was appended: the topic ended at ``end``, not at the expected offset."""

    end: int


class KeyedLog(Protocol):
    """A log that keeps the newest record of each key of a topic.

    Calls fail with :class:`~hibiscusstack.exceptions.UnavailableError`. An append that
    fails with it may have taken effect, or may still do so later.
    """

    def read_newest(self, topic: str) -> Deferred[KeyedPage]:
        """Return the newest record of each key, and an end no later than they are."""

    def read_from(self, topic: str, offset: int, wait_ms: int) -> Deferred[KeyedPage]:
        """Return the records from ``offset`` on; wait up to ``wait_ms`` for one.

        Fails with :class:`~hibiscusstack.exceptions.ExpiredError` if the topic no
        longer has some of them.
        """

    def append(
        self, topic: str, key: str, value: bytes, at: int | None = None
    ) -> Deferred[Appended | AppendRefused]:
        """Append a record; with ``at``, only if the topic ends at that offset."""

    def append_all(
        self, topic: str, records: Sequence[tuple[str, bytes]], at: int
    ) -> Deferred[Appended | AppendRefused]:
        """Append all records or none, only if the topic ends at offset ``at``.

        Each record is a key and its value; an empty value deletes the key.
        """


@attrs.frozen
class Producer:
    """A writer that numbers its appends to a topic consecutively.

    In each epoch the numbers may start at any value. Once a topic has seen an epoch, it
    refuses appends of all lower epochs of the producer with the same name.
    """

    name: str
    epoch: int


@attrs.frozen
class Fenced:
    """Nothing was appended: a higher epoch of the producer has begun."""


@attrs.frozen
class OutOfSequence:
    """Nothing was appended: the producer's next number must be ``expected``."""

    expected: int


class SequencedLog(KeyedLog, Protocol):
    """A keyed log with idempotent appends: each takes effect once, however often sent.

    Calls fail with :class:`~hibiscusstack.exceptions.NotDoneError` if nothing was
    done, and with another :class:`~hibiscusstack.exceptions.UnavailableError` if the
    outcome is unknown.
    """

    def begin_epoch(
        self, topic: str, producer: Producer
    ) -> Deferred[Appended | Fenced]:
        """Fence all lower epochs of the producer; return the end of the topic."""

    def append_numbered(
        self,
        topic: str,
        records: Sequence[tuple[str, bytes]],
        producer: Producer,
        number: int,
    ) -> Deferred[Appended | Fenced | OutOfSequence]:
        """Append all records or none; an empty value deletes its key."""


class Readiness(Protocol):
    """Tells the load balancer whether to send connections to this host."""

    def set_ready(self, is_ready: bool) -> None:
        """Set whether this host accepts requests."""
