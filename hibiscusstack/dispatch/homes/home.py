"""The home host of targets: queues tasks and starts each of them on one target."""

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
    BUSY_BACKOFF_MS,
    LEAVING_BACKOFF_MS,
    UNREACHABLE_BACKOFF_MS,
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
NO_ANSWER_GRACE_MS = 10_000
MAX_STALL_MS = 1_000
MIN_EXPECTED_MS = 1.0
PROBE_DELAY_MS = 1_000
PROBE_RUN_TIME_FACTOR = 4
BUSY_REASON = "busy"
LEAVING_REASON = "leaving"


@attrs.define
class _RunningTask:
    """A task that was sent to a target and has no known outcome.

    ``is_queried`` is set once the target is asked about it, which also prevents a
    task that has not started from starting.
    """

    entry: QueuedTask
    target: str
    started_ms: int
    is_queried: bool = False

    def probe_due_ms(self) -> int:
        """Return the time at which to query the target about this task."""
        expected_ms = PROBE_RUN_TIME_FACTOR * self.entry.task.run_time_ms
        return self.started_ms + PROBE_DELAY_MS + expected_ms


class Home:
    """Queues the batches that owners place on this host and runs them on targets.

    A task is sent to a target once. It is sent to another target only with proof
    that the first one never started it: nothing was written to the connection, the
    target answered with a typed refusal, or the target reported over a new
    connection that the task never started.

    While the process of this host was stalled, other hosts may have declared it
    lost. They may have queried its targets, and the targets may have restarted
    since. After a stall the home therefore starts none of the tasks of other owners
    that were queued before or arrived during the stall, and returns them unstarted.
    """

    def __init__(self, name: HostName, queue: TaskQueue, health: TargetHealth) -> None:
        self.slots = SlotTable()
        self._name = name
        self._last_tick_ms: int | None = None
        self._queue = queue
        self._health = health
        self._batches = BatchTable()
        self._running: dict[str, _RunningTask] = {}
        self._start_attempts: dict[str, int] = {}
        self._reconciler = TaskReconciler()
        self._own_targets: frozenset[str] = frozenset()
        self._disconnected_owners: set[HostName] = set()

    @property
    def is_idle(self) -> bool:
        """Tell whether no task is queued, running or being queried."""
        return not self._running and not self._batches.has_open_tasks()

    @property
    def running_count(self) -> int:
        """The number of tasks that were sent to targets and have no known outcome."""
        return len(self._running)

    def view_queue(self) -> list[QueueSnapshot]:
        """Return the tasks queued here, by class and team."""
        return self._queue.snapshots()

    def replace_targets(
        self, targets: Iterable[TargetInfo], own: frozenset[str], now_ms: int
    ) -> list[Effect]:
        """Replace the list of targets.

        ``targets`` are all targets of this data centre, and ``own`` the names of the
        targets assigned to this host.
        """
        self.slots.replace_targets(targets)
        self._own_targets = own
        own_targets = [t for t in map(self.slots.target, own) if t is not None]
        data_centre_slots = sum(target.slots for target in targets)
        self._queue.replace_targets(own_targets, data_centre_slots)
        self._health.replace_targets(own_targets)
        return self._start_queued(self.slots.names(), now_ms)

    @property
    def own_target_count(self) -> int:
        """The number of targets whose home this host is."""
        return len(self._own_targets)

    def load(self, now_ms: int) -> HomeLoad:
        """Return the load of the targets whose home this host is, and of the queue."""
        by_class = self._queue.queued_ms_by_class()
        names = sorted(self._own_targets)
        own_targets = [t for t in map(self.slots.target, names) if t is not None]
        free = tuple(self._free_slots_on(target, now_ms) for target in own_targets)
        return HomeLoad(
            free_slots=sum(free),
            queued_ms=self._queue.queued_ms(),
            targets=len(self._own_targets),
            slots=sum(target.slots for target in own_targets),
            ejected=self._health.count_ejected(now_ms),
            queued_ms_by_class=tuple(sorted(by_class.items())),
            free_by_target=free,
        )

    def set_fleet_ejections(self, ejected_by_other_homes: int, targets: int) -> None:
        """Set how many targets the other homes of this data centre have ejected.

        ``targets`` is the number of all targets of the data centre, those of this
        home included.
        """
        self._health.set_fleet_ejections(ejected_by_other_homes, targets)

    def place(self, owner: HostName, message: PlaceBatch, now_ms: int) -> list[Effect]:
        """Queue a batch and start the tasks for which targets have free slots.

        After a stall, a new batch of another owner is refused and not queued.
        """
        if owner != self._name and self._was_stalled(now_ms):
            # A query permanently refuses a batch that was never received.
            return self.query(owner, QueryBatch(message.batch), now_ms)
        is_new = self._batches.add_batch(owner, message)
        if not is_new:
            return []
        entries = [
            _make_queued_task(owner, message, task, now_ms) for task in message.tasks
        ]
        for entry in entries:
            self._queue.push(entry)
        return self._start_queued(message.targets, now_ms)

    def cancel(
        self, owner: HostName, message: CancelBatch, now_ms: int
    ) -> list[Effect]:
        """Cancel a batch: drop its queued tasks and report running ones as unknown.

        Running tasks are stopped on their targets if they are idempotent.
        """
        batch = message.batch
        if not self._batches.has_batch(owner, batch):
            return self.query(owner, QueryBatch(batch), now_ms)
        self._drop_queued(owner, batch, Reason.CANCELLED)
        stops: list[Effect] = []
        for task_id, running in list(self._running.items()):
            if running.entry.owner == owner and running.entry.batch == batch:
                self._record_result(
                    running.entry, _cancelled_running_result(running.entry)
                )
                if running.entry.task.idempotent:
                    stops.append(StopTasks(running.target, (task_id,), False))
        return stops + self._report(owner, batch, now_ms)

    def query(self, owner: HostName, message: QueryBatch, now_ms: int) -> list[Effect]:
        """Send the owner the status of a batch.

        A batch that was never received is permanently refused, so none of its tasks
        starts here even if it arrives later.
        """
        status = self._batches.status_or_refuse(owner, message.batch)
        return [SendPeer(owner, self._with_load(status, now_ms))]

    def owner_disconnected(self, owner: HostName) -> None:
        """Mark the queued tasks of a disconnected owner as returned unstarted.

        The owner places these tasks elsewhere once it declares this host lost, so
        none of them may start here. Nothing is sent. If the owner reconnects, it
        queries its batches and learns which tasks were returned.
        """
        self._disconnected_owners.add(owner)
        for batch in self._batches.open_batches_of(owner):
            self._return_queued_batch(owner, batch)

    def owner_connected(self, owner: HostName) -> None:
        """Allow unstarted tasks of a reconnected owner to be queued here again.

        While an owner is disconnected, tasks that a target refuses are returned.
        """
        self._disconnected_owners.discard(owner)

    def return_movable_tasks(
        self, requester: HostName, message: RequestWork, now_ms: int
    ) -> list[Effect]:
        """Give queued tasks back to their owners when an idle home requests work.

        The owners know the load of the idle home and can place the tasks there.
        """
        limit = min(message.free_slots, len(self._queue) // 2)
        batches = set()
        for entry in self._queue.remove_movable(limit):
            self._return_task(entry)
            batches.add((entry.owner, entry.batch))
        effects: list[Effect] = []
        for owner, batch in sorted(batches):
            effects += self._report(owner, batch, now_ms)
        return effects

    def return_queued_tasks(self, now_ms: int) -> list[Effect]:
        """Give all queued tasks back to their owners, unstarted; used when draining."""
        effects: list[Effect] = []
        for owner, batch in self._batches.open_batches():
            self._return_queued_batch(owner, batch)
            effects += self._report(owner, batch, now_ms)
        return effects

    def target_replied(
        self, target: str, task_id: str, reply: TargetReply, now_ms: int
    ) -> list[Effect]:
        """Handle the reply of a target to the start of one task."""
        running = self._running.get(task_id)
        if running is None or running.target != target:
            return []
        if isinstance(reply, TaskSilent):
            self._record_health(running, is_success=False, now_ms=now_ms)
            return self._query_and_prevent_start(running, now_ms)
        self._reconciler.close_query(task_id)
        if isinstance(reply, TaskFinished):
            return self._finish_task(running, reply.result, now_ms)
        return self._handle_unstarted(running, reply, now_ms)

    def task_states_received(self, states: TaskStates, now_ms: int) -> list[Effect]:
        """Handle a target's report on tasks whose start got no answer."""
        resolutions = self._reconciler.task_states_received(states, now_ms)
        return self._apply_resolutions(resolutions, now_ms)

    def tick(self, now_ms: int) -> list[Effect]:
        """Expire queued tasks, query targets about overdue tasks, and start tasks.

        After a stall, queued tasks of other owners are given back first.
        """
        effects: list[Effect] = []
        if self._was_stalled(now_ms):
            effects += self._return_tasks_of_other_owners(now_ms)
        self._last_tick_ms = now_ms
        for entry in self._queue.expire(now_ms):
            self._record_result(entry, _not_run_result(entry, Reason.DEADLINE))
            effects += self._report(entry.owner, entry.batch, now_ms)
        effects += self._probe_overdue(now_ms)
        resolutions = self._reconciler.close_overdue(now_ms)
        effects += self._reconciler.requests_due(now_ms)
        effects += self._apply_resolutions(resolutions, now_ms)
        self._batches.drop_expired(now_ms)
        return effects + self._start_queued(self.slots.names(), now_ms)

    def _start_queued(self, names: Iterable[str], now_ms: int) -> list[Effect]:
        effects: list[Effect] = []
        if not len(self._queue) or self._was_stalled(now_ms):
            return effects
        for name in self.slots.rank_by_free_slots(names, now_ms):
            effects += self._start_queued_on(name, now_ms)
        return effects

    def _was_stalled(self, now_ms: int) -> bool:
        """Tell whether this process was stalled since the last tick.

        It counts as stalled if the last tick is more than ``MAX_STALL_MS`` ago.
        """
        last_tick_ms = self._last_tick_ms
        return last_tick_ms is not None and now_ms - last_tick_ms > MAX_STALL_MS

    def _return_tasks_of_other_owners(self, now_ms: int) -> list[Effect]:
        """Give the queued tasks of all owners other than this host back to them."""
        effects: list[Effect] = []
        for owner, batch in self._batches.open_batches():
            if owner == self._name:
                continue
            self._return_queued_batch(owner, batch)
            effects += self._report(owner, batch, now_ms)
        return effects

    def _free_slots_on(self, target: TargetInfo, now_ms: int) -> int:
        free = self.slots.free_slots(target.name, now_ms)
        if not free:
            return 0
        limit = self._health.concurrency_limit(target, now_ms)
        return max(0, min(free, limit - self.slots.running_count(target.name)))

    def _start_queued_on(self, name: str, now_ms: int) -> list[Effect]:
        effects: list[Effect] = []
        target = self.slots.target(name)
        while self._free_slots_on(target, now_ms) > 0:
            entry = self._queue.pop(target, now_ms)
            if entry is None:
                break
            if entry.deadline_ms <= now_ms:
                self._record_result(entry, _not_run_result(entry, Reason.DEADLINE))
                effects += self._report(entry.owner, entry.batch, now_ms)
                continue
            effects.append(self._start(entry, name, now_ms))
        return effects

    def _start(self, entry: QueuedTask, name: str, now_ms: int) -> StartTask:
        self.slots.acquire(name)
        self._running[entry.task_id] = _RunningTask(entry, name, now_ms)
        timeout_ms = entry.deadline_ms - now_ms
        return StartTask(name, entry.task_id, entry.task, timeout_ms, entry.traceparent)

    def _query_and_prevent_start(
        self, running: _RunningTask, now_ms: int
    ) -> list[Effect]:
        """Query the target about a task, unless a query was opened before.

        The request, ``StopTasks``, also prevents a task that has not started from
        starting later. A running task continues. The outcome is unknown if the target
        has not reported it ``NO_ANSWER_GRACE_MS`` after the deadline of the task.
        """
        if running.is_queried:
            return []
        running.is_queried = True
        entry = running.entry
        give_up_ms = max(entry.deadline_ms, now_ms) + NO_ANSWER_GRACE_MS
        targets = frozenset({running.target})
        self._reconciler.open_query(
            entry.task_id, entry.task.index, targets, running.started_ms, give_up_ms
        )
        return list(self._reconciler.requests_due(now_ms))

    def _probe_overdue(self, now_ms: int) -> list[Effect]:
        """Query targets about tasks whose reply is overdue.

        The query also prevents the start of a task that has not started.
        """
        effects: list[Effect] = []
        for running in self._running.values():
            if not running.is_queried and running.probe_due_ms() <= now_ms:
                effects += self._query_and_prevent_start(running, now_ms)
        return effects

    def _record_health(
        self, running: _RunningTask, is_success: bool, now_ms: int, run_time_ms: int = 0
    ) -> None:
        expected_ms = self._queue.expected_ms(running.entry.task)
        slowness = run_time_ms / max(expected_ms, MIN_EXPECTED_MS)
        self._health.record(running.target, is_success, slowness, now_ms)

    def _apply_resolutions(
        self, resolutions: list[TaskResolution], now_ms: int
    ) -> list[Effect]:
        """Give unstarted tasks back to their owners, and record the other results.

        Without a result the outcome of a task is recorded as unknown.
        """
        effects: list[Effect] = []
        for resolution in resolutions:
            running = self._running[resolution.task_id]
            if resolution.is_never_started:
                effects += self._return_unstarted(running, now_ms)
                continue
            result = resolution.result or _target_lost_result(running.entry)
            effects += self._finish_task(running, result, now_ms)
        return effects

    def _finish_task(
        self, running: _RunningTask, result: TaskResult, now_ms: int
    ) -> list[Effect]:
        """Record the result of a running task and start queued tasks on its target.

        The result does not count for the health of the target if the task had been
        cancelled. A failure drops the queued tasks of the batch.
        """
        entry = running.entry
        self._remove_running(running)
        is_success = result.outcome is Outcome.SUCCEEDED
        is_cancelled = not self._batches.is_open(
            entry.owner, entry.batch, entry.task.index
        )
        if not is_cancelled:
            self._record_health(running, is_success, now_ms, result.run_time_ms)
        self._queue.record_run(entry, max(now_ms - running.started_ms, 0))
        self._record_result(entry, attrs.evolve(result, index=entry.task.index))
        if not is_success:
            self._drop_queued(entry.owner, entry.batch, Reason.JOB_FAILED)
        effects = self._report(entry.owner, entry.batch, now_ms)
        return effects + self._start_queued([running.target], now_ms)

    def _handle_unstarted(
        self, running: _RunningTask, reply: TaskRefused | TaskNotSent, now_ms: int
    ) -> list[Effect]:
        """Requeue a task that its target never started, or give it back to its owner.

        It is given back if the refusal rules out a retry, if the owner is
        disconnected, if the task is no longer open because it was cancelled, or after
        ``MAX_START_ATTEMPTS`` starts. Refusals by a busy target are not counted.
        """
        self._remove_running(running)
        entry = running.entry
        may_retry = self._back_off_and_check_retry(running.target, reply, now_ms)
        is_retry_ruled_out = not may_retry or entry.owner in self._disconnected_owners
        counts_as_attempt = not _is_busy(reply)
        # Attempts are numbered from 1; a task without an entry was at its first one.
        next_attempt = self._start_attempts.pop(entry.task_id, 1) + counts_as_attempt
        is_open = self._batches.is_open(entry.owner, entry.batch, entry.task.index)
        if is_retry_ruled_out or not is_open or next_attempt > MAX_START_ATTEMPTS:
            # A run time of 0 means that the task never ran: the queue refunds it.
            self._queue.record_run(entry, 0)
            self._return_task(entry)
            return self._report(entry.owner, entry.batch, now_ms)
        self._start_attempts[entry.task_id] = next_attempt
        self._queue.push(entry)
        return self._start_queued(entry.targets, now_ms)

    def _back_off_and_check_retry(
        self, target: str, reply: TaskRefused | TaskNotSent, now_ms: int
    ) -> bool:
        """Start no task on the target for a while; return whether to retry the task.

        A refusal for any other reason than a busy or leaving target is final, and
        the target is not backed off.
        """
        if isinstance(reply, TaskNotSent):
            self._health.record(target, False, 0, now_ms)
            self.slots.back_off(target, now_ms + UNREACHABLE_BACKOFF_MS)
            return True
        if _is_busy(reply):
            self.slots.back_off(target, now_ms + BUSY_BACKOFF_MS)
            return True
        if reply.reason == LEAVING_REASON:
            self.slots.back_off(target, now_ms + LEAVING_BACKOFF_MS)
            return True
        return False

    def _return_unstarted(self, running: _RunningTask, now_ms: int) -> list[Effect]:
        """Give back a task that was sent but provably never started."""
        self._remove_running(running)
        entry = running.entry
        # A run time of 0 means that the task never ran: the queue refunds it.
        self._queue.record_run(entry, 0)
        self._return_task(entry)
        effects = self._report(entry.owner, entry.batch, now_ms)
        return effects + self._start_queued([running.target], now_ms)

    def _remove_running(self, running: _RunningTask) -> None:
        del self._running[running.entry.task_id]
        self.slots.release(running.target)

    def _record_result(self, entry: QueuedTask, result: TaskResult) -> None:
        self._start_attempts.pop(entry.task_id, None)
        self._batches.record_result(entry.owner, entry.batch, result)

    def _drop_queued(self, owner: HostName, batch: int, reason: Reason) -> None:
        for entry in self._queue.remove_batch(owner, batch):
            self._record_result(entry, _not_run_result(entry, reason))

    def _return_queued_batch(self, owner: HostName, batch: int) -> None:
        """Mark the queued tasks of a batch as returned; a report tells the owner."""
        for entry in self._queue.remove_batch(owner, batch):
            self._return_task(entry)

    def _return_task(self, entry: QueuedTask) -> None:
        self._start_attempts.pop(entry.task_id, None)
        self._batches.return_task(entry.owner, entry.batch, entry.task.index)

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


def _make_queued_task(
    owner: HostName, message: PlaceBatch, task, now_ms: int
) -> QueuedTask:
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


def _not_run_result(entry: QueuedTask, reason: Reason) -> TaskResult:
    return TaskResult(entry.task.index, Outcome.NOT_RUN, problem=Problem(reason))


def _cancelled_running_result(entry: QueuedTask) -> TaskResult:
    problem = Problem(
        Reason.CANCELLED,
        "the job was cancelled while the task was running on its target",
    )
    return TaskResult(entry.task.index, Outcome.UNKNOWN, problem=problem)


def _target_lost_result(entry: QueuedTask) -> TaskResult:
    problem = Problem(
        Reason.TARGET_LOST,
        "the task was sent to the target, which did not report its outcome",
    )
    return TaskResult(entry.task.index, Outcome.UNKNOWN, problem=problem)
