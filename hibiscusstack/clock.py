"""Millisecond clocks."""

__all__ = ["BoottimeClock", "Clock", "ManualClock", "SystemClock"]

import time
from typing import Protocol

import attrs


class Clock(Protocol):
    """A source of the current time in milliseconds.

    The origin is arbitrary, so only the difference of two readings of the same clock
    is meaningful. Readings are never sent to other hosts; messages carry durations.
    """

    def now_ms(self) -> int:
        """Return the milliseconds elapsed since the origin of this clock."""


class SystemClock:
    """The monotonic clock of this machine."""

    def now_ms(self) -> int:
        """Return the monotonic time in milliseconds."""
        return time.monotonic_ns() // 1_000_000


@attrs.define
class ManualClock:
    """A clock that moves only when advanced, for tests and virtual-time runs.

    >>> clock = ManualClock(time_ms=100)
    >>> clock.advance(50)
    >>> clock.now_ms()
    150
    """

    time_ms: int = 0

    def now_ms(self) -> int:
        """Return the current time of this clock."""
        return self.time_ms

    def advance(self, duration_ms: int) -> None:
        """Move the clock forward by ``duration_ms``, which must not be negative."""
        if duration_ms < 0:
            raise ValueError(f"a clock cannot go back by {-duration_ms} ms")
        self.time_ms += duration_ms


class BoottimeClock:
    """The clock of this machine that includes the time for which it was suspended.

    Leases and other commitments to peers are timed by this clock. They expire while
    the host is suspended, although its monotonic clock does not advance.
    """

    def now_ms(self) -> int:
        """Return the time since the machine was started, in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
