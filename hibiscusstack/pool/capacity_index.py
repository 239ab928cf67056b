"""Index of the targets of each pool, sorted by free CPU."""

__all__ = ["FreeCapacityIndex"]

from bisect import bisect_left, insort
from collections.abc import Iterator

from hibiscusstack.pool.target_state import TargetState

_Entry = tuple[int, int, TargetState]


class FreeCapacityIndex:
    """Targets of all pools, sorted by free CPU within each pool.

    The index follows capacity changes through ``on_free_capacity_changed`` of each
    target. A query takes a binary search and one step for each target found.
    """

    def __init__(self) -> None:
        self._pools: dict[str, list[_Entry]] = {}
        self._by_target: dict[TargetState, tuple[str, _Entry]] = {}
        self._count = 0

    def __len__(self) -> int:
        return len(self._by_target)

    def add(self, target: TargetState) -> None:
        """Add a target, and follow changes of its free capacity from now on."""
        self._count += 1
        self._insert(target, self._count)
        target.on_free_capacity_changed = self._move

    def discard(self, target: TargetState) -> None:
        """Remove a target, if it is in the index."""
        target.on_free_capacity_changed = None
        if target in self._by_target:
            self._remove(target)

    def most_free_cpu(self, pool: str) -> int:
        """Return the most free CPU of any target of a pool, -1 if it has none."""
        entries = self._pools.get(pool)
        return entries[-1][0] if entries else -1

    def with_free_cpu(self, pool: str, cpu_milli: int) -> Iterator[TargetState]:
        """Yield the targets of a pool with at least ``cpu_milli`` free, least first.

        No run may be added or removed during the iteration.
        """
        entries = self._pools.get(pool)
        if entries is None:
            return
        for index in range(bisect_left(entries, (cpu_milli,)), len(entries)):
            yield entries[index][2]

    def _move(self, target: TargetState) -> None:
        self._insert(target, self._remove(target))

    def _insert(self, target: TargetState, number: int) -> None:
        entry = (target.free_cpu_milli, number, target)
        pool = target.listing.pool
        insort(self._pools.setdefault(pool, []), entry)
        self._by_target[target] = pool, entry

    def _remove(self, target: TargetState) -> int:
        pool, entry = self._by_target.pop(target)
        entries = self._pools[pool]
        del entries[bisect_left(entries, entry)]
        if not entries:
            del self._pools[pool]
        return entry[1]
