"""Clocks that count in milliseconds."""

__all__ = ["BoottimeClock", "Clock", "ManualClock", "SystemClock"]

import time
from typing import Protocol

import attrs


class Clock(Protocol):
    """A source of the current time in milliseconds.

    The origin is arbitrary, so only differences of two readings of the same clock
    mean anything. A reading never crosses the wire: messages carry durations.
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
    """A clock that moves only when told to, for tests and virtual-time runs.

    >>> clock = ManualClock(time_ms=100)
    >>> clock.advance(50)
    >>> clock.now_ms()
    150
    """

    time_ms: int = 0

    def now_ms(self) -> int:
        """Return the time that was last set."""
        return self.time_ms

    def advance(self, duration_ms: int) -> None:
        """Move the clock forward by ``duration_ms``, which must not be negative."""
        if duration_ms < 0:
            raise ValueError(f"a clock cannot go back by {-duration_ms} ms")
        self.time_ms += duration_ms


class BoottimeClock:
    """The clock of this machine that also counts the time for which it was suspended.

    Leases and promises to others are kept by this one: a host that was suspended has
    let them lapse, although its monotonic clock has not moved.
    """

    def now_ms(self) -> int:
        """Return the time since the machine was started, in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
