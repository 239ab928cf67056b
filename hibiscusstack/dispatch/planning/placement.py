"""Splits the tasks of a job over the homes of its targets.

A home is the host that queues and starts the tasks of its targets.
"""

__all__ = ["HomeAssignment", "split_over_homes"]

from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs

from hibiscusstack.dispatch.loads import HomeLoad
from hibiscusstack.dispatch.messages import HostName

SMALL_JOB_TASKS = 20
HOME_PENALTY_RUN_TIME_FACTOR = 0.5
HOME_PENALTY_WAIT_FACTOR = 0.4
MIN_RUN_TIME_MS = 1.0
ASSUMED_SLOTS_PER_TARGET = 8

LoadFor = Callable[[HostName, Sequence[str]], HomeLoad | None]


@attrs.frozen
class HomeAssignment:
    """The tasks of a job that go to one home, and the targets they may use there.

    ``task_indexes`` are the indexes of the tasks in the job.
    """

    home: HostName
    task_indexes: tuple[int, ...]
    targets: tuple[str, ...]


@attrs.frozen
class _HomeCapacity:
    """Slots and queue of one home, according to its last known load.

    ``ahead_ms`` is the slot time to be served before a task of this job starts: the
    wait times the number of slots.
    """

    name: HostName
    slots: int
    free_slots: int
    ahead_ms: float

    def with_slots_taken(self, tasks: int) -> "_HomeCapacity":
        """Return the capacity with ``tasks`` of this job placed on its free slots.

        Only ``free_slots`` changes, and it becomes negative if there are more tasks.
        ``ahead_ms`` stays as it is, so those tasks do not lengthen the queue.
        """
        return attrs.evolve(self, free_slots=self.free_slots - tasks)

    def tasks_started_within(self, limit_ms: float, mean_ms: float) -> float:
        """Return how many tasks of ``mean_ms`` each can start within ``limit_ms``.

        The result may be fractional.
        """
        available_slot_ms = limit_ms * self.slots - self.ahead_ms
        return max(self.free_slots, 0) + max(available_slot_ms, 0.0) / mean_ms


def split_over_homes(
    matches: Mapping[int, frozenset[str]],
    home_of: Mapping[str, HostName],
    load_for: LoadFor,
    *,
    own_host: HostName,
    expected_ms: Mapping[int, float],
    estimate_wait_ms: Callable[[HomeLoad], float],
) -> list[HomeAssignment]:
    """Assign every task of ``matches`` to a home, and use few homes.

    ``matches`` has the targets of each task, by its index in the job. Tasks with the
    same set of targets are split together. The homes of those targets are sorted:
    ``own_host``, this host, is first, since placing tasks on it needs no network
    message. The others follow by decreasing free slots, then by the wait for their
    queue.

    Homes are used in that order. Further homes are used only if the last task then
    starts earlier by more than a penalty for each added home. The penalty is
    ``HOME_PENALTY_RUN_TIME_FACTOR`` times the longest run time plus
    ``HOME_PENALTY_WAIT_FACTOR`` times the wait of the last task on the first home
    alone. For more than ``SMALL_JOB_TASKS`` tasks it is multiplied by
    ``SMALL_JOB_TASKS`` / number of tasks. Each home, in that order, gets as many
    tasks as it can start within the wait of the last task.

    Each index needs at least one matching target that has a home. ``load_for``
    returns a home's load for work that may use only the named targets, or ``None`` if
    the load is unknown. ``estimate_wait_ms`` estimates from a load when a task of this
    class gets the next slot.

    >>> a = HostName("dc1", "a", 1)
    >>> split_over_homes(
    ...     {0: frozenset({"t1"})},
    ...     {"t1": a},
    ...     lambda home, targets: None,
    ...     own_host=a,
    ...     expected_ms={0: 100.0},
    ...     estimate_wait_ms=lambda load: 0.0,
    ... )[0].task_indexes
    (0,)

    For each target set, the running time is that of sorting its tasks, and of sorting
    its homes once for each home considered.
    """
    by_targets: dict[frozenset[str], list[int]] = {}
    for index, names in matches.items():
        by_targets.setdefault(names, []).append(index)
    taken: dict[HostName, int] = {}
    assignments: list[HomeAssignment] = []
    for names, indexes in by_targets.items():
        targets_of = _group_by_home(names, home_of)
        homes = [
            _home_capacity(
                name, len(targets), load_for(name, targets), estimate_wait_ms
            )
            for name, targets in targets_of.items()
        ]
        homes = [home.with_slots_taken(taken.get(home.name, 0)) for home in homes]
        homes.sort(key=lambda home: _home_sort_key(home, own_host))
        counts = _count_tasks_per_home(homes, [expected_ms[index] for index in indexes])
        assignments += _make_assignments(indexes, counts, targets_of, expected_ms)
        for name, count in counts.items():
            taken[name] = taken.get(name, 0) + count
    return assignments


def _home_capacity(
    name: HostName,
    target_count: int,
    load: HomeLoad | None,
    estimate_wait_ms: Callable[[HomeLoad], float],
) -> _HomeCapacity:
    if load is None:
        return _HomeCapacity(name, ASSUMED_SLOTS_PER_TARGET * target_count, 0, 0.0)
    slots = load.slots or ASSUMED_SLOTS_PER_TARGET * max(load.targets, 1)
    if load.free_slots > 0:
        return _HomeCapacity(name, slots, load.free_slots, 0.0)
    load_with_slots = attrs.evolve(load, slots=slots)
    return _HomeCapacity(
        name, slots, load.free_slots, estimate_wait_ms(load_with_slots) * slots
    )


