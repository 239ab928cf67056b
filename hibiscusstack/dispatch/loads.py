"""Load of a home host: free slots of its targets and queued work."""

__all__ = ["HomeLoad"]

from collections.abc import Collection, Sequence

import attrs


@attrs.frozen
class HomeLoad:
    """Load of a home host, as last reported or as expected since.

    ``free_by_target`` has the free slots of each target in order of their names.
    ``free_slots`` is negative while more tasks have been placed than slots were
    free.
    """

    free_slots: int
    queued_ms: int
    targets: int
    slots: int = 0
    ejected: int = 0
    queued_ms_by_class: tuple[tuple[str, int], ...] = ()
    free_by_target: tuple[int, ...] = ()

    def restricted(self, names: Sequence[str], chosen: Collection[str]) -> "HomeLoad":
        """Return the load for work that may run only on ``chosen`` of ``names``.

        ``names`` are all targets of this home, in order. Slots of other targets are
        not counted, since that work can't use them. The total slots of the chosen
        targets are estimated as their equal share of the home's slots.

        >>> load = HomeLoad(8, 0, 2, slots=16, free_by_target=(0, 8))
        >>> load.restricted(["t1", "t2"], ["t1"]).free_slots
        0
        """
        if len(chosen) >= len(names) or not names:
            return self
        slots = self.slots * len(chosen) // len(names)
        free = min(self.free_slots, slots)
        if len(self.free_by_target) == len(names):
            usable = set(chosen)
            pairs = zip(names, self.free_by_target, strict=True)
            free = sum(count for name, count in pairs if name in usable)
        return attrs.evolve(self, free_slots=free, slots=slots, targets=len(chosen))

    def with_batch(
        self,
        names: Sequence[str],
        chosen: Collection[str],
        class_name: str,
        tasks: int,
        work_ms: float,
    ) -> "HomeLoad":
        """Return the load expected after a batch has been placed.

        Its tasks take free slots of ``chosen`` first; the others count as queued.
        ``work_ms`` is the expected run time of all tasks of the batch.

        >>> load = HomeLoad(1, 0, 1, slots=8, free_by_target=(1,))
        >>> load = load.with_batch(["t1"], ["t1"], "checks", 3, 300.0)
        >>> load.free_slots, load.queued_ms, load.queued_ms_by_class
        (-2, 200, (('checks', 200),))
        """
        free = self.restricted(names, chosen).free_slots
        waiting = max(tasks - max(free, 0), 0)
        added_ms = round(work_ms * waiting / tasks) if tasks else 0
        by_class = dict(self.queued_ms_by_class)
        if added_ms:
            by_class[class_name] = by_class.get(class_name, 0) + added_ms
        return attrs.evolve(
            self,
            free_slots=self.free_slots - tasks,
            queued_ms=self.queued_ms + added_ms,
            queued_ms_by_class=tuple(sorted(by_class.items())),
            free_by_target=self._free_by_target_after(names, chosen, tasks),
        )

    def _free_by_target_after(
        self, names: Sequence[str], chosen: Collection[str], tasks: int
    ) -> tuple[int, ...]:
        if len(self.free_by_target) != len(names):
            return self.free_by_target
        usable = set(chosen)
        left = tasks
        counts = []
        for name, count in zip(names, self.free_by_target, strict=True):
            taken = min(count, left) if name in usable else 0
            counts.append(count - taken)
            left -= taken
        return tuple(counts)
