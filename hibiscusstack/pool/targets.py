"""Targets of a pool as they are listed."""

__all__ = ["ListedTarget"]

import attrs

from hibiscusstack.pool.jobs import Resources


@attrs.frozen
class ListedTarget:
    """One life of a target, as it registered itself.

    ``born_ms`` tells the lives of one ``name`` apart. ``guards`` says that the target
    refuses what does not fit.
    """

    name: str
    pool: str
    address: str
    instance_started_ms: int
    capacity: Resources
    data_centre: str = ""
    labels: frozenset[str] = frozenset()
    is_leaving: bool = False
