"""A home's queue with shares by class and team, in measured slot time."""

__all__ = ["FairShareQueue"]

import heapq
import math
from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from hibiscusstack.dispatch.jobs import Task
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.dispatch.observation.run_times import RunTimes
from hibiscusstack.dispatch.policy.policy import PolicyInForce
from hibiscusstack.dispatch.queueing.credits import ClassCredits
from hibiscusstack.dispatch.queueing.task_queue import QueuedTask
from hibiscusstack.dispatch.queueing.team_queues import (
    BatchKey,
    ClassQueue,
    Rank,
    TeamQueue,
    TeamState,
    WaitingBatch,
)
from hibiscusstack.dispatch.targets import TargetInfo
from hibiscusstack.dispatch.views import QueueSnapshot

EXPIRY_RUN_TIME_FACTOR = 0.5
CREDIT_STEPS = 4
FAIRNESS_STEP_MS = 10_000
MAX_TEAM_STATES = 4_096


@attrs.frozen
class _Charge:
    class_name: str
    team: str
    slot_ms: float
    started_ms: int


class FairShareQueue:
    """A queue that shares slot time.

    It is a :class:`~hibiscusstack.dispatch.queueing.task_queue.TaskQueue`.

    A free slot goes to the class that has most of its guaranteed part left, in
    ``CREDIT_STEPS`` steps, and among equals to the most urgent one. Once every class
    that waits has used up its part, the most urgent one goes first. So the first
    seconds of a flood don't push others aside either. Within a
    class the team goes first that has had the least for its weight, in steps of
    ``FAIRNESS_STEP_MS``. Among equals the batch goes first whose arrival plus a
    multiple of its remaining time is the earliest, and of a batch the task that is
    expected to run the longest.

    A start is charged with the expected run time; the measured one replaces it when
    the run ends, so declared times give nobody an advantage. A team's bound on
    running tasks is scaled by the part of the fleet's slots that are homed here.

    A push or a pop costs the logarithm of what waits, times the number of different
    sets of targets that hold the target and the number of classes. Removing a batch
    costs the size of that batch. The method within a class is start-time fair
    queueing: Goyal, Vin and Cheng, 1996.
    """

    def __init__(self, in_force: PolicyInForce, run_times: RunTimes) -> None:
        self._fleet_fraction = 1.0
        self.run_times = run_times
        self._in_force = in_force
        self._credits = ClassCredits(self._guaranteed_part)
        self._slots_of: dict[str, int] = {}
        self._queues_by_target: dict[
            str, dict[frozenset[str], dict[str, ClassQueue]]
        ] = {}
        self._queues_by_target_set: dict[frozenset[str], dict[str, ClassQueue]] = {}
        self._batches: dict[BatchKey, WaitingBatch] = {}
        self._expiries: list[tuple[float, HostName, int]] = []
        self._teams: dict[tuple[str, str], TeamState] = {}
        self._class_virtual_ms: dict[str, float] = {}
        self._running: dict[str, int] = {}
        self._charges: dict[str, _Charge] = {}
        self._queued_ms: dict[str, float] = {}
        self._waiting_count = 0
        self._push_count = 0

    def __len__(self) -> int:
        """Return the number of tasks that wait."""
        return self._waiting_count

    def replace_targets(self, targets: Iterable[TargetInfo], fleet_slots: int) -> None:
        """Take over the targets homed here, and the slots of the whole fleet."""
        self._credits.slots = sum(each.slots for each in targets)
        self._fleet_fraction = self._credits.slots / fleet_slots if fleet_slots else 1.0

    def push(self, entry: QueuedTask) -> None:
        """Add one task; one that was started before is no longer charged for."""
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
        self._update_due_time(batch)

    def pop(self, target: TargetInfo, now_ms: int) -> QueuedTask | None:
        """Take the task that should start on ``target`` next, if any may."""
        candidates = [
            class_queue
            for class_queues in self._queues_by_target.get(target.name, {}).values()
            for class_queue in class_queues.values()
        ]
        candidates.sort(key=lambda each: self._rank(each.class_name, now_ms))
        for candidate in candidates:
            team_queue = self._next_queue(candidate)
            if team_queue is not None:
                return self._start_next(team_queue.first(), now_ms)
        return None

    def remove_batch(self, owner: HostName, batch: int) -> list[QueuedTask]:
        """Take out every waiting task of one batch."""
        found = self._batches.get((owner, batch))
        if found is None:
            return []
        entries = found.entries
        found.entries = []
        for negative_ms, _, _ in entries:
            self._adjust_totals(found, -negative_ms, -1)
        self._delete_batch(found)
        return [entry for _, _, entry in entries]

    def remove_movable(self, limit: int) -> list[QueuedTask]:
        """Take out up to ``most`` tasks that may go to another home.

        Whole batches are taken first, oldest first, and a part of one at the end.
        The cost is the number of batches that are looked at.
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
            negative_ms, _, entry = heapq.heappop(batch.entries)
            self._adjust_totals(batch, -negative_ms, -1)
            removed.append(entry)
        return removed

    def expire(self, now_ms: int) -> list[QueuedTask]:
        """Take out every batch that can no longer finish before its deadline.

        It is given up when less is left than half of what its longest task is
        expected to take, since expectations are not exact.
        """
        expired: list[QueuedTask] = []
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, owner, number = heapq.heappop(self._expiries)
            batch = self._batches.get((owner, number))
            if batch is None:
                continue
            if _expiry_ms(batch) <= now_ms:
                expired += self.remove_batch(owner, number)
            else:
                self._schedule_expiry(batch)
        return expired

    def record_run(self, entry: QueuedTask, run_time_ms: int) -> None:
        """Charge a task that has ended with the time that it held its slot.

        With a time of 0 it never ran: its charge is given back and nothing learned.
        """
        charge = self._refund(entry)
        if charge is None or run_time_ms <= 0:
            return
        self.run_times.record(entry.task, run_time_ms)
        now_ms = charge.started_ms + run_time_ms
        self._charge(charge.class_name, charge.team, run_time_ms, now_ms)

    def expected_ms(self, task: Task) -> float:
        """Return how long a task is expected to run, from what was learned."""
        return self.run_times.expected_ms(task)

    def queued_ms(self) -> int:
        """Return the expected run time of all that waits."""
        return round(sum(self._queued_ms.values()))

    def queued_ms_by_class(self) -> Mapping[str, int]:
        """Return the expected run time of what waits in each class."""
        rounded = {name: round(ms) for name, ms in self._queued_ms.items()}
        return {name: ms for name, ms in rounded.items() if ms > 0}

    def snapshots(self) -> list[QueueSnapshot]:
        """Return what waits, by class and team in their order.

        The cost grows with the number of waiting batches.
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

    def _guaranteed_part(self, class_name: str) -> float:
        return self._in_force.policy.class_named(class_name).guaranteed_part

    def _rank(self, class_name: str, now_ms: int) -> tuple[int, int, float]:
        urgency = self._in_force.policy.class_named(class_name).urgency
        level = self._credits.level(class_name, now_ms)
        credited_step = math.ceil(max(level, 0.0) * CREDIT_STEPS)
        return -credited_step, -urgency, -level

    def _next_queue(self, candidate: ClassQueue) -> TeamQueue | None:
        return candidate.next_queue(self._rank_of_queue, self._may_run)

    def _rank_of_queue(self, queue: TeamQueue) -> Rank:
        virtual_ms = self._teams[queue.class_queue.class_name, queue.team].virtual_ms
        return math.floor(virtual_ms / FAIRNESS_STEP_MS), queue.first().due_ms

    def _update_due_time(self, batch: WaitingBatch) -> None:
        batch.update_due_time(self._credits.slots)
        self._update_rank(batch.queue)

    def _update_rank(self, queue: TeamQueue) -> None:
        queue.class_queue.update(queue.team, self._rank_of_queue(queue))

    def _may_run(self, team: str) -> bool:
        limit = self._in_force.policy.team_named(team).max_running
        if limit is None:
            return True
        return self._running.get(team, 0) < math.ceil(limit * self._fleet_fraction)

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
            class_queue = ClassQueue(entry.class_name, entry.targets)
            class_queues[entry.class_name] = class_queue
        state = self._activate_team(entry.class_name, entry.team)
        team_queue = class_queue.team_queues.get(entry.team)
        if team_queue is None:
            team_queue = class_queue.add_team(entry.team)
            state.queues.append(team_queue)
        batch = WaitingBatch(key, team_queue, self._push_count, entry.enqueued_ms)
        self._batches[key] = batch
        return batch

    def _activate_team(self, class_name: str, team: str) -> TeamState:
        """Return a team's state; one that was away starts at the present time."""
        state = self._teams.get((class_name, team))
        if state is None:
            self._drop_idle_teams()
            state = self._teams[class_name, team] = TeamState()
        if not state.waiting:
            class_virtual_ms = self._class_virtual_ms.get(class_name, 0.0)
            state.virtual_ms = max(state.virtual_ms, class_virtual_ms)
        return state

    def _drop_idle_teams(self) -> None:
        if len(self._teams) < MAX_TEAM_STATES:
            return
        self._teams = {key: each for key, each in self._teams.items() if each.waiting}

    def _start_next(self, batch: WaitingBatch, now_ms: int) -> QueuedTask:
        expected_ms, entry = batch.pop()
        self._adjust_totals(batch, expected_ms, -1)
        class_name, team = entry.class_name, entry.team
        state = self._teams[class_name, team]
        self._class_virtual_ms[class_name] = state.virtual_ms
        self._charges[entry.task_id] = _Charge(class_name, team, expected_ms, now_ms)
        self._running[team] = self._running.get(team, 0) + 1
        if batch.entries:
            self._update_due_time(batch)
        else:
            self._delete_batch(batch)
        self._charge(class_name, team, expected_ms, now_ms)
        return entry

    def _refund(self, entry: QueuedTask) -> _Charge | None:
        charge = self._charges.pop(entry.task_id, None)
        if charge is None:
            return None
        running = self._running[charge.team] - 1
        if running:
            self._running[charge.team] = running
        else:
            del self._running[charge.team]
        self._charge(charge.class_name, charge.team, -charge.slot_ms, charge.started_ms)
        return charge

    def _charge(self, class_name: str, team: str, slot_ms: float, now_ms: int) -> None:
        self._credits.debit(class_name, slot_ms, now_ms)
        state = self._teams.get((class_name, team))
        if state is None:
            return
        weight = self._in_force.policy.team_named(team).quota_part
        state.virtual_ms += slot_ms / weight
        for queue in state.queues:
            self._update_rank(queue)

    def _adjust_totals(
        self, batch: WaitingBatch, expected_ms: float, sign: int
    ) -> None:
        class_name, team = batch.queue.class_queue.class_name, batch.queue.team
        total_ms = self._queued_ms.get(class_name, 0.0) + sign * expected_ms
        self._queued_ms[class_name] = total_ms
        self._teams[class_name, team].waiting += sign
        self._waiting_count += sign
        if not self._waiting_count:
            self._queued_ms.clear()

    def _delete_batch(self, batch: WaitingBatch) -> None:
        """Take out an empty batch, and every line that it leaves empty."""
        del self._batches[batch.key]
        team_queue = batch.queue
        team_queue.remove(batch)
        if not team_queue.is_empty():
            self._update_rank(team_queue)
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
