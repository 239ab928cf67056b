"""Kinds of room that tasks need: jobs of one kind fit at about the same targets."""

__all__ = ["RoomKind", "RoomLimits", "UnmetNeeds", "kind_of_step", "kinds_of_job"]

from collections.abc import Iterable

import attrs

from hibiscusstack.pool.active_jobs import ActiveJob
from hibiscusstack.pool.jobs import NO_RESOURCES, Resources, Step
from hibiscusstack.pool.targets import ListedTarget

_KEPT_BITS = 4


@attrs.frozen
class RoomKind:
    """The pool, the label and the approximate size that a task needs.

    ``least`` is the smallest need of the kind; all needs of the kind are at least that,
    and their CPU less than an eighth above it. For a job that is larger than every
    target, though its kind isn't, ``least`` is the exact need. Suspects need a target
    of their own, which can be reserved while it is busy, so theirs is a kind without a
    least need.
    """

    pool: str
    requires: str
    least: Resources
    is_for_suspects: bool = False


def kind_of_step(pool: str, step: Step, is_exact: bool = False) -> RoomKind:
    """Return the kind of room that the tasks of a step need.

    >>> kind_of_step("p", Step(2, Resources(4_700, 64))).least
    Resources(cpu_milli=4608, memory_mb=64, accelerators=0)
    """
    needs = step.needs
    if is_exact:
        return RoomKind(pool, step.requires, needs)
    least = Resources(
        _round_down(needs.cpu_milli), _round_down(needs.memory_mb), needs.accelerators
    )
    return RoomKind(pool, step.requires, least)


def kinds_of_job(job: ActiveJob) -> tuple[RoomKind, ...]:
    """Return the kinds of room that the ready tasks of a job need."""
    pool, steps, is_exact = job.job.pool, job.job.steps, job.needs_exact_room
    if any(task.is_suspect for task in job.ready):
        kinds = (
            RoomKind(pool, task.step.requires, NO_RESOURCES, True)
            if task.is_suspect
            else kind_of_step(pool, task.step, is_exact)
            for task in job.ready
        )
        return tuple(dict.fromkeys(kinds))
    if len(steps) == 1:
        return (kind_of_step(pool, steps[0], is_exact),)
    numbers = sorted({task.key[0] for task in job.ready})
    kinds = (kind_of_step(pool, steps[number], is_exact) for number in numbers)
    return tuple(dict.fromkeys(kinds))


class RoomLimits:
    """The most room that any target of a pool with a label has, idle or not."""

    def __init__(self, targets: Iterable[ListedTarget] = ()) -> None:
        self._most: dict[tuple[str, str], Resources] = {}
        for target in targets:
            for label in ("", *target.labels):
                key = (target.pool, label)
                self._most[key] = _largest(
                    self._most.get(key, target.capacity), target.capacity
                )

    def may_fit(self, kind: RoomKind) -> bool:
        """Return whether an idle target may have room of that kind.

        >>> target = ListedTarget("t", "p", "", 1, Resources(800, 64))
        >>> kinds = [RoomKind("p", need, Resources(500)) for need in ("", "fast")]
        >>> [RoomLimits([target]).may_fit(kind) for kind in kinds]
        [True, False]
        """
        return self._has_room(kind.pool, kind.requires, kind.least)

    def may_run_ready_task(self, job: ActiveJob) -> bool:
        """Return whether an idle target may have room for a ready task of a job."""
        return any(
            self._has_room(job.job.pool, task.step.requires, task.step.needs)
            for task in job.ready
        )

    def _has_room(self, pool: str, label: str, needs: Resources) -> bool:
        most = self._most.get((pool, label))
        return most is not None and needs.fits(most)


class UnmetNeeds:
    """Needs for which no target has room now, while no room becomes free.

    What needs as much or more finds no room either, so it need not be tried.
    """

    def __init__(self) -> None:
        self._unmet: dict[tuple[str, str], list[Resources]] = {}

    def add(self, pool: str, label: str, needs: Resources) -> None:
        """Note that no target of a pool with a label has room for ``needs``."""
        known = self._unmet.get((pool, label), ())
        larger = [each for each in known if not needs.fits(each)]
        self._unmet[pool, label] = [*larger, needs]

    def cover(self, pool: str, label: str, needs: Resources) -> bool:
        """Return whether what was noted shows that there is no room for ``needs``.

        >>> unmet = UnmetNeeds()
        >>> unmet.add("p", "", Resources(500))
        >>> [unmet.cover("p", "fast", Resources(cpu)) for cpu in (499, 500)]
        [False, True]
        """
        for each in self._unmet.get((pool, ""), ()):
            if each.fits(needs):
                return True
        return bool(label) and any(
            each.fits(needs) for each in self._unmet.get((pool, label), ())
        )


def _largest(one: Resources, other: Resources) -> Resources:
    return Resources(
        max(one.cpu_milli, other.cpu_milli),
        max(one.memory_mb, other.memory_mb),
        max(one.accelerators, other.accelerators),
    )


def _round_down(number: int) -> int:
    """Return the number with all but its leading bits cleared."""
    dropped = max(0, number.bit_length() - _KEPT_BITS)
    return number >> dropped << dropped
