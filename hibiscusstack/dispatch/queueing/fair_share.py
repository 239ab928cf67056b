"""The task queue of a home, with fair shares of slot time by class and team.

A home is the host that queues and starts the tasks of its targets.
"""

__all__ = ["FairShareQueue"]

import heapq
import math
from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from hibiscusstack.dispatch.jobs import Task
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.dispatch.observation.run_times import RunTimes
from hibiscusstack.dispatch.policy.policy import CurrentPolicy
from hibiscusstack.dispatch.queueing.credits import ClassCredits
from hibiscusstack.dispatch.queueing.task_queue import QueuedTask
from hibiscusstack.dispatch.queueing.team_queues import (
    BatchKey,
    ClassTargetQueue,
    TeamQueue,
    TeamSortKey,
    TeamState,
    WaitingBatch,
)
from hibiscusstack.dispatch.targets import TargetInfo
from hibiscusstack.dispatch.views import QueueSnapshot

EXPIRY_RUN_TIME_FACTOR = 0.5
CREDIT_LEVEL_STEPS = 4
VIRTUAL_TIME_STEP_MS = 10_000
MAX_TEAM_STATES = 4_096


@attrs.frozen
class _Charge:
    class_name: str
    team: str
    slot_ms: float
    started_ms: int


class FairShareQueue:
    """A task queue that divides slot time fairly among classes and teams.

    It implements :class:`~hibiscusstack.dispatch.queueing.task_queue.TaskQueue`.

    A free slot goes to the first task in this order:

    - The class with the fullest token bucket
      (:class:`~hibiscusstack.dispatch.queueing.credits.ClassCredits`). The fill is
      rounded up to a multiple of 1 / ``CREDIT_LEVEL_STEPS``, so that nearly equal
      fills tie. On a tie, the class with the highest ``urgency`` goes first, then the
      one with the higher exact fill. A bucket without credit counts as empty, so
      urgency decides once every waiting class has used its credit. Buckets start
      full, so even in its first seconds a burst of urgent work can't take the slots
      guaranteed to other classes.
    - Within a class and a set of targets, the team with the lowest virtual time: the
      slot time charged to it divided by its weight. Virtual time is rounded down to a
      multiple of ``VIRTUAL_TIME_STEP_MS``, so that the sort time of the batches
      decides between nearly equal teams. This is start-time fair queueing (Goyal, Vin
      and Cheng, 1996).
    - Within a team, the batch with the earliest sort time
      (:meth:`~hibiscusstack.dispatch.queueing.team_queues.WaitingBatch.update_sort_time`).
    - Within a batch, the task with the longest expected run time.

    A start is charged with the expected run time. The measured run time replaces it
    when the task ends, so declaring a wrong run time gives no advantage. A team's
    limit on running tasks applies to a data centre and is scaled by this home's
    fraction of its slots.

    The cost of a push or a pop is logarithmic in the number of waiting tasks, times
    the number of distinct target sets that contain the target and the number of
    classes. Removing a batch costs the size of that batch.
    """

    def __init__(self, current_policy: CurrentPolicy, run_times: RunTimes) -> None:
        self._data_centre_fraction = 1.0
        self.run_times = run_times
        self._current_policy = current_policy
        self._credits = ClassCredits(self._guaranteed_fraction)
        self._slots_of: dict[str, int] = {}
        self._queues_by_target: dict[
            str, dict[frozenset[str], dict[str, ClassTargetQueue]]
        ] = {}
        self._queues_by_target_set: dict[
            frozenset[str], dict[str, ClassTargetQueue]
        ] = {}
        self._batches: dict[BatchKey, WaitingBatch] = {}
        self._expiries: list[tuple[float, HostName, int]] = []
        self._teams: dict[tuple[str, str], TeamState] = {}
        self._class_virtual_ms: dict[str, float] = {}
        self._running_by_team: dict[str, int] = {}
        self._charges: dict[str, _Charge] = {}
        self._queued_ms_by_class: dict[str, float] = {}
        self._waiting_count = 0
        self._push_count = 0

    def __len__(self) -> int:
        """Return the number of waiting tasks."""
        return self._waiting_count

    def replace_targets(
        self, targets: Iterable[TargetInfo], data_centre_slots: int
    ) -> None:
        """Replace the targets of this home.

        ``data_centre_slots`` counts the slots of all targets of this data centre.
        """
        self._credits.slots = sum(each.slots for each in targets)
        self._data_centre_fraction = (
            self._credits.slots / data_centre_slots if data_centre_slots else 1.0
        )

    def push(self, entry: QueuedTask) -> None:
        """Add one task; the charge of an earlier start is refunded."""
        self._refund(entry)
        expected_ms = self.run_times.expected_ms(entry.task)
        key = (entry.owner, entry.batch)
        batch = self._batches.get(key)
        if batch is None:
            batch = self._add_batch(key, entry)
        self._push_count += 1
        previous_expiry_ms = _expiry_ms(batch)
        batch.push(entry, expected_ms, self._push_count)
        if _expiry_ms(batch) < previous_expiry_ms:
            self._schedule_expiry(batch)
        self._adjust_totals(batch, expected_ms, 1)
        self._update_sort_time(batch)

    def pop(self, target: TargetInfo, now_ms: int) -> QueuedTask | None:
        """Remove and return the next task for ``target``, if one may run there."""
        candidates = [
            class_queue
            for class_queues in self._queues_by_target.get(target.name, {}).values()
            for class_queue in class_queues.values()
        ]
        candidates.sort(key=lambda each: self._class_sort_key(each.class_name, now_ms))
        for candidate in candidates:
            team_queue = self._next_queue(candidate)
            if team_queue is not None:
                return self._start_next(team_queue.first(), now_ms)
        return None

    def remove_batch(self, owner: HostName, batch_number: int) -> list[QueuedTask]:
        """Remove and return every waiting task of one batch."""
        batch = self._batches.get((owner, batch_number))
        if batch is None:
            return []
        entries = batch.entries
        batch.entries = []
        # Run times are negated, since heapq puts the lowest entry first.
        for negated_expected_ms, _, _ in entries:
            self._adjust_totals(batch, -negated_expected_ms, -1)
        self._delete_batch(batch)
        return [entry for _, _, entry in entries]

    def remove_movable(self, limit: int) -> list[QueuedTask]:
        """Remove and return up to ``limit`` tasks that may move to another home.

        Batches are removed whole, oldest first; only the last one may be split. The
        cost is linear in the number of batches inspected.
        """
        removed: list[QueuedTask] = []
        for key in list(self._batches):
            batch = self._batches[key]
            if len(removed) >= limit:
                break
            if batch.entries[0][2].may_move:
                removed += self._remove_from(batch, limit - len(removed))
        return removed

    def _remove_from(self, batch: WaitingBatch, limit: int) -> list[QueuedTask]:
        if len(batch.entries) <= limit:
            return self.remove_batch(*batch.key)
        removed = []
        for _ in range(limit):
            negated_expected_ms, _, entry = heapq.heappop(batch.entries)
            self._adjust_totals(batch, -negated_expected_ms, -1)
            removed.append(entry)
        return removed

    def expire(self, now_ms: int) -> list[QueuedTask]:
        """Remove and return the tasks that can no longer meet their deadlines.

        A batch expires as a whole once the time left is at most
        ``EXPIRY_RUN_TIME_FACTOR`` times the expected run time of its longest task.
        Expected run times are not exact. The factor is below 1, so that a task that
        may run faster than expected does not expire too early.
        """
        expired: list[QueuedTask] = []
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, owner, batch_number = heapq.heappop(self._expiries)
            batch = self._batches.get((owner, batch_number))
            if batch is None:
                continue
            if _expiry_ms(batch) <= now_ms:
                expired += self.remove_batch(owner, batch_number)
            else:
                self._schedule_expiry(batch)
        return expired

    def record_run(self, entry: QueuedTask, run_time_ms: int) -> None:
        """Charge an ended task with the time for which it held its slot.

        A ``run_time_ms`` of 0 means that the task did not run. Its charge is then
        refunded and the learned run times stay as they are.
        """
        charge = self._refund(entry)
        if charge is None or run_time_ms <= 0:
            return
        self.run_times.record(entry.task, run_time_ms)
        now_ms = charge.started_ms + run_time_ms
        self._charge(charge.class_name, charge.team, run_time_ms, now_ms)

    def expected_ms(self, task: Task) -> float:
        """Return the expected run time of a task, from the learned run times."""
        return self.run_times.expected_ms(task)

    def queued_ms(self) -> int:
        """Return the total expected run time of the waiting tasks."""
        return round(sum(self._queued_ms_by_class.values()))

    def queued_ms_by_class(self) -> Mapping[str, int]:
        """Return the expected run time of the waiting tasks of each class."""
        rounded = {name: round(ms) for name, ms in self._queued_ms_by_class.items()}
        return {name: ms for name, ms in rounded.items() if ms > 0}

    def snapshots(self) -> list[QueueSnapshot]:
        """Return the waiting tasks of each class and team, sorted by their names.

        The cost is linear in the number of waiting batches.
        """
        tasks: Counter[tuple[str, str]] = Counter()
        queued_ms: Counter[tuple[str, str]] = Counter()
        for batch in self._batches.values():
            key = (batch.queue.class_queue.class_name, batch.queue.team)
            tasks[key] += len(batch.entries)
            queued_ms[key] += batch.remaining_ms
        return [
            QueueSnapshot(*key, count, round(queued_ms[key]))
            for key, count in sorted(tasks.items())
            if count
        ]

    def _schedule_expiry(self, batch: WaitingBatch) -> None:
        heapq.heappush(self._expiries, (_expiry_ms(batch), *batch.key))

    def _guaranteed_fraction(self, class_name: str) -> float:
        return self._current_policy.policy.class_named(class_name).guaranteed_part

    def _class_sort_key(self, class_name: str, now_ms: int) -> tuple[int, int, float]:
        """Return the sort key of a class; the class with the lowest goes first.

        It orders by rounded credit level, then ``urgency``, then exact credit level,
        the higher first in each case.
        """
        urgency = self._current_policy.policy.class_named(class_name).urgency
        level = self._credits.level(class_name, now_ms)
        rounded_level = math.ceil(max(level, 0.0) * CREDIT_LEVEL_STEPS)
        return -rounded_level, -urgency, -level

    def _next_queue(self, candidate: ClassTargetQueue) -> TeamQueue | None:
        return candidate.next_queue(self._team_sort_key, self._may_run)

    def _team_sort_key(self, queue: TeamQueue) -> TeamSortKey:
        """Return the sort key of a team in its class; the lowest goes first."""
        virtual_ms = self._teams[queue.class_queue.class_name, queue.team].virtual_ms
        return math.floor(virtual_ms / VIRTUAL_TIME_STEP_MS), queue.first().sort_time_ms

    def _update_sort_time(self, batch: WaitingBatch) -> None:
        batch.update_sort_time(self._credits.slots)
        self._update_team_sort_key(batch.queue)

    def _update_team_sort_key(self, queue: TeamQueue) -> None:
        queue.class_queue.update(queue.team, self._team_sort_key(queue))

    def _may_run(self, team: str) -> bool:
        limit = self._current_policy.policy.team_named(team).max_running
        if limit is None:
            return True
        return self._running_by_team.get(team, 0) < math.ceil(
            limit * self._data_centre_fraction
        )

    def _add_batch(self, key: BatchKey, entry: QueuedTask) -> WaitingBatch:
        class_queues = self._queues_by_target_set.get(entry.targets)
        if class_queues is None:
            class_queues = self._queues_by_target_set[entry.targets] = {}
            for name in entry.targets:
                self._queues_by_target.setdefault(name, {})[entry.targets] = (
                    class_queues
                )
        class_queue = class_queues.get(entry.class_name)
        if class_queue is None:
            class_queue = ClassTargetQueue(entry.class_name, entry.targets)
            class_queues[entry.class_name] = class_queue
        state = self._team_state_for_push(entry.class_name, entry.team)
        team_queue = class_queue.team_queues.get(entry.team)
        if team_queue is None:
            team_queue = class_queue.add_team(entry.team)
            state.queues.append(team_queue)
        batch = WaitingBatch(key, team_queue, self._push_count, entry.enqueued_ms)
        self._batches[key] = batch
        return batch

    def _team_state_for_push(self, class_name: str, team: str) -> TeamState:
        """Return a team's state; if no task waits, first raise its virtual time.

        The virtual time is then at least that of the class, so that the team gains no
        advantage from the time in which it had no waiting task. The virtual time of a
        class is that of the team that last started a task in it, before that start.
        """
        state = self._teams.get((class_name, team))
        if state is None:
            self._drop_teams_without_waiting_tasks()
            state = self._teams[class_name, team] = TeamState()
        if not state.waiting:
            class_virtual_ms = self._class_virtual_ms.get(class_name, 0.0)
            state.virtual_ms = max(state.virtual_ms, class_virtual_ms)
        return state

    def _drop_teams_without_waiting_tasks(self) -> None:
        if len(self._teams) < MAX_TEAM_STATES:
            return
        self._teams = {key: each for key, each in self._teams.items() if each.waiting}

    def _start_next(self, batch: WaitingBatch, now_ms: int) -> QueuedTask:
        """Remove the next task of a batch, and charge its expected run time."""
        expected_ms, entry = batch.pop()
        self._adjust_totals(batch, expected_ms, -1)
        class_name, team = entry.class_name, entry.team
        state = self._teams[class_name, team]
        self._class_virtual_ms[class_name] = state.virtual_ms
        self._charges[entry.task_id] = _Charge(class_name, team, expected_ms, now_ms)
        self._running_by_team[team] = self._running_by_team.get(team, 0) + 1
        if batch.entries:
            self._update_sort_time(batch)
        else:
            self._delete_batch(batch)
        self._charge(class_name, team, expected_ms, now_ms)
        return entry

    def _refund(self, entry: QueuedTask) -> _Charge | None:
        """Refund and return the charge of a started task, if there is one."""
        charge = self._charges.pop(entry.task_id, None)
        if charge is None:
            return None
        running = self._running_by_team[charge.team] - 1
        if running:
            self._running_by_team[charge.team] = running
        else:
            del self._running_by_team[charge.team]
        self._charge(charge.class_name, charge.team, -charge.slot_ms, charge.started_ms)
        return charge

    def _charge(self, class_name: str, team: str, slot_ms: float, now_ms: int) -> None:
        """Charge slot time to a class and a team; a negative value refunds it."""
        self._credits.debit(class_name, slot_ms, now_ms)
        state = self._teams.get((class_name, team))
        if state is None:
            return
        weight = self._current_policy.policy.team_named(team).quota_part
        state.virtual_ms += slot_ms / weight
        for queue in state.queues:
            self._update_team_sort_key(queue)

    def _adjust_totals(
        self, batch: WaitingBatch, expected_ms: float, sign: int
    ) -> None:
        class_name, team = batch.queue.class_queue.class_name, batch.queue.team
        total_ms = self._queued_ms_by_class.get(class_name, 0.0) + sign * expected_ms
        self._queued_ms_by_class[class_name] = total_ms
        self._teams[class_name, team].waiting += sign
        self._waiting_count += sign
        if not self._waiting_count:
            self._queued_ms_by_class.clear()

    def _delete_batch(self, batch: WaitingBatch) -> None:
        """Delete an empty batch, and every queue that becomes empty without it."""
        del self._batches[batch.key]
        team_queue = batch.queue
        team_queue.remove(batch)
        if not team_queue.is_empty():
            self._update_team_sort_key(team_queue)
            return
        class_queue = team_queue.class_queue
        del class_queue.team_queues[team_queue.team]
        self._teams[class_queue.class_name, team_queue.team].queues.remove(team_queue)
        if class_queue.team_queues:
            return
        class_queues = self._queues_by_target_set[class_queue.targets]
        del class_queues[class_queue.class_name]
        if class_queues:
            return
        del self._queues_by_target_set[class_queue.targets]
        for name in class_queue.targets:
            queues_by_set = self._queues_by_target[name]
            del queues_by_set[class_queue.targets]
            if not queues_by_set:
                del self._queues_by_target[name]


def _expiry_ms(batch: WaitingBatch) -> float:
    return batch.deadline_ms - EXPIRY_RUN_TIME_FACTOR * batch.longest_ms()
