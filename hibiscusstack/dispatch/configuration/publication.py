"""Publications of this host whose outcome the log has not shown yet."""

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
    """What became of a publication.

    ``LOST`` means that another version took the place, and this one never comes in
    force. ``PARENT_UNKNOWN`` means that nothing was appended, as this host has not
    seen the parent yet. ``UNDECIDED`` means that it may come in force or not.
    """

    IN_FORCE = "in-force"
    LOST = "lost"
    PARENT_UNKNOWN = "parent-unknown"
    UNDECIDED = "undecided"


@attrs.frozen
class PublicationDecided:
    """The outcome of the publication ``nonce``; ``in_force`` is the version now."""

    nonce: str
    outcome: PublicationOutcome
    in_force: int


@attrs.define
class Publication:
    """One change on its way into the log.

    It may be appended again as long as no answer came: two copies have the same
    parent, so one of them at most is accepted.
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
        """Return the publication of one change."""
        text = format_record(Change(parent, publisher, nonce, body))
        return cls(nonce, parent, text, deadline_ms)


@attrs.define
class PendingPublications:
    """The publications of this host that are not decided."""

    _pending: dict[str, Publication] = attrs.field(factory=dict, init=False)
    _in_force: int = attrs.field(default=0, init=False)

    def add(self, publication: Publication) -> None:
        """Take in one publication, to be appended at once."""
        self._pending[publication.nonce] = publication

    def has_any(self) -> bool:
        """Return whether any publication is undecided."""
        return bool(self._pending)

    def take_due_appends(self, now_ms: int) -> list[Publication]:
        """Return what is to be appended now, or again."""
        due = [
            entry
            for entry in self._pending.values()
            if entry.appended_offset is None and entry.append_due_ms <= now_ms
        ]
        for entry in due:
            entry.append_due_ms = now_ms + APPEND_TIMEOUT_MS
        return due

    def record_append(self, nonce: str, offset: int | None, now_ms: int) -> None:
        """Note the answer to an append; ``None`` stands for none or a failure."""
        entry = self._pending.get(nonce)
        if entry is None:
            return
        if offset is None:
            entry.append_due_ms = now_ms + APPEND_RETRY_MS
        else:
            entry.appended_offset = offset

    def decide(self, applied: AppliedRecord) -> list[PublicationDecided]:
        """Return the publications that an applied record decides."""
        if not isinstance(applied, Accepted):
            return []
        self._in_force = applied.version.offset
        return self._close(lambda entry: _outcome_after(entry, applied))

    def time_out(self, now_ms: int) -> list[PublicationDecided]:
        """Return the publications whose time is up, as undecided."""
        return self._close(
            lambda entry: (
                PublicationOutcome.UNDECIDED if entry.deadline_ms <= now_ms else None
            )
        )

    def _close(
        self, outcome_of: Callable[[Publication], PublicationOutcome | None]
    ) -> list[PublicationDecided]:
        decided = []
        for entry in list(self._pending.values()):
            outcome = outcome_of(entry)
            if outcome is not None:
                del self._pending[entry.nonce]
                decided.append(PublicationDecided(entry.nonce, outcome, self._in_force))
        return decided


def _outcome_after(entry: Publication, applied: Accepted) -> PublicationOutcome | None:
    if applied.version.offset == entry.appended_offset:
        return PublicationOutcome.IN_FORCE
    if applied.version.nonce == entry.nonce:
        return PublicationOutcome.IN_FORCE
    if applied.previous == entry.parent and not applied.is_from_checkpoint:
        return PublicationOutcome.LOST
    return PublicationOutcome.UNDECIDED
