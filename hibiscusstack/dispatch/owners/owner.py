"""The owner host of jobs: admits each once, places its tasks and answers it once."""

__all__ = ["Owner"]

import heapq

import attrs

from hibiscusstack.dispatch.answers import (
    JobAnswer,
    Outcome,
    Problem,
    Reason,
    TaskResult,
)
from hibiscusstack.dispatch.effects import Effect, SendPeer, TaskStates
from hibiscusstack.dispatch.jobs import Job, task_id_of
from hibiscusstack.dispatch.messages import (
    BatchResults,
    CancelBatch,
    CancelJob,
    HostName,
    PlaceBatch,
    QueryBatch,
)
from hibiscusstack.dispatch.observation.reconciliation import (
    TaskReconciler,
    TaskResolution,
)
from hibiscusstack.dispatch.owners.job_answers import make_job_answer
from hibiscusstack.dispatch.planning.placement import HomeAssignment
from hibiscusstack.dispatch.planning.planner import Matches, Planner

MAX_PLACEMENTS_PER_TASK = 5
CANCEL_TIMEOUT_MS = 250
TARGET_CHECK_TIMEOUT_MS = 10_000


@attrs.define
class _Batch:
    """The tasks of a job that were placed together on one home.

    ``is_checking_targets`` is set once the home is lost and its targets are asked
    what they ran.
    """

    job_id: str
    number: int
    home: HostName
    targets: tuple[str, ...]
    open_indexes: set[int]
    placed_ms: int
    is_checking_targets: bool = False


@attrs.define
class _JobState:
    """A job in progress; ``cancel_problem`` is why it was cancelled, if it was."""

    job: Job
    class_name: str
    deadline_ms: int
    results: dict[int, TaskResult] = attrs.field(factory=dict)
    batches: dict[int, _Batch] = attrs.field(factory=dict)
    placed_count: dict[int, int] = attrs.field(factory=dict)
    other_data_centres: set[str] = attrs.field(factory=set)
    cancel_problem: Problem | None = None
    cancel_deadline_ms: int = 0


