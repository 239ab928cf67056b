"""What a pool host needs of its surroundings."""

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


@attrs.frozen
class Producer:
    """A writer that numbers its appends to a topic, from any number on in each epoch.

    Once a topic has seen an epoch, it refuses every lower one of the same name.
    """

    name: str
    epoch: int


@attrs.frozen
class Fenced:
    """Nothing was appended, since a higher epoch of the producer has begun."""


@attrs.frozen
class OutOfSequence:
    """Nothing was appended, since the producer's next append has another number."""

    expected: int


class SequencedLog(KeyedLog, Protocol):
    """A keyed log that does an append once, however often it is sent.

    Calls fail with :class:`~hibiscusstack.exceptions.NotDoneError` when nothing was
    done, and with another :class:`~hibiscusstack.exceptions.UnavailableError` when
    that is open.
    """

    def begin_epoch(
        self, topic: str, producer: Producer
    ) -> Deferred[Appended | Fenced]:
        """Let no lower epoch append any more; the offset is the end of the topic."""

    def append_numbered(
        self,
        topic: str,
        records: Sequence[tuple[str, bytes]],
        producer: Producer,
        number: int,
    ) -> Deferred[Appended | Fenced | OutOfSequence]:
        """Append all records or none; an empty value drops its key."""


class Readiness(Protocol):
    """Tells the balancer whether to send connections here."""

    def set_ready(self, is_ready: bool) -> None:
        """Take over whether this host takes requests."""
