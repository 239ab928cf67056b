"""Leader election: decides which host claims the next term as coordinator.

Each term begins with a record in the log topic of the hosts. The holder of a term is
the host whose claim began it. A candidate claims a term with a conditional append,
which succeeds only if the end offset of the topic is the one up to which the candidate
has read. So only one of several concurrent candidates succeeds. The fencing token of
the term is derived from the offset of its record.

A host hears the holder while its connection to the holder is open, the holder has not
reported that it stopped coordinating, and no general deputy has superseded the term
(see ``deputies``). The holder hears itself while it coordinates.
"""

__all__ = ["Election", "Term"]

from collections.abc import Mapping

import attrs

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.handover import claim_rank
from hibiscusstack.pool.sharding import ShardPlace

CLAIM_TIMEOUT_MS = 1_000
CLAIM_STAGGER_MS = 40


@attrs.frozen
class Term:
    """The term that began with the record at ``offset``."""

    offset: int
    holder: HostName


@attrs.define
class Election:
    """Tracks the terms known to one host, and decides when it claims the next one.

    A host claims a term once neither it nor any connected peer has heard the holder
    for ``patience_ms``, the election timeout. A holder that is handing over its term
    counts as not heard. The very first term is claimed without that timeout.
    ``claim_rank`` ranks hosts by CPU, then by the order of ``place``. Each rank waits
    ``CLAIM_STAGGER_MS`` longer, so that the host with the most CPU usually claims
    without competition.

    ``log_end_offset`` is the offset up to which this host has read the log of terms,
    None before the first read. A claim is conditional on it, so its winner has read all
    earlier records. ``_unheard_since_ms`` is the time since which neither
    this host nor a peer has heard the holder.
    """

    own: HostName
    patience_ms: int
    place: ShardPlace = ShardPlace()
    term: Term | None = None
    log_end_offset: int | None = None
    _unheard_since_ms: float | None = None
    _claimed_ms: float | None = None
    _has_resigned: bool = False

    @property
    def is_holder(self) -> bool:
        """Whether this host holds the newest known term and has not resigned.

        ``CoordinatorRole.is_holding`` tells whether it also coordinates as the holder.
        """
        holds = self.term is not None and self.term.holder == self.own
        return holds and not self._has_resigned

    def record_log_end(self, end: int) -> None:
        """Record that the log of terms has been read up to the offset ``end``."""
        self.log_end_offset = max(end, self.log_end_offset or 0)

    def note_term(self, term: Term) -> bool:
        """Record a term; return whether it is newer than the known one."""
        if self.term is not None and term.offset <= self.term.offset:
            return False
        self.term = term
        self._unheard_since_ms = None
        self._claimed_ms = None
        self._has_resigned = False
        return True

    def resign(self) -> None:
        """Mark the current term as given up; only a new claim makes this host a holder.

        The caller stops coordinating with ``CoordinatorRole.step_down``. The host may
        still become a deputy. In a handover, by contrast, the holder coordinates until
        another host has claimed the next term.
        """
        self._has_resigned = True
        self._unheard_since_ms = None

    def claim_failed(self) -> None:
        """Allow another claim after one was refused or its append failed."""
        self._claimed_ms = None

    def should_claim(
        self,
        now_ms: float,
        holder_keeps_term: bool,
        peer_hears_holder: Mapping[HostName, bool],
        offered_cpu_milli: Mapping[HostName, int] | None = None,
    ) -> bool:
        """Return whether to claim the next term now; if so, start the claim timeout.

        After it has returned True, it returns False until ``CLAIM_TIMEOUT_MS`` has
        passed, ``claim_failed`` is called or a newer term is recorded.

        ``holder_keeps_term`` says whether this host hears the holder and the holder is
        not handing over its term. ``peer_hears_holder`` maps each connected peer that
        is not draining to whether it hears the holder; peers that know only an earlier
        term count as not hearing it. ``offered_cpu_milli`` maps hosts to the CPU that
        they have for coordinating, in thousandths of a core; a peer that can't claim
        a term offers 0.
        """
        if self.log_end_offset is None or self.is_holder:
            return False
        if self.term is not None and (
            holder_keeps_term or any(peer_hears_holder.values())
        ):
            self._unheard_since_ms = None
            return False
        if self._unheard_since_ms is None:
            self._unheard_since_ms = now_ms
        offered = offered_cpu_milli or {}
        rank = claim_rank(
            self.own,
            {h: offered.get(h, 0) for h in (self.own, *peer_hears_holder)},
            self.place.rank_key,
        )
        patience_ms = self.patience_ms if self.term is not None else 0
        wait_ms = patience_ms + rank * CLAIM_STAGGER_MS
        if now_ms - self._unheard_since_ms < wait_ms:
            return False
        # A peer may have told of a term whose record has not been read here yet.
        if self.term is not None and self.log_end_offset <= self.term.offset:
            return False
        claimed_ms = self._claimed_ms
        if claimed_ms is not None and now_ms - claimed_ms < CLAIM_TIMEOUT_MS:
            return False
        self._claimed_ms = now_ms
        return True
