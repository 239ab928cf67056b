"""Which peers have been heard since a host stopped hearing the holder of the term."""

__all__ = ["PeerAnswers"]

import attrs

ANSWER_TIMEOUT_MS = 200
# A loop that is later than this has not read what arrived in the meantime.
MAX_COUNTED_MS = 20


@attrs.define
class PeerAnswers:
    """Tells how much the last heartbeats of peers say after the loss of the holder.

    On large sites most peers are rarely heard, so what they said last may be old. A
    host that stops hearing the holder asks them by its own heartbeat, and peers that
    are alive answer in their next round. Until a peer has answered, its word that it
    hears the holder doesn't count. Once ``ANSWER_TIMEOUT_MS`` are over, one that has
    not answered counts as not reachable.

    To be recorded every few milliseconds. Of the time between two records at most
    ``MAX_COUNTED_MS`` count, since answers may lie unread while the loop is late.

    >>> answers = PeerAnswers()
    >>> answers.record(hears_holder=False, now_ms=1_000)
    True
    >>> answers.has_answered(silent_ms=300, now_ms=1_010), answers.is_time_over()
    (False, False)
    """

    _lost_ms: float | None = None
    _recorded_ms: float = 0.0
    _waited_ms: float = 0.0

    def record(self, hears_holder: bool, now_ms: float) -> bool:
        """Record whether the holder is heard; return whether it has just been lost."""
        was_lost = self._lost_ms is not None
        if hears_holder:
            self._lost_ms = None
        elif not was_lost:
            self._lost_ms, self._waited_ms = now_ms, 0.0
        else:
            self._waited_ms += min(now_ms - self._recorded_ms, MAX_COUNTED_MS)
        self._recorded_ms = now_ms
        return not hears_holder and not was_lost

    def is_time_over(self) -> bool:
        """Return whether peers have had time to answer, or need not answer."""
        return self._lost_ms is None or self._waited_ms >= ANSWER_TIMEOUT_MS

    def has_answered(self, silent_ms: float | None, now_ms: float) -> bool:
        """Return whether a peer was heard since the loss, or there was none.

        ``silent_ms`` is the time since its last message, None if it is not connected.
        """
        if self._lost_ms is None:
            return True
        return silent_ms is not None and now_ms - silent_ms >= self._lost_ms

    def is_reachable(self, silent_ms: float | None, now_ms: float) -> bool:
        """Return whether a peer has answered, or may still do so in time."""
        return self.has_answered(silent_ms, now_ms) or not self.is_time_over()
