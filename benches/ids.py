"""What issued ids cost their owner: time for each step, and memory held.

Usage: python -m benches.ids
"""

__all__ = ["main"]

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import TypeVar

from hibiscusstack.clock import ManualClock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.dispatch.submission.ids import (
    MAX_IDS_PER_MINT,
    IdIssuer,
    IssuedId,
    parse_issued_id,
)

T = TypeVar("T")

IDS = 100_000
PER_MILLION = 1_000_000 // IDS


def main() -> None:
    """Print the cost of issuing, parsing and claiming, and the bytes held."""
    issuer = IdIssuer(HostName("dc1", "entry-1", 7), ManualClock(), bytes(16))
    texts, mint_us = _time(lambda: _mint(issuer))
    issued, parse_us = _time(lambda: [parse_issued_id(text).ok for text in texts])
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    issuer.mint(MAX_IDS_PER_MINT)
    gc.collect()
    unclaimed = tracemalloc.get_traced_memory()[0] - before
    before = tracemalloc.get_traced_memory()[0]
    _claim_all(issuer, issued)
    gc.collect()
    claimed = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    _, join_us = _time(lambda: _claim_all(issuer, issued))
    print(f"mint_us={mint_us:.2f} parse_us={parse_us:.2f} claim_us={join_us:.2f}")
    print(
        f"bytes_per_unclaimed_id={unclaimed / MAX_IDS_PER_MINT:.2f}"
        f" bytes_per_claimed_id={claimed / IDS:.2f}"
        f" megabytes_per_million_claimed={claimed * PER_MILLION / 1e6:.2f}"
    )


def _mint(issuer: IdIssuer) -> list[str]:
    texts: list[str] = []
    for _ in range(IDS // MAX_IDS_PER_MINT):
        texts += issuer.mint(MAX_IDS_PER_MINT)
    return texts


def _claim_all(issuer: IdIssuer, issued: list[IssuedId]) -> None:
    for entry in issued:
        issuer.claim(entry, "guard-4")


def _time(call: Callable[[], T]) -> tuple[T, float]:
    started_s = time.perf_counter()
    result = call()
    return result, (time.perf_counter() - started_s) / IDS * 1e6


if __name__ == "__main__":
    main()
