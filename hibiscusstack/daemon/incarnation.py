"""The incarnation number, which differs for each start of a host."""

__all__ = ["choose_incarnation"]

import secrets
import time

RANDOM_BITS = 20
NS_PER_MS = 1_000_000


def choose_incarnation() -> int:
    """Return a number that increases from one start of a host to the next.

    It is the time in milliseconds followed by random bits, which distinguish two starts
    in the same millisecond.

    >>> choose_incarnation() < (1 << 63)
    True
    """
    now_ms = time.time_ns() // NS_PER_MS
    return now_ms << RANDOM_BITS | secrets.randbits(RANDOM_BITS)