class Owner:
    """The jobs in progress whose owner is this host.

    A job is admitted or refused as a whole, before any of its tasks starts. When a
    task does not succeed, the job is cancelled: its queued tasks are dropped, and
    the answer has the outcome of every task. A finished job is removed from this
    table and its answer returned by :meth:`take_answers`.
    """

    def __init__(self, name: HostName, planner: Planner) -> None:
        self._planner = planner
        self._name = name
        self._jobs: dict[str, _JobState] = {}
        self._batches: dict[int, _Batch] = {}
        self._next_batch = 1
        self._deadlines: list[tuple[int, str]] = []
        self._reconciler = TaskReconciler()
        self._answers: list[JobAnswer] = []

    def __len__(self) -> int:
        """Return the number of jobs in progress."""
        return len(self._jobs)

    def __contains__(self, job_id: str) -> bool:
        """Tell whether a job is in progress."""
        return job_id in self._jobs

    def take_answers(self) -> list[JobAnswer]:
        """Return the answers of the jobs that finished since the last call."""
        answers = self._answers
        self._answers = []
        return answers

    def progress_of(self, job_id: str) -> tuple[int, int]:
        """Return how many tasks of a job in progress have ended, and their total."""
        state = self._jobs[job_id]
        return len(state.results), len(state.job.tasks)

    def submit(self, job: Job, now_ms: int) -> list[Effect]:
        """Admit a job and place its tasks, or refuse the whole job."""
        class_name = self._planner.policy.class_of(job)
        plan = self._planner.plan(job, class_name, now_ms)
        if isinstance(plan, Problem):
            answer = JobAnswer(job.job_id, Outcome.NOT_RUN, problem=plan)
            self._answers.append(answer)
            return []
        state = _JobState(job, class_name, now_ms + job.timeout_ms)
        self._jobs[job.job_id] = state
        heapq.heappush(self._deadlines, (state.deadline_ms, job.job_id))
        if not job.tasks:
            self._finish_job(state, now_ms)
            return []
        return self._place(state, plan, now_ms)

    def cancel(self, job_id: str, caller: str, now_ms: int) -> list[Effect]:
        """Cancel a job at its caller's request; requests of others are ignored."""
        state = self._jobs.get(job_id)
        if state is None or state.job.caller != caller:
            return []
        return self._cancel_job(state, Problem(Reason.CANCELLED), now_ms)

    def cancel_forwarded(
        self, sender: HostName, message: CancelJob, now_ms: int
    ) -> list[Effect]:
        """Cancel a job for a caller whose request another host received."""
        return self.cancel(message.job_id, message.caller, now_ms)

    def receive_results(
        self, sender: HostName, message: BatchResults, now_ms: int
    ) -> list[Effect]:
        """Handle the report of a home on one of its batches."""
        batch = self._batches.get(message.batch)
        if batch is None or batch.home != sender:
            return []
        state = self._jobs[batch.job_id]
        for result in message.results:
            if result.index in batch.open_indexes:
                self._record_result(state, batch, result)
        returned = set(message.returned) & batch.open_indexes
        if message.is_refused:
            returned = set(batch.open_indexes)
        for index in returned:
            self._close_task(batch, index)
        return self._advance_job(state, returned, now_ms)

    def home_connected(self, home: HostName) -> list[Effect]:
        """Query every batch that is placed on a home that has connected again."""
        return [
            SendPeer(home, QueryBatch(batch.number))
            for batch in self._batches.values()
            if batch.home == home
        ]

    def home_lost(self, home: HostName, now_ms: int) -> list[Effect]:
        """Query the targets about every task that was placed on a lost home."""
        self._planner.loads.pop(home, None)
        for batch in self._batches.values():
            if batch.home == home and not batch.is_checking_targets:
                self._check_targets_of(batch, now_ms)
        return list(self._reconciler.requests_due(now_ms))

    def task_states_received(self, states: TaskStates, now_ms: int) -> list[Effect]:
        """Handle a target's report on tasks of a lost home."""
        resolutions = self._reconciler.task_states_received(states, now_ms)
        return self._apply_resolutions(resolutions, now_ms)

    def tick(self, now_ms: int) -> list[Effect]:
        """Handle deadlines that have passed and query targets again."""
        effects: list[Effect] = []
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, job_id = heapq.heappop(self._deadlines)
            effects += self._handle_deadline(job_id, now_ms)
        resolutions = self._reconciler.close_overdue(now_ms)
        effects += self._reconciler.requests_due(now_ms)
        return effects + self._apply_resolutions(resolutions, now_ms)

    def _place(self, state: _JobState, matches: Matches, now_ms: int) -> list[Effect]:
        assignments = self._planner.split(state.job, state.class_name, matches)
        return [
            self._send_batch(state, assignment, now_ms) for assignment in assignments
        ]

    def _send_batch(
        self, state: _JobState, assignment: HomeAssignment, now_ms: int
    ) -> SendPeer:
        job = state.job
        number = self._next_batch
        self._next_batch += 1
        batch = _Batch(
            job.job_id,
            number,
            assignment.home,
            assignment.targets,
            set(assignment.task_indexes),
            now_ms,
        )
        self._batches[number] = batch
        state.batches[number] = batch
        if assignment.home.data_centre != self._name.data_centre:
            state.other_data_centres.add(assignment.home.data_centre)
        for index in assignment.task_indexes:
            state.placed_count[index] = state.placed_count.get(index, 0) + 1
        message = PlaceBatch(
            batch=number,
            job_id=job.job_id,
            tasks=tuple(job.tasks[index] for index in assignment.task_indexes),
            targets=assignment.targets,
            timeout_ms=state.deadline_ms - now_ms,
            caller=job.caller,
            team=job.team,
            class_name=state.class_name,
            # The first key is the oldest open batch, since batches are inserted in
            # ascending order. All batches before it are closed.
            closed_through=next(iter(self._batches)) - 1,
            may_move=all(state.placed_count[i] == 1 for i in assignment.task_indexes),
            traceparent=job.traceparent,
        )
        return SendPeer(assignment.home, message)

    def _record_result(
        self, state: _JobState, batch: _Batch, result: TaskResult
    ) -> None:
        state.results[result.index] = result
        self._close_task(batch, result.index)

    def _close_task(self, batch: _Batch, index: int) -> None:
        """Close one task of a batch, and drop a batch without open tasks."""
        batch.open_indexes.discard(index)
        job_id = batch.job_id
        if batch.is_checking_targets:
            self._reconciler.close_query(task_id_of(job_id, index, batch.number))
        if not batch.open_indexes:
            del self._batches[batch.number]
            del self._jobs[job_id].batches[batch.number]

    def _advance_job(
        self, state: _JobState, unstarted: set[int], now_ms: int
    ) -> list[Effect]:
        """Place tasks again that never started, then cancel or finish the job.

        A job is cancelled once any of its tasks has a result other than success.
        """
        effects = self._reassign_unstarted(state, unstarted, now_ms)
        failed = next(
            (r for r in state.results.values() if r.outcome is not Outcome.SUCCEEDED),
            None,
        )
        if failed is not None and state.cancel_problem is None:
            effects += self._cancel_job(state, _problem_of_failed_task(failed), now_ms)
        elif len(state.results) == len(state.job.tasks):
            self._finish_job(state, now_ms)
        return effects

    def _reassign_unstarted(
        self, state: _JobState, indexes: set[int], now_ms: int
    ) -> list[Effect]:
        """Place tasks again that never started, or record them as not run.

        A task is not placed again if the job has been cancelled or is past its
        deadline, if it was placed ``MAX_PLACEMENTS_PER_TASK`` times, or if no target
        matches. Targets are looked for in this data centre and then in the others
        that the planner considers, at most two.
        """
        if not indexes:
            return []
        if state.cancel_problem is not None:
            self._record_not_run(state, indexes, state.cancel_problem.reason)
            return []
        if state.deadline_ms <= now_ms:
            self._record_not_run(state, indexes, Reason.DEADLINE)
            return []
        limit = MAX_PLACEMENTS_PER_TASK
        over_limit = {i for i in indexes if state.placed_count[i] >= limit}
        self._record_not_run(state, over_limit, Reason.TARGET_LOST)
        all_matches = self._planner.match_nearest(state.job)
        candidates = {
            index: all_matches[index] for index in sorted(indexes - over_limit)
        }
        unmatched = {i for i, target_names in candidates.items() if not target_names}
        self._record_not_run(state, unmatched, Reason.NO_MATCHING_TARGET)
        matches = {
            i: target_names
            for i, target_names in candidates.items()
            if i not in unmatched
        }
        return self._place(state, matches, now_ms)

    def _record_not_run(
        self, state: _JobState, indexes: set[int], reason: Reason
    ) -> None:
        for index in indexes:
            problem = Problem(reason)
            state.results[index] = TaskResult(index, Outcome.NOT_RUN, problem=problem)

    def _cancel_job(
        self, state: _JobState, problem: Problem, now_ms: int
    ) -> list[Effect]:
        if state.cancel_problem is not None:
            return []
        state.cancel_problem = problem
        state.cancel_deadline_ms = now_ms + CANCEL_TIMEOUT_MS
        heapq.heappush(self._deadlines, (state.cancel_deadline_ms, state.job.job_id))
        if len(state.results) == len(state.job.tasks):
            self._finish_job(state, now_ms)
            return []
        return [
            SendPeer(batch.home, CancelBatch(batch.number))
            for batch in state.batches.values()
            if not batch.is_checking_targets
        ]

    def _handle_deadline(self, job_id: str, now_ms: int) -> list[Effect]:
        """Cancel a job at its deadline, or finish one whose cancelling timed out."""
        state = self._jobs.get(job_id)
        if state is None:
            return []
        if state.cancel_problem is None:
            return self._cancel_job(state, Problem(Reason.DEADLINE), now_ms)
        if state.cancel_deadline_ms <= now_ms:
            self._finish_job_with_unknown(state, now_ms)
        return []

    def _finish_job_with_unknown(self, state: _JobState, now_ms: int) -> None:
        problem = Problem(
            Reason.HOST_LOST,
            "the host on which the task was placed did not report its outcome",
        )
        for batch in list(state.batches.values()):
            for index in list(batch.open_indexes):
                result = TaskResult(index, Outcome.UNKNOWN, problem=problem)
                self._record_result(state, batch, result)
        self._finish_job(state, now_ms)

    def _check_targets_of(self, batch: _Batch, now_ms: int) -> None:
        """Query all targets of a batch about its open tasks.

        The query ends at the deadline of the job, or after
        ``TARGET_CHECK_TIMEOUT_MS`` if that is earlier.
        """
        batch.is_checking_targets = True
        deadline_ms = self._jobs[batch.job_id].deadline_ms
        give_up_ms = min(deadline_ms, now_ms + TARGET_CHECK_TIMEOUT_MS)
        targets = frozenset(batch.targets)
        for index in batch.open_indexes:
            task_id = task_id_of(batch.job_id, index, batch.number)
            since_ms = batch.placed_ms
            self._reconciler.open_query(task_id, index, targets, since_ms, give_up_ms)

    def _apply_resolutions(
        self, resolutions: list[TaskResolution], now_ms: int
    ) -> list[Effect]:
        effects: list[Effect] = []
        for resolution in resolutions:
            job_id, index_text, batch_text = resolution.task_id.rsplit("/", 2)
            batch = self._batches.get(int(batch_text))
            if batch is None or int(index_text) not in batch.open_indexes:
                continue
            state = self._jobs[job_id]
            index = int(index_text)
            if resolution.is_never_started:
                self._close_task(batch, index)
                effects += self._advance_job(state, {index}, now_ms)
                continue
            problem = Problem(
                Reason.HOST_LOST,
                "neither the host nor the targets could report the outcome",
            )
            unknown_result = TaskResult(index, Outcome.UNKNOWN, problem=problem)
            self._record_result(state, batch, resolution.result or unknown_result)
            effects += self._advance_job(state, set(), now_ms)
        return effects

    def _finish_job(self, state: _JobState, now_ms: int) -> None:
        del self._jobs[state.job.job_id]
        self._planner.admission.finished(state.job, state.class_name, now_ms)
        answer = make_job_answer(state.job, state.results, state.cancel_problem)
        other_data_centres = tuple(sorted(state.other_data_centres))
        self._answers.append(
            attrs.evolve(answer, other_data_centres=other_data_centres)
        )


def _problem_of_failed_task(failed: TaskResult) -> Problem:
    if failed.outcome is Outcome.FAILED:
        return Problem(Reason.TASK_FAILED, f"task {failed.index} failed")
    if failed.problem is not None:
        return failed.problem
    return Problem(Reason.JOB_FAILED, f"the outcome of task {failed.index} is unknown")
