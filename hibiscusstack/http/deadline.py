"""A timer that is moved more often than it fires."""

__all__ = ["Deadline"]

from collections.abc import Callable

from twisted.internet.interfaces import IDelayedCall, IReactorTime

# The reactor calls due timers before it reads, so a timer that fires later than this
# may find bytes unread that arrived in time.
_MAX_PUNCTUAL_S = 0.005


class Deadline:
    """Calls ``on_expired`` when the time that was last set has come.

    A later time leaves the pending call where it is, and the call moves on by itself
    when it fires early: so a deadline per exchange costs no timer per exchange.

    A deadline that fires late, because the reactor was busy, first lets the reactor
    read ``late_passes`` times. Each pass writes what is buffered and reads what has
    arrived: one pass sends a request that was still buffered, a second one may come
    before the answer, and the third one reads the answer.
    """

    __slots__ = (
        "_call",
        "_due_s",
        "_late_passes",
        "_on_expired",
        "_passes_left",
        "_reactor",
    )

    def __init__(
        self,
        reactor: IReactorTime,
        on_expired: Callable[[], None],
        *,
        late_passes: int = 0,
    ) -> None:
        self._reactor = reactor
        self._on_expired = on_expired
        self._late_passes = late_passes
        self._passes_left: int | None = None
        self._due_s: float | None = None
        self._call: IDelayedCall | None = None

    def set(self, duration_ms: float) -> None:
        """Expire in ``duration_ms``, in place of any time set before."""
        duration_s = duration_ms / 1000
        self._due_s = due_s = self._reactor.seconds() + duration_s
        self._passes_left = None
        if self._call is None:
            self._call = self._reactor.callLater(duration_s, self._fire)
        elif self._call.getTime() > due_s:
            # Twisted searches all pending calls to move one to an earlier time.
            self._call.cancel()
            self._call = self._reactor.callLater(duration_s, self._fire)

    def clear(self) -> None:
        """Don't expire before a time is set again."""
        self._due_s = None

    def cancel(self) -> None:
        """Clear, and leave nothing behind in the reactor."""
        self._due_s = None
        call, self._call = self._call, None
        if call is not None:
            call.cancel()

    def _fire(self) -> None:
        self._call = None
        if self._due_s is None:
            return
        missing_s = self._due_s - self._reactor.seconds()
        if missing_s > 0:
            self._call = self._reactor.callLater(missing_s, self._fire)
            return
        if self._passes_left is None:
            is_late = -missing_s > _MAX_PUNCTUAL_S
            self._passes_left = self._late_passes if is_late else 0
        if self._passes_left > 0:
            self._passes_left -= 1
            self._call = self._reactor.callLater(0, self._fire)
            return
        self._due_s = None
        self._on_expired()