def _home_sort_key(
    home: _HomeCapacity, own_host: HostName
) -> tuple[bool, int, float, HostName]:
    """Return the sort key of a home; the home with the lowest is used first."""
    queue_wait_ms = home.ahead_ms / home.slots
    return home.name != own_host, -max(home.free_slots, 0), queue_wait_ms, home.name


def _count_tasks_per_home(
    homes: Sequence[_HomeCapacity], expected_ms: Sequence[float]
) -> dict[HostName, int]:
    """Choose how many of the sorted homes to use; return the task count of each.

    Added homes must reduce the wait of the last task by more than their penalties.
    """
    mean_ms = max(sum(expected_ms) / len(expected_ms), MIN_RUN_TIME_MS)
    total = len(expected_ms)
    last_start_ms, home_count = _last_start_ms(homes[:1], total, mean_ms), 1
    large_job_factor = min(SMALL_JOB_TASKS / total, 1.0)
    home_penalty_ms = large_job_factor * (
        HOME_PENALTY_RUN_TIME_FACTOR * max(expected_ms)
        + HOME_PENALTY_WAIT_FACTOR * last_start_ms
    )
    for candidate_count in range(2, len(homes) + 1):
        # Even a wait of 0 would not repay the penalty of the added homes.
        if last_start_ms <= home_penalty_ms * (candidate_count - home_count):
            break
        candidate_last_start_ms = _last_start_ms(
            homes[:candidate_count], total, mean_ms
        )
        if (
            candidate_last_start_ms + home_penalty_ms * (candidate_count - home_count)
            < last_start_ms
        ):
            last_start_ms, home_count = candidate_last_start_ms, candidate_count
    return _distribute_tasks(homes[:home_count], total, last_start_ms, mean_ms)


def _last_start_ms(homes: Sequence[_HomeCapacity], total: int, mean_ms: float) -> float:
    """Return the estimated time from now until the last task starts.

    Free slots start tasks at once. From the time at which a home has served its
    queue, all of its slots start tasks of this job as well, so the number of started
    tasks grows piecewise linearly. The loop goes through these times in order, and
    the result is interpolated after the last one before all tasks have started.

    ``available_slots`` counts the slots of homes that have served their queues, and
    ``started_tasks`` may be fractional.
    """
    started_tasks = sum(max(home.free_slots, 0) for home in homes)
    if started_tasks >= total:
        return 0.0
    queue_drain_times = sorted(
        (home.ahead_ms / home.slots, home.slots) for home in homes
    )
    available_slots = 0
    segment_start_ms = 0.0
    for drained_ms, home_slots in queue_drain_times:
        started_in_segment = (drained_ms - segment_start_ms) * available_slots / mean_ms
        if available_slots and started_tasks + started_in_segment >= total:
            break
        started_tasks += started_in_segment
        segment_start_ms = drained_ms
        available_slots += home_slots
    return segment_start_ms + (total - started_tasks) * mean_ms / available_slots


def _distribute_tasks(
    homes: Sequence[_HomeCapacity], total: int, limit_ms: float, mean_ms: float
) -> dict[HostName, int]:
    """Return the number of tasks that each home starts within ``limit_ms``.

    Tasks left over by rounding go to the home with the shortest wait.
    """
    counts: dict[HostName, int] = {}
    remaining = total
    for home in homes:
        count = min(int(home.tasks_started_within(limit_ms, mean_ms)), remaining)
        if count > 0:
            counts[home.name] = count
            remaining -= count
    if remaining:
        home_with_shortest_wait = min(
            homes, key=lambda home: home.ahead_ms / home.slots
        )
        counts[home_with_shortest_wait.name] = (
            counts.get(home_with_shortest_wait.name, 0) + remaining
        )
    return counts


def _make_assignments(
    indexes: Sequence[int],
    counts: Mapping[HostName, int],
    targets_of: Mapping[HostName, Sequence[str]],
    expected_ms: Mapping[int, float],
) -> list[HomeAssignment]:
    """Return the assignments, with long and short tasks spread evenly over them.

    The tasks are sorted by decreasing run time, and those of each home are spaced
    evenly over that order.
    """
    ordered = sorted(indexes, key=expected_ms.__getitem__, reverse=True)
    assigned: dict[HostName, list[int]] = {name: [] for name in counts}
    total = len(ordered)
    positions = sorted(
        ((position + 0.5) * total / count, home_index, name)
        for home_index, (name, count) in enumerate(counts.items())
        for position in range(count)
    )
    for index, (_, _, name) in zip(ordered, positions, strict=True):
        assigned[name].append(index)
    return [
        HomeAssignment(
            name, tuple(sorted(assigned_indexes)), tuple(sorted(targets_of[name]))
        )
        for name, assigned_indexes in assigned.items()
    ]


def _group_by_home(
    names: Iterable[str], home_of: Mapping[str, HostName]
) -> dict[HostName, list[str]]:
    grouped: dict[HostName, list[str]] = {}
    for name in names:
        home = home_of.get(name)
        if home is not None:
            grouped.setdefault(home, []).append(name)
    return grouped
