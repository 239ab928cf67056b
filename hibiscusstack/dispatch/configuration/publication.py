"""Publications of this host whose outcome is not known yet."""

__all__ = [
    "Publication",
    "PublicationDecided",
    "PublicationOutcome",
    "PendingPublications",
]

from collections.abc import Callable
from enum import Enum

import attrs

from hibiscusstack.dispatch.configuration.chain import Accepted, AppliedRecord
from hibiscusstack.dispatch.configuration.records import Change, format_record

APPEND_TIMEOUT_MS = 3_000
APPEND_RETRY_MS = 1_000


class PublicationOutcome(Enum):
    """The outcome of a publication.

    ``LOST`` means that another version has replaced the parent, so this one never
    comes into force. ``PARENT_UNKNOWN`` means that nothing was appended, as this host
    has not seen the parent yet. ``UNDECIDED`` means that the version may or may not
    come into force.
    """

    IN_FORCE = "in-force"
    LOST = "lost"
    PARENT_UNKNOWN = "parent-unknown"
    UNDECIDED = "undecided"


@attrs.frozen
class PublicationDecided:
    """The outcome of the publication ``nonce``.

    ``in_force`` is the offset of the version in force at that time.
    """

    nonce: str
    outcome: PublicationOutcome
    in_force: int


@attrs.define
class Publication:
    """One change that is to be appended to the log.

    It may be appended again while no answer has come: both copies have the same
    parent, so at most one of them is accepted.
    """

    nonce: str
    parent: int
    text: str
    deadline_ms: int
    append_due_ms: int = 0
    appended_offset: int | None = None

    @classmethod
    def of_change(
        cls, publisher: str, nonce: str, parent: int, body: str, deadline_ms: int
    ) -> "Publication":
        """Return a publication of the change with these fields."""
        text = format_record(Change(parent, publisher, nonce, body))
        return cls(nonce, parent, text, deadline_ms)


@attrs.define
class PendingPublications:
    """The undecided publications of this host."""

    _pending: dict[str, Publication] = attrs.field(factory=dict, init=False)
    _in_force: int = attrs.field(default=0, init=False)

    def add(self, publication: Publication) -> None:
        """Add a publication, to be appended at once."""
        self._pending[publication.nonce] = publication

    def has_any(self) -> bool:
        """Return whether any publication is undecided."""
        return bool(self._pending)

    def take_due_appends(self, now_ms: int) -> list[Publication]:
        """Return the publications to append now and schedule their next attempt."""
        due = [
            publication
            for publication in self._pending.values()
            if publication.appended_offset is None
            and publication.append_due_ms <= now_ms
        ]
        for publication in due:
            publication.append_due_ms = now_ms + APPEND_TIMEOUT_MS
        return due

    def record_append(self, nonce: str, offset: int | None, now_ms: int) -> None:
        """Record the offset of an append, or ``None`` if it failed or got no answer."""
        publication = self._pending.get(nonce)
        if publication is None:
            return
        if offset is None:
            publication.append_due_ms = now_ms + APPEND_RETRY_MS
        else:
            publication.appended_offset = offset

    def decide(self, applied: AppliedRecord) -> list[PublicationDecided]:
        """Return the outcomes that follow from an applied record."""
        if not isinstance(applied, Accepted):
            return []
        self._in_force = applied.version.offset
        return self._close(lambda publication: _outcome_after(publication, applied))

    def time_out(self, now_ms: int) -> list[PublicationDecided]:
        """Close the publications past their deadline and return them as undecided."""
        return self._close(
            lambda publication: (
                PublicationOutcome.UNDECIDED
                if publication.deadline_ms <= now_ms
                else None
            )
        )

    def _close(
        self, outcome_of: Callable[[Publication], PublicationOutcome | None]
    ) -> list[PublicationDecided]:
        decided = []
        for publication in list(self._pending.values()):
            outcome = outcome_of(publication)
            if outcome is not None:
                del self._pending[publication.nonce]
                decided.append(
                    PublicationDecided(publication.nonce, outcome, self._in_force)
                )
        return decided


def _outcome_after(
    publication: Publication, applied: Accepted
) -> PublicationOutcome | None:
    if applied.version.offset == publication.appended_offset:
        return PublicationOutcome.IN_FORCE
    if applied.version.nonce == publication.nonce:
        return PublicationOutcome.IN_FORCE
    if applied.previous == publication.parent and not applied.is_from_checkpoint:
        return PublicationOutcome.LOST
    return PublicationOutcome.UNDECIDED
