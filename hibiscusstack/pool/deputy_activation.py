"""Decides when a host becomes the deputy of its data centre or the general deputy."""

__all__ = ["DeputyActivation"]

from collections.abc import Collection

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.deputies import (
    choose_deputy,
    choose_general_deputy,
    deputy_token,
)
from hibiscusstack.pool.election import Term
from hibiscusstack.pool.host_registry import HostRegistry
from hibiscusstack.pool.peer_states import PeerStates

DEPUTY_DELAY_MS = 100


class DeputyActivation:
    """Tracks for how long the host ``own`` has been selected as a deputy.

    It can become the deputy of its data centre while that is partitioned from all
    others, and the general deputy, for all data centres, while no connected host can
    read the log. It becomes the deputy after it has been selected continuously for
    ``DEPUTY_DELAY_MS``.

    Callers pass as ``is_eligible`` whether the host may coordinate and does not hear
    the holder. ``connected`` are the peers with an open connection, also draining ones.
    """

    def __init__(
        self, own: HostName, registry: HostRegistry, peers: PeerStates
    ) -> None:
        self._own = own
        self._registry = registry
        self._peers = peers
        self._chosen_since_ms: float | None = None
        self._general_chosen_since_ms: float | None = None

    def should_become_deputy(
        self, is_eligible: bool, connected: Collection[HostName], now_ms: float
    ) -> bool:
        """Return whether to become the deputy of this host's data centre now."""
        is_chosen = is_eligible and self._is_chosen_deputy(connected)
        self._chosen_since_ms = _condition_since_ms(
            self._chosen_since_ms, is_chosen, now_ms
        )
        return is_chosen and now_ms - self._chosen_since_ms >= DEPUTY_DELAY_MS

    def should_become_general_deputy(
        self,
        is_eligible_without_log: bool,
        term: Term | None,
        connected: Collection[HostName],
        now_ms: float,
    ) -> bool:
        """Return whether to become the general deputy for a term now.

        ``is_eligible_without_log`` says that the host is eligible as described for the
        class, and also that it cannot read the log.
        """
        is_chosen = (
            is_eligible_without_log
            and term is not None
            and self._is_chosen_general_deputy(term, set(connected))
        )
        self._general_chosen_since_ms = _condition_since_ms(
            self._general_chosen_since_ms, is_chosen, now_ms
        )
        return is_chosen and now_ms - self._general_chosen_since_ms >= DEPUTY_DELAY_MS

    def _is_chosen_deputy(self, connected: Collection[HostName]) -> bool:
        if self._peers.deputies():
            return False
        not_draining = [peer for peer in connected if not self._peers.is_draining(peer)]
        return (
            choose_deputy(self._own, self._registry.host_ids(), not_draining)
            == self._own
        )

    def _is_chosen_general_deputy(self, term: Term, connected: set[HostName]) -> bool:
        peers = self._peers
        if peers.any_peer_hears_holder() or peers.is_general_deputy_connected():
            return False
        # A draining peer that may read the log also rules out a general deputy, but
        # only peers that are not draining count for the majority and can be chosen.
        if not all(peers.lacks_log(peer) for peer in connected):
            return False
        not_draining = {peer for peer in connected if not peers.is_draining(peer)}
        tokens = {
            host: deputy_token(term.offset, offset)
            for host, offset in self._registry.registration_offsets().items()
        }
        chosen = choose_general_deputy(
            {self._own, *not_draining},
            self._registry.host_ids(),
            tokens,
            peers.highest_general_token,
        )
        return chosen == self._own


def _condition_since_ms(
    since_ms: float | None, holds: bool, now_ms: float
) -> float | None:
    """Return since when a condition has held continuously, None if it doesn't hold."""
    if not holds:
        return None
    return now_ms if since_ms is None else since_ms
