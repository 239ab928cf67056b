"""Which host coordinates: terms are records of the platform's log.

A term begins with a record that is appended on condition that the log ends where the
candidate has read to, so that of several candidates one wins. The offset of the
record is the fencing token of the term.
"""

__all__ = ["Election", "Term"]

from collections.abc import Mapping

import attrs

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.handover import claim_rank

CLAIM_TIMEOUT_MS = 1_000
CLAIM_STAGGER_MS = 40


@attrs.frozen
class Term:
    """The term that began with the record at ``offset``."""

    offset: int
    holder: HostName


@attrs.define
class Election:
    """What one host knows of the terms, and whether it should claim the next.

    A host claims once the holder has been unheard by everyone for ``patience_ms``.
    Hosts of a higher rank wait a little longer, to leave the claim to the first.
    """

    own: HostName
    patience_ms: int
    term: Term | None = None
    end: int | None = None
    _unheard_since_ms: float | None = None
    _claimed_ms: float | None = None
    _has_resigned: bool = False

    @property
    def is_holder(self) -> bool:
        """Tell whether the newest known term is this host's own."""
        holds = self.term is not None and self.term.holder == self.own
        return holds and not self._has_resigned

    def note_end(self, end: int) -> None:
        """Note how far the log of terms was read."""
        self.end = max(end, self.end or 0)

    def note_term(self, term: Term) -> bool:
        """Take over a term; return whether it is newer than the known one."""
        if self.term is not None and term.offset <= self.term.offset:
            return False
        self.term = term
        self.end = max(self.end or 0, term.offset + 1)
        self._unheard_since_ms = None
        self._claimed_ms = None
        self._has_resigned = False
        return True

    def resign(self) -> None:
        """Let others take over, and claim a term of one's own only anew."""
        self._has_resigned = True
        self._unheard_since_ms = None

    def claim_failed(self) -> None:
        """Note that a claim was refused or lost, so that another may follow."""
        self._claimed_ms = None

    def should_claim(
        self,
        now_ms: float,
        hears_holder: bool,
        peers: Mapping[HostName, bool],
        offered_cpu_milli: Mapping[HostName, int] | None = None,
    ) -> bool:
        """Return whether to claim the next term now, and count that as a claim.

        ``peers`` says of each connected peer whether it hears the holder,
        ``offered_cpu_milli`` how much processor a host has for a coordinator.
        """
        if self.end is None or self.is_holder:
            return False
        if self.term is not None and (hears_holder or any(peers.values())):
            self._unheard_since_ms = None
            return False
        if self._unheard_since_ms is None:
            self._unheard_since_ms = now_ms
        known = offered_cpu_milli or {}
        rank = claim_rank(self.own, {h: known.get(h, 0) for h in (self.own, *peers)})
        patience_ms = self.patience_ms if self.term is not None else 0
        wait_ms = patience_ms + rank * CLAIM_STAGGER_MS
        if now_ms - self._unheard_since_ms < wait_ms:
            return False
        claimed_ms = self._claimed_ms
        if claimed_ms is not None and now_ms - claimed_ms < CLAIM_TIMEOUT_MS:
            return False
        self._claimed_ms = now_ms
        return True
