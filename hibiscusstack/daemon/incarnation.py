"""The number that tells two runs of a host apart."""

__all__ = ["choose_incarnation"]

import secrets
import time

RANDOM_BITS = 20
NS_PER_MS = 1_000_000


def choose_incarnation() -> int:
    """Return a number that grows from one start of a host to the next.

    The random part tells two starts in the same millisecond apart.

    >>> choose_incarnation() < (1 << 63)
    True
    """
    now_ms = time.time_ns() // NS_PER_MS
    return now_ms << RANDOM_BITS | secrets.randbits(RANDOM_BITS)
