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
    ClassLine,
    Rank,
    TeamLine,
    TeamState,
    WaitingBatch,
)
from hibiscusstack.dispatch.targets import TargetInfo
from hibiscusstack.dispatch.views import QueueSnapshot

HOPELESS_PART = 0.5
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
        self._fleet_part = 1.0
        self.run_times = run_times
        self._in_force = in_force
        self._credits = ClassCredits(self._part_of)
        self._slots_of: dict[str, int] = {}
        self._sets_of: dict[str, dict[frozenset[str], dict[str, ClassLine]]] = {}
        self._sets: dict[frozenset[str], dict[str, ClassLine]] = {}
        self._batches: dict[BatchKey, WaitingBatch] = {}
        self._alarms: list[tuple[float, HostName, int]] = []
        self._teams: dict[tuple[str, str], TeamState] = {}
        self._class_virtual_ms: dict[str, float] = {}
        self._running: dict[str, int] = {}
        self._charges: dict[str, _Charge] = {}
        self._queued_ms: dict[str, float] = {}
        self._waiting = 0
        self._pushed = 0

    def __len__(self) -> int:
        """Return the number of tasks that wait."""
        return self._waiting

    def replace_targets(self, targets: Iterable[TargetInfo], fleet_slots: int) -> None:
        """Take over the targets homed here, and the slots of the whole fleet."""
        self._credits.slots = sum(each.slots for each in targets)
        self._fleet_part = self._credits.slots / fleet_slots if fleet_slots else 1.0

    def push(self, entry: QueuedTask) -> None:
        """Add one task; one that was started before is no longer charged for."""
        self._refund(entry)
        expected_ms = self.run_times.expected_ms(entry.task)
        key = (entry.owner, entry.batch)
        batch = self._batches.get(key)
        if batch is None:
            batch = self._open(key, entry)
        self._pushed += 1
        earlier_alarm_ms = _alarm_ms(batch)
        batch.push(entry, expected_ms, self._pushed)
        if _alarm_ms(batch) < earlier_alarm_ms:
            self._arm(batch)
        self._count(batch, expected_ms, 1)
        self._set_turn(batch)

    def pop(self, target: TargetInfo, now_ms: int) -> QueuedTask | None:
        """Take the task that should start on ``target`` next, if any may."""
        candidates = [
            line
            for lines in self._sets_of.get(target.name, {}).values()
            for line in lines.values()
        ]
        candidates.sort(key=lambda line: self._rank(line.class_name, now_ms))
        for candidate in candidates:
            line = self._next_line(candidate)
            if line is not None:
                return self._take(line.first(), now_ms)
        return None

    def remove_batch(self, owner: HostName, batch: int) -> list[QueuedTask]:
        """Take out every waiting task of one batch."""
        found = self._batches.get((owner, batch))
        if found is None:
            return []
        entries = found.entries
        found.entries = []
        for negative_ms, _, _ in entries:
            self._count(found, -negative_ms, -1)
        self._close(found)
        return [entry for _, _, entry in entries]

    def remove_movable(self, limit: int) -> list[QueuedTask]:
        """Take out up to ``most`` tasks that may go to another home.

        Whole batches are taken first, oldest first, and a part of one at the end.
        The cost is the number of batches that are looked at.
        """
        taken: list[QueuedTask] = []
        for key in list(self._batches):
            batch = self._batches[key]
            if len(taken) >= limit:
                break
            if batch.entries[0][2].may_move:
                taken += self._take_from(batch, limit - len(taken))
        return taken

    def _take_from(self, batch: WaitingBatch, most: int) -> list[QueuedTask]:
        if len(batch.entries) <= most:
            return self.remove_batch(*batch.key)
        taken = []
        for _ in range(most):
            negative_ms, _, entry = heapq.heappop(batch.entries)
            self._count(batch, -negative_ms, -1)
            taken.append(entry)
        return taken

    def expire(self, now_ms: int) -> list[QueuedTask]:
        """Take out every batch that can no longer finish before its deadline.

        It is given up when less is left than half of what its longest task is
        expected to take, since expectations are not exact.
        """
        expired: list[QueuedTask] = []
        while self._alarms and self._alarms[0][0] <= now_ms:
            _, owner, number = heapq.heappop(self._alarms)
            batch = self._batches.get((owner, number))
            if batch is None:
                continue
            if _alarm_ms(batch) <= now_ms:
                expired += self.remove_batch(owner, number)
            else:
                self._arm(batch)
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
            key = (batch.line.owner.class_name, batch.line.team)
            tasks[key] += len(batch.entries)
            queued_ms[key] += batch.remaining_ms
        return [
            QueueSnapshot(*key, count, round(queued_ms[key]))
            for key, count in sorted(tasks.items())
            if count
        ]

    def _arm(self, batch: WaitingBatch) -> None:
        heapq.heappush(self._alarms, (_alarm_ms(batch), *batch.key))

    def _part_of(self, class_name: str) -> float:
        return self._in_force.policy.class_named(class_name).guaranteed_part

    def _rank(self, class_name: str, now_ms: int) -> tuple[int, int, float]:
        urgency = self._in_force.policy.class_named(class_name).urgency
        level = self._credits.level(class_name, now_ms)
        credited_step = math.ceil(max(level, 0.0) * CREDIT_STEPS)
        return -credited_step, -urgency, -level

    def _next_line(self, candidate: ClassLine) -> TeamLine | None:
        return candidate.next_line(self._rank_of_line, self._may_run)

    def _rank_of_line(self, line: TeamLine) -> Rank:
        virtual_ms = self._teams[line.owner.class_name, line.team].virtual_ms
        return math.floor(virtual_ms / FAIRNESS_STEP_MS), line.first().turn_ms

    def _set_turn(self, batch: WaitingBatch) -> None:
        batch.set_turn(self._credits.slots)
        self._enter(batch.line)

    def _enter(self, line: TeamLine) -> None:
        line.owner.enter(line.team, self._rank_of_line(line))

    def _may_run(self, team: str) -> bool:
        most = self._in_force.policy.team_named(team).max_running
        if most is None:
            return True
        return self._running.get(team, 0) < math.ceil(most * self._fleet_part)

    def _open(self, key: BatchKey, entry: QueuedTask) -> WaitingBatch:
        lines = self._sets.get(entry.targets)
        if lines is None:
            lines = self._sets[entry.targets] = {}
            for name in entry.targets:
                self._sets_of.setdefault(name, {})[entry.targets] = lines
        class_line = lines.get(entry.class_name)
        if class_line is None:
            class_line = ClassLine(entry.class_name, entry.targets)
            lines[entry.class_name] = class_line
        state = self._join(entry.class_name, entry.team)
        line = class_line.lines.get(entry.team)
        if line is None:
            line = class_line.add_line(entry.team)
            state.lines.append(line)
        batch = WaitingBatch(key, line, self._pushed, entry.enqueued_ms)
        self._batches[key] = batch
        return batch

    def _join(self, class_name: str, team: str) -> TeamState:
        """Return a team's state; one that was away starts at the present time."""
        state = self._teams.get((class_name, team))
        if state is None:
            self._forget_idle_teams()
            state = self._teams[class_name, team] = TeamState()
        if not state.waiting:
            present_ms = self._class_virtual_ms.get(class_name, 0.0)
            state.virtual_ms = max(state.virtual_ms, present_ms)
        return state

    def _forget_idle_teams(self) -> None:
        if len(self._teams) < MAX_TEAM_STATES:
            return
        self._teams = {key: each for key, each in self._teams.items() if each.waiting}

    def _take(self, batch: WaitingBatch, now_ms: int) -> QueuedTask:
        expected_ms, entry = batch.pop()
        self._count(batch, expected_ms, -1)
        class_name, team = entry.class_name, entry.team
        state = self._teams[class_name, team]
        self._class_virtual_ms[class_name] = state.virtual_ms
        self._charges[entry.task_id] = _Charge(class_name, team, expected_ms, now_ms)
        self._running[team] = self._running.get(team, 0) + 1
        if batch.entries:
            self._set_turn(batch)
        else:
            self._close(batch)
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
        self._credits.pay(class_name, slot_ms, now_ms)
        state = self._teams.get((class_name, team))
        if state is None:
            return
        weight = self._in_force.policy.team_named(team).quota_part
        state.virtual_ms += slot_ms / weight
        for line in state.lines:
            self._enter(line)

    def _count(self, batch: WaitingBatch, expected_ms: float, sign: int) -> None:
        class_name, team = batch.line.owner.class_name, batch.line.team
        total_ms = self._queued_ms.get(class_name, 0.0) + sign * expected_ms
        self._queued_ms[class_name] = total_ms
        self._teams[class_name, team].waiting += sign
        self._waiting += sign
        if not self._waiting:
            self._queued_ms.clear()

    def _close(self, batch: WaitingBatch) -> None:
        """Take out an empty batch, and every line that it leaves empty."""
        del self._batches[batch.key]
        line = batch.line
        line.remove(batch)
        if not line.is_empty():
            self._enter(line)
            return
        class_line = line.owner
        del class_line.lines[line.team]
        self._teams[class_line.class_name, line.team].lines.remove(line)
        if class_line.lines:
            return
        lines = self._sets[class_line.targets]
        del lines[class_line.class_name]
        if lines:
            return
        del self._sets[class_line.targets]
        for name in class_line.targets:
            sets = self._sets_of[name]
            del sets[class_line.targets]
            if not sets:
                del self._sets_of[name]


def _alarm_ms(batch: WaitingBatch) -> float:
    return batch.deadline_ms - HOPELESS_PART * batch.longest_ms()
