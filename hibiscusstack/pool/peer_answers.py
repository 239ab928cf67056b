"""Which peers have been heard since a host stopped hearing the holder of the term."""

__all__ = ["PeerAnswers"]

import attrs

ANSWER_TIMEOUT_MS = 200


@attrs.define
class PeerAnswers:
    """Tells how much the last heartbeats of peers say after the loss of the holder.

    On large sites most peers are rarely heard, so what they said last may be old. A
    host that stops hearing the holder asks them by its own heartbeat, and peers that
    are alive answer in their next round. Until a peer has answered, its word that it
    hears the holder doesn't count. One that has not answered for ``ANSWER_TIMEOUT_MS``
    counts as not reachable.

    >>> answers = PeerAnswers()
    >>> answers.record(hears_holder=False, now_ms=1_000)
    True
    >>> answers.has_answered(silent_ms=300, now_ms=1_100)
    False
    >>> answers.is_reachable(300, 1_100), answers.is_reachable(500, 1_300)
    (True, False)
    """

    _lost_ms: float | None = None

    def record(self, hears_holder: bool, now_ms: float) -> bool:
        """Record whether the holder is heard; return whether it has just been lost."""
        was_lost = self._lost_ms is not None
        if hears_holder:
            self._lost_ms = None
        elif not was_lost:
            self._lost_ms = now_ms
        return not hears_holder and not was_lost

    def has_answered(self, silent_ms: float | None, now_ms: float) -> bool:
        """Return whether a peer was heard since the loss, or there was none.

        ``silent_ms`` is the time since its last message, None if it is not connected.
        """
        if self._lost_ms is None:
            return True
        return silent_ms is not None and now_ms - silent_ms >= self._lost_ms

    def is_reachable(self, silent_ms: float | None, now_ms: float) -> bool:
        """Return whether a peer has answered, or may still do so in time."""
        return (
            self.has_answered(silent_ms, now_ms)
            or now_ms - self._lost_ms < ANSWER_TIMEOUT_MS
        )
