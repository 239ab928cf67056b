"""A timer that is moved more often than it fires."""

__all__ = ["Deadline"]

from collections.abc import Callable

from twisted.internet.interfaces import IDelayedCall, IReactorTime


class Deadline:
    """Calls ``on_expired`` when the time that was last set has come.

    A later time leaves the pending call where it is, and the call moves on by itself
    when it fires early: so a deadline per exchange costs no timer per exchange.
    """

    __slots__ = ("_call", "_due_s", "_on_expired", "_reactor")

    def __init__(self, reactor: IReactorTime, on_expired: Callable[[], None]) -> None:
        self._reactor = reactor
        self._on_expired = on_expired
        self._due_s: float | None = None
        self._call: IDelayedCall | None = None

    def set(self, duration_ms: float) -> None:
        """Expire in ``duration_ms``, in place of any time set before."""
        duration_s = duration_ms / 1000
        self._due_s = due_s = self._reactor.seconds() + duration_s
        if self._call is None:
            self._call = self._reactor.callLater(duration_s, self._fire)
        elif self._call.getTime() > due_s:
            self._call.reset(duration_s)

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
        self._due_s = None
        self._on_expired()
