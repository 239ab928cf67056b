"""The home of targets: queues tasks and starts each of them once on a target."""

__all__ = ["Home"]

from collections.abc import Iterable

import attrs

from hibiscusstack.dispatch.answers import Outcome, Problem, Reason, TaskResult
from hibiscusstack.dispatch.effects import (
    Effect,
    SendPeer,
    StartTask,
    StopTasks,
    TargetReply,
    TaskFinished,
    TaskNotSent,
    TaskRefused,
    TaskSilent,
    TaskStates,
)
from hibiscusstack.dispatch.homes.batches import BatchTable
from hibiscusstack.dispatch.homes.slots import (
    BUSY_PAUSE_MS,
    LEAVING_PAUSE_MS,
    UNREACHABLE_PAUSE_MS,
    SlotTable,
)
from hibiscusstack.dispatch.jobs import task_id_of
from hibiscusstack.dispatch.loads import HomeLoad
from hibiscusstack.dispatch.messages import (
    BatchResults,
    CancelBatch,
    HostName,
    PlaceBatch,
    QueryBatch,
    RequestWork,
)
from hibiscusstack.dispatch.observation.reconciliation import (
    TaskReconciler,
    TaskResolution,
)
from hibiscusstack.dispatch.policy.interfaces import TargetHealth
from hibiscusstack.dispatch.queueing.task_queue import QueuedTask, TaskQueue
from hibiscusstack.dispatch.targets import TargetInfo
from hibiscusstack.dispatch.views import QueueSnapshot

MAX_START_ATTEMPTS = 4
SILENCE_GRACE_MS = 10_000
MAX_PAUSE_MS = 1_000
LEAST_EXPECTED_MS = 1.0
PROBE_AFTER_MS = 1_000
PROBE_RUN_TIME_FACTOR = 4
BUSY_REASON = "busy"
LEAVING_REASON = "leaving"


@attrs.define
class _Running:
    entry: QueuedTask
    target: str
    started_ms: int
    is_asked: bool = False

    def probe_ms(self) -> int:
        """Return when the target should be asked about this task."""
        expected_ms = PROBE_RUN_TIME_FACTOR * self.entry.task.run_time_ms
        return self.started_ms + PROBE_AFTER_MS + expected_ms


