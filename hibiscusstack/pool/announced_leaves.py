"""When targets that have announced their end leave at the earliest."""

__all__ = ["with_earliest_leave"]

import attrs

from hibiscusstack.pool.targets import ListedTarget


def with_earliest_leave(
    target: ListedTarget, known: ListedTarget | None, read_before_ms: float
) -> ListedTarget:
    """Return a target as it was listed now, with the earliest time of its leave.

    ``known`` is the target as it was listed before, and the list was last read whole at
    ``read_before_ms``. A changed entry was written after that, so each reading gives a
    lower bound; the best one is kept.

    >>> from hibiscusstack.pool.jobs import Resources
    >>> ready = ListedTarget("t", "p", "t:1", 5, Resources())
    >>> leaving = attrs.evolve(ready, is_leaving=True, remaining_ms=2_000)
    >>> first = with_earliest_leave(leaving, ready, 10_000)
    >>> first.leaves_after_ms
    12000
    >>> later = attrs.evolve(leaving, remaining_ms=500)
    >>> with_earliest_leave(later, first, 11_100).leaves_after_ms
    12000
    """
    if not target.is_leaving:
        return target
    leaves_after_ms = read_before_ms + target.remaining_ms
    is_same_leave = (
        known is not None
        and known.is_leaving
        and known.instance_started_ms == target.instance_started_ms
    )
    if is_same_leave:
        is_read_again = known == attrs.evolve(
            target, leaves_after_ms=known.leaves_after_ms
        )
        known_ms = known.leaves_after_ms
        leaves_after_ms = known_ms if is_read_again else max(known_ms, leaves_after_ms)
    return attrs.evolve(target, leaves_after_ms=leaves_after_ms)
