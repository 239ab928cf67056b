"""Reconciliation: asks targets for the outcome of tasks whose results are missing.

The request is ``StopTasks``, so it also prevents the start of a task that has not
started.
"""

__all__ = ["TaskReconciler", "TaskResolution"]

import attrs

from hibiscusstack.dispatch.answers import TaskResult
from hibiscusstack.dispatch.effects import StopTasks, TaskState, TaskStates

RETRY_INTERVAL_MS = 250
# Minimum time between any answer of a target and the next request to it.
POLL_INTERVAL_MS = 100
MAX_TASKS_PER_REQUEST = 500


@attrs.frozen
class TaskResolution:
    """The outcome of one task that the reports of targets prove.

    There are three cases. With a ``result`` the task ran. With ``is_never_started``
    it never started and never will. With neither, its outcome is unknown.
    """

    task_id: str
    result: TaskResult | None = None
    is_never_started: bool = False


@attrs.define
class _TaskQuery:
    """A query about one task.

    ``pending_targets`` have not yet reported the task as never started. Once a target
    reports it as running, only that target is left. ``cannot_prove_never_started`` is
    set once a target reports the task as never started, but its task records do not
    go back far enough to prove it.
    """

    task_id: str
    index: int
    pending_targets: set[str]
    earliest_send_ms: int
    deadline_ms: int
    cannot_prove_never_started: bool = False


class TaskReconciler:
    """Open queries about tasks, and the targets that can answer them.

    A task counts as never started only when every target that could have received it
    has reported so. Targets remember a stop, so such a report also holds for start
    requests that are still in flight. The report of a target proves nothing if its
    task records do not go back to the earliest time at which the task may have been
    sent. ``memory_ms`` of the report tells how far back they go.
    """

    def __init__(self) -> None:
        self._queries: dict[str, _TaskQuery] = {}
        self._task_ids_by_target: dict[str, set[str]] = {}
        self._in_flight: dict[str, tuple[str, ...]] = {}
        self._next_request_ms: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of open queries."""
        return len(self._queries)

    def open_query(
        self,
        task_id: str,
        index: int,
        targets: frozenset[str],
        earliest_send_ms: int,
        deadline_ms: int,
    ) -> None:
        """Open a query about a task, to be closed as unknown at ``deadline_ms``.

        ``targets`` are all targets that may have received the task, and
        ``earliest_send_ms`` is the earliest time at which it may have been sent.
        """
        query = _TaskQuery(task_id, index, set(targets), earliest_send_ms, deadline_ms)
        self._queries[task_id] = query
        for target in targets:
            self._task_ids_by_target.setdefault(target, set()).add(task_id)

    def close_query(self, task_id: str) -> None:
        """Close a query whose task has been resolved in another way."""
        query = self._queries.pop(task_id, None)
        if query is None:
            return
        for target in query.pending_targets:
            self._remove_task(target, task_id)

    def requests_due(self, now_ms: int) -> list[StopTasks]:
        """Return the requests that are due, at most one in flight for each target."""
        effects = []
        for target, task_ids in self._task_ids_by_target.items():
            is_due = self._next_request_ms.get(target, now_ms) <= now_ms
            if target in self._in_flight or not is_due:
                continue
            chosen = tuple(sorted(task_ids)[:MAX_TASKS_PER_REQUEST])
            self._in_flight[target] = chosen
            effects.append(StopTasks(target, chosen))
        return effects

    def close_overdue(self, now_ms: int) -> list[TaskResolution]:
        """Close the queries past their deadline; return their tasks as unknown."""
        overdue = [q for q in self._queries.values() if q.deadline_ms <= now_ms]
        for query in overdue:
            self.close_query(query.task_id)
        return [TaskResolution(query.task_id) for query in overdue]

    def task_states_received(
        self, states: TaskStates, now_ms: int
    ) -> list[TaskResolution]:
        """Return the tasks that a target's answer resolves.

        An answer to another request than the one in flight is ignored. An unreachable
        target is asked again after ``RETRY_INTERVAL_MS``. A target that answered is
        asked about its open tasks again after ``POLL_INTERVAL_MS``.
        """
        if self._in_flight.get(states.target) != states.task_ids:
            return []
        del self._in_flight[states.target]
        if states.states is None:
            self._next_request_ms[states.target] = now_ms + RETRY_INTERVAL_MS
            return []
        self._next_request_ms[states.target] = now_ms + POLL_INTERVAL_MS
        resolutions = [
            self._resolve(states, task_id, now_ms) for task_id in states.task_ids
        ]
        if not self._task_ids_by_target.get(states.target):
            self._next_request_ms.pop(states.target, None)
        return [resolution for resolution in resolutions if resolution is not None]

    def _resolve(
        self, states: TaskStates, task_id: str, now_ms: int
    ) -> TaskResolution | None:
        """Apply the state that a target reports for one task.

        Returns ``None`` if this resolves nothing: the query was closed before, the
        state is missing, the task is running, or other targets may have received it.
        """
        query = self._queries.get(task_id)
        state = states.states.get(task_id)
        if query is None or state is None:
            return None
        if state is TaskState.RUNNING:
            self._keep_only_target(query, states.target)
            return None
        if state is TaskState.NEVER_STARTED:
            if states.memory_ms < now_ms - query.earliest_send_ms:
                query.cannot_prove_never_started = True
            return self._exclude_target(query, states.target)
        self.close_query(task_id)
        result = states.results.get(task_id)
        # A task that was stopped while it ran may have taken effect in part, and a
        # finished one may have no result in the report. Both outcomes are unknown.
        if result is None:
            return TaskResolution(task_id)
        return TaskResolution(task_id, attrs.evolve(result, index=query.index))

    def _keep_only_target(self, query: _TaskQuery, target: str) -> None:
        """Drop all other targets from a query, as the task runs on ``target``."""
        for other in query.pending_targets - {target}:
            self._remove_task(other, query.task_id)
        query.pending_targets = {target}

    def _exclude_target(self, query: _TaskQuery, target: str) -> TaskResolution | None:
        query.pending_targets.discard(target)
        self._remove_task(target, query.task_id)
        if query.pending_targets:
            return None
        self.close_query(query.task_id)
        is_proven = not query.cannot_prove_never_started
        return TaskResolution(query.task_id, is_never_started=is_proven)

    def _remove_task(self, target: str, task_id: str) -> None:
        task_ids = self._task_ids_by_target.get(target)
        if task_ids is None:
            return
        task_ids.discard(task_id)
        if not task_ids:
            del self._task_ids_by_target[target]