class Home:
    """Queues the batches that owners place here and runs them on targets.

    A task is sent to a target once. It goes to another target only with proof that
    the first never started it: nothing was written, a typed refusal, or the
    target's word over a new connection.

    A home that was paused may have been taken for lost, and its targets asked and
    restarted since. So on waking it starts nothing for other owners that it held or
    that reached it during the pause, and gives it back.
    """

    def __init__(self, name: HostName, queue: TaskQueue, health: TargetHealth) -> None:
        self.slots = SlotTable()
        self._name = name
        self._ticked_ms: int | None = None
        self._queue = queue
        self._health = health
        self._batches = BatchTable()
        self._running: dict[str, _Running] = {}
        self._attempts: dict[str, int] = {}
        self._inquiry = TaskReconciler()
        self._own_targets: frozenset[str] = frozenset()
        self._away: set[HostName] = set()

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is queued, running or asked about."""
        return not self._running and not self._batches.has_open()

    @property
    def running_count(self) -> int:
        """The number of tasks sent to targets whose end is not known."""
        return len(self._running)

    def view_queue(self) -> list[QueueSnapshot]:
        """Return what waits here, by class and team."""
        return self._queue.snapshots()

    def replace_targets(
        self, targets: Iterable[TargetInfo], own: frozenset[str], now_ms: int
    ) -> list[Effect]:
        """Take over a new list of targets, ``own`` being those homed here."""
        self.slots.replace_targets(targets)
        self._own_targets = own
        homed = [t for t in map(self.slots.target, own) if t is not None]
        fleet_slots = sum(target.slots for target in targets)
        self._queue.replace_targets(homed, fleet_slots)
        self._health.replace_targets(homed)
        return self._start_on(self.slots.names(), now_ms)

    @property
    def own_count(self) -> int:
        """The number of targets homed here."""
        return len(self._own_targets)

    def load(self, now_ms: int) -> HomeLoad:
        """Return the state of the targets homed here and of the queue."""
        by_class = self._queue.queued_ms_by_class()
        names = sorted(self._own_targets)
        homed = [t for t in map(self.slots.target, names) if t is not None]
        free = tuple(self._free_on(target, now_ms) for target in homed)
        return HomeLoad(
            free_slots=sum(free),
            queued_ms=self._queue.queued_ms(),
            targets=len(self._own_targets),
            slots=sum(target.slots for target in homed),
            ejected=self._health.count_ejected(now_ms),
            queued_ms_by_class=tuple(sorted(by_class.items())),
            free_by_target=free,
        )

    def note_fleet(self, ejected_elsewhere: int, targets: int) -> None:
        """Take over what other homes have ejected, and of how many targets."""
        self._health.set_fleet_ejections(ejected_elsewhere, targets)

    def place(self, owner: HostName, message: PlaceBatch, now_ms: int) -> list[Effect]:
        """Queue a batch and start what can start."""
        if owner != self._name and self._was_paused(now_ms):
            return self.query(owner, QueryBatch(message.batch), now_ms)
        is_new = self._batches.open(owner, message)
        if not is_new:
            return []
        entries = [_queued(owner, message, task, now_ms) for task in message.tasks]
        for entry in entries:
            self._queue.push(entry)
        return self._start_on(message.targets, now_ms)

    def cancel(
        self, owner: HostName, message: CancelBatch, now_ms: int
    ) -> list[Effect]:
        """Drop what waits of a batch and give up on what runs of it."""
        batch = message.batch
        if not self._batches.knows(owner, batch):
            return self.query(owner, QueryBatch(batch), now_ms)
        self._drop_queued(owner, batch, Reason.CANCELLED)
        stops: list[Effect] = []
        for task_id, running in list(self._running.items()):
            if running.entry.owner == owner and running.entry.batch == batch:
                self._settle(running.entry, _abandoned(running.entry))
                if running.entry.task.idempotent:
                    stops.append(StopTasks(running.target, (task_id,), False))
        return stops + self._report(owner, batch, now_ms)

    def query(self, owner: HostName, message: QueryBatch, now_ms: int) -> list[Effect]:
        """Answer the owner's question what became of a batch."""
        description = self._batches.describe(owner, message.batch)
        return [SendPeer(owner, self._with_load(description, now_ms))]

    def owner_away(self, owner: HostName) -> None:
        """Give back all that waits for an owner that is not connected.

        Such an owner places the tasks elsewhere once it takes this host for lost, so
        none of them may start here. It learns of them when it asks again.
        """
        self._away.add(owner)
        for batch in self._batches.open_batches_of(owner):
            self._give_back_queued(owner, batch)

    def owner_back(self, owner: HostName) -> None:
        """Let tasks of an owner that is connected again wait and start here."""
        self._away.discard(owner)

    def give_work(
        self, asking: HostName, message: RequestWork, now_ms: int
    ) -> list[Effect]:
        """Return waiting tasks to their owners, which know the idle home's load."""
        most = min(message.free_slots, len(self._queue) // 2)
        batches = set()
        for entry in self._queue.take_movable(most):
            self._give_back(entry)
            batches.add((entry.owner, entry.batch))
        effects: list[Effect] = []
        for owner, batch in sorted(batches):
            effects += self._report(owner, batch, now_ms)
        return effects

    def give_back_queued(self, now_ms: int) -> list[Effect]:
        """Return all that waits to its owners, unstarted; for a planned stop."""
        effects: list[Effect] = []
        for owner, batch in self._batches.all_open():
            self._give_back_queued(owner, batch)
            effects += self._report(owner, batch, now_ms)
        return effects

    def replied(
        self, target: str, task_id: str, reply: TargetReply, now_ms: int
    ) -> list[Effect]:
        """Act on the outcome of one start."""
        running = self._running.get(task_id)
        if running is None or running.target != target:
            return []
        if isinstance(reply, TaskSilent):
            self._record_health(running, is_success=False, now_ms=now_ms)
            return self._ask_target(running, now_ms)
        self._inquiry.close_query(task_id)
        if isinstance(reply, TaskFinished):
            return self._finish(running, reply.result, now_ms)
        return self._start_elsewhere(running, reply, now_ms)

    def targets_answered(self, states: TaskStates, now_ms: int) -> list[Effect]:
        """Act on a target's word about tasks that went silent."""
        verdicts = self._inquiry.task_states_received(states, now_ms)
        return self._conclude(verdicts, now_ms)

    def tick(self, now_ms: int) -> list[Effect]:
        """Expire what waits too long, ask again, and start what can start."""
        effects: list[Effect] = []
        if self._was_paused(now_ms):
            effects += self._give_back_others(now_ms)
        self._ticked_ms = now_ms
        for entry in self._queue.expire(now_ms):
            self._settle(entry, _not_run(entry, Reason.DEADLINE))
            effects += self._report(entry.owner, entry.batch, now_ms)
        effects += self._probe_overdue(now_ms)
        verdicts = self._inquiry.close_overdue(now_ms)
        effects += self._inquiry.requests_due(now_ms)
        effects += self._conclude(verdicts, now_ms)
        self._batches.forget_old(now_ms)
        return effects + self._start_on(self.slots.names(), now_ms)

    def _start_on(self, names: Iterable[str], now_ms: int) -> list[Effect]:
        effects: list[Effect] = []
        if not len(self._queue) or self._was_paused(now_ms):
            return effects
        for name in self.slots.by_most_free(names, now_ms):
            effects += self._fill(name, now_ms)
        return effects

    def _was_paused(self, now_ms: int) -> bool:
        """Tell whether this process has not run for longer than it may."""
        ticked_ms = self._ticked_ms
        return ticked_ms is not None and now_ms - ticked_ms > MAX_PAUSE_MS

    def _give_back_others(self, now_ms: int) -> list[Effect]:
        """Return to the other owners all that waits here."""
        effects: list[Effect] = []
        for owner, batch in self._batches.all_open():
            if owner == self._name:
                continue
            self._give_back_queued(owner, batch)
            effects += self._report(owner, batch, now_ms)
        return effects

    def _free_on(self, target: TargetInfo, now_ms: int) -> int:
        free = self.slots.free_on(target.name, now_ms)
        if not free:
            return 0
        most = self._health.concurrency_limit(target, now_ms)
        return max(0, min(free, most - self.slots.running_on(target.name)))

    def _fill(self, name: str, now_ms: int) -> list[Effect]:
        effects: list[Effect] = []
        target = self.slots.target(name)
        while self._free_on(target, now_ms) > 0:
            entry = self._queue.pop(target, now_ms)
            if entry is None:
                break
            if entry.deadline_ms <= now_ms:
                self._settle(entry, _not_run(entry, Reason.DEADLINE))
                effects += self._report(entry.owner, entry.batch, now_ms)
                continue
            effects.append(self._start(entry, name, now_ms))
        return effects

    def _start(self, entry: QueuedTask, name: str, now_ms: int) -> StartTask:
        self.slots.acquire(name)
        self._running[entry.task_id] = _Running(entry, name, now_ms)
        timeout_ms = entry.deadline_ms - now_ms
        return StartTask(name, entry.task_id, entry.task, timeout_ms, entry.traceparent)

    def _ask_target(self, running: _Running, now_ms: int) -> list[Effect]:
        if running.is_asked:
            return []
        running.is_asked = True
        entry = running.entry
        give_up_ms = max(entry.deadline_ms, now_ms) + SILENCE_GRACE_MS
        targets = frozenset({running.target})
        self._inquiry.open_query(
            entry.task_id, entry.task.index, targets, running.started_ms, give_up_ms
        )
        return list(self._inquiry.requests_due(now_ms))

    def _probe_overdue(self, now_ms: int) -> list[Effect]:
        effects: list[Effect] = []
        for running in self._running.values():
            if not running.is_asked and running.probe_ms() <= now_ms:
                effects += self._ask_target(running, now_ms)
        return effects

    def _record_health(
        self, running: _Running, is_success: bool, now_ms: int, run_time_ms: int = 0
    ) -> None:
        expected_ms = self._queue.expected_ms(running.entry.task)
        slowness = run_time_ms / max(expected_ms, LEAST_EXPECTED_MS)
        self._health.record(running.target, is_success, slowness, now_ms)

    def _conclude(self, verdicts: list[TaskResolution], now_ms: int) -> list[Effect]:
        effects: list[Effect] = []
        for verdict in verdicts:
            running = self._running[verdict.task_id]
            if verdict.is_never_started:
                effects += self._return(running, now_ms)
                continue
            result = verdict.result or _lost(running.entry)
            effects += self._finish(running, result, now_ms)
        return effects

    def _finish(
        self, running: _Running, result: TaskResult, now_ms: int
    ) -> list[Effect]:
        entry = running.entry
        self._remove(running)
        is_success = result.outcome is Outcome.SUCCEEDED
        is_given_up = not self._batches.is_open(
            entry.owner, entry.batch, entry.task.index
        )
        if not is_given_up:
            self._record_health(running, is_success, now_ms, result.run_time_ms)
        self._queue.record_run(entry, max(now_ms - running.started_ms, 0))
        self._settle(entry, attrs.evolve(result, index=entry.task.index))
        if not is_success:
            self._drop_queued(entry.owner, entry.batch, Reason.JOB_FAILED)
        effects = self._report(entry.owner, entry.batch, now_ms)
        return effects + self._start_on([running.target], now_ms)

    def _start_elsewhere(
        self, running: _Running, reply: TaskRefused | TaskNotSent, now_ms: int
    ) -> list[Effect]:
        self._remove(running)
        entry = running.entry
        may_retry = self._pause_after(running.target, reply, now_ms)
        must_return = not may_retry or entry.owner in self._away
        is_counted = not _is_busy(reply)
        attempts = self._attempts.pop(entry.task_id, 1) + is_counted
        is_open = self._batches.is_open(entry.owner, entry.batch, entry.task.index)
        if must_return or not is_open or attempts > MAX_START_ATTEMPTS:
            self._queue.record_run(entry, 0)
            self._give_back(entry)
            return self._report(entry.owner, entry.batch, now_ms)
        self._attempts[entry.task_id] = attempts
        self._queue.push(entry)
        return self._start_on(entry.targets, now_ms)

    def _pause_after(
        self, target: str, reply: TaskRefused | TaskNotSent, now_ms: int
    ) -> bool:
        """Pause the target; return whether this home may try another one."""
        if isinstance(reply, TaskNotSent):
            self._health.record(target, False, 0, now_ms)
            self.slots.pause(target, now_ms + UNREACHABLE_PAUSE_MS)
            return True
        if _is_busy(reply):
            self.slots.pause(target, now_ms + BUSY_PAUSE_MS)
            return True
        if reply.reason == LEAVING_REASON:
            self.slots.pause(target, now_ms + LEAVING_PAUSE_MS)
            return True
        return False

    def _return(self, running: _Running, now_ms: int) -> list[Effect]:
        self._remove(running)
        entry = running.entry
        self._queue.record_run(entry, 0)
        self._give_back(entry)
        effects = self._report(entry.owner, entry.batch, now_ms)
        return effects + self._start_on([running.target], now_ms)

    def _remove(self, running: _Running) -> None:
        del self._running[running.entry.task_id]
        self.slots.release(running.target)

    def _settle(self, entry: QueuedTask, result: TaskResult) -> None:
        self._attempts.pop(entry.task_id, None)
        self._batches.settle(entry.owner, entry.batch, result)

    def _drop_queued(self, owner: HostName, batch: int, reason: Reason) -> None:
        for entry in self._queue.remove_batch(owner, batch):
            self._settle(entry, _not_run(entry, reason))

    def _give_back_queued(self, owner: HostName, batch: int) -> None:
        for entry in self._queue.remove_batch(owner, batch):
            self._give_back(entry)

    def _give_back(self, entry: QueuedTask) -> None:
        self._attempts.pop(entry.task_id, None)
        self._batches.give_back(entry.owner, entry.batch, entry.task.index)

    def _report(self, owner: HostName, batch: int, now_ms: int) -> list[Effect]:
        message = self._batches.take_report(owner, batch, now_ms)
        if message is None:
            return []
        return [SendPeer(owner, self._with_load(message, now_ms))]

    def _with_load(self, message: BatchResults, now_ms: int) -> BatchResults:
        load = self.load(now_ms)
        return attrs.evolve(
            message,
            free_slots=load.free_slots,
            queued_ms=load.queued_ms,
            queued_ms_by_class=load.queued_ms_by_class,
            free_by_target=load.free_by_target,
        )


def _is_busy(reply: TaskRefused | TaskNotSent) -> bool:
    return isinstance(reply, TaskRefused) and reply.reason == BUSY_REASON


def _queued(owner: HostName, message: PlaceBatch, task, now_ms: int) -> QueuedTask:
    return QueuedTask(
        owner=owner,
        batch=message.batch,
        task_id=task_id_of(message.job_id, task.index, message.batch),
        task=task,
        targets=frozenset(message.targets),
        team=message.team,
        class_name=message.class_name,
        enqueued_ms=now_ms,
        deadline_ms=now_ms + message.timeout_ms,
        traceparent=message.traceparent,
        may_move=message.may_move,
    )


def _not_run(entry: QueuedTask, reason: Reason) -> TaskResult:
    return TaskResult(entry.task.index, Outcome.NOT_RUN, problem=Problem(reason))


def _abandoned(entry: QueuedTask) -> TaskResult:
    problem = Problem(Reason.CANCELLED, "the task was running when it was cancelled")
    return TaskResult(entry.task.index, Outcome.UNKNOWN, problem=problem)


def _lost(entry: QueuedTask) -> TaskResult:
    problem = Problem(Reason.TARGET_LOST, "the target took the task and went silent")
    return TaskResult(entry.task.index, Outcome.UNKNOWN, problem=problem)
