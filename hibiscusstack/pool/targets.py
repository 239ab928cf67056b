"""Targets as they are registered in the list of a pool."""

__all__ = ["ListedTarget"]

import math

import attrs

from hibiscusstack.pool.jobs import Resources


@attrs.frozen
class ListedTarget:
    """Registration of one target instance.

    ``instance_started_ms`` distinguishes the instances of one ``name``. A target that
    has just started may be slow for another ``cold_ms``. One that ``is_leaving`` has
    announced its end, and goes on for ``remaining_ms`` at least from when it wrote the
    entry, so until ``leaves_after_ms`` on the clock of this host.
    """

    name: str
    pool: str
    address: str
    instance_started_ms: int
    capacity: Resources
    data_centre: str = ""
    labels: frozenset[str] = frozenset()
    is_leaving: bool = False
    cold_ms: int = 0
    remaining_ms: int = 0
    leaves_after_ms: float = -math.inf
