"""The owner of jobs: admits each once, places its tasks and gives the one answer."""

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
from hibiscusstack.dispatch.owners.conclusion import conclude_job
from hibiscusstack.dispatch.planning.placement import Portion
from hibiscusstack.dispatch.planning.planner import Matches, Planner

MAX_PLACEMENTS_PER_TASK = 5
CANCEL_TIMEOUT_MS = 250
RECOVERY_TIMEOUT_MS = 10_000


@attrs.define
class _Placement:
    job_id: str
    batch: int
    home: HostName
    targets: tuple[str, ...]
    open_indexes: set[int]
    placed_ms: int
    is_recovering: bool = False


@attrs.define
class _OwnedJob:
    job: Job
    class_name: str
    deadline_ms: int
    results: dict[int, TaskResult] = attrs.field(factory=dict)
    placements: dict[int, _Placement] = attrs.field(factory=dict)
    placed_count: dict[int, int] = attrs.field(factory=dict)
    other_data_centres: set[str] = attrs.field(factory=set)
    stop_problem: Problem | None = None
    stop_deadline_ms: int = 0


class Owner:
    """The jobs that this host answers for.

    A job is admitted whole or refused whole before any start. When one of its tasks
    does not succeed, what waits of the others is cancelled and the answer says what
    became of each. Finished jobs are returned as answers and leave this table.
    """

    def __init__(self, name: HostName, planner: Planner) -> None:
        self._planner = planner
        self._name = name
        self._jobs: dict[str, _OwnedJob] = {}
        self._placements: dict[int, _Placement] = {}
        self._next_batch = 1
        self._alarms: list[tuple[int, str]] = []
        self._inquiry = TaskReconciler()
        self._answers: list[JobAnswer] = []

    def __len__(self) -> int:
        """Return the number of jobs in progress."""
        return len(self._jobs)

    def __contains__(self, job_id: str) -> bool:
        """Tell whether a job is in progress."""
        return job_id in self._jobs

    def take_answers(self) -> list[JobAnswer]:
        """Return the answers that became final since the last call."""
        answers = self._answers
        self._answers = []
        return answers

    def progress_of(self, job_id: str) -> tuple[int, int]:
        """Return how many tasks of a job in progress have ended, and of how many."""
        owned = self._jobs[job_id]
        return len(owned.results), len(owned.job.tasks)

    def submit(self, job: Job, now_ms: int) -> list[Effect]:
        """Admit a job and place its tasks, or refuse it whole."""
        class_name = self._planner.policy.class_of(job)
        plan = self._planner.plan(job, class_name, now_ms)
        if isinstance(plan, Problem):
            answer = JobAnswer(job.job_id, Outcome.NOT_RUN, problem=plan)
            self._answers.append(answer)
            return []
        owned = _OwnedJob(job, class_name, now_ms + job.timeout_ms)
        self._jobs[job.job_id] = owned
        heapq.heappush(self._alarms, (owned.deadline_ms, job.job_id))
        if not job.tasks:
            self._finish(owned, now_ms)
            return []
        return self._place(owned, plan, now_ms)

    def cancel(self, job_id: str, caller: str, now_ms: int) -> list[Effect]:
        """Stop a job for its own caller; another caller's wish has no effect."""
        owned = self._jobs.get(job_id)
        if owned is None or owned.job.caller != caller:
            return []
        return self._stop(owned, Problem(Reason.CANCELLED), now_ms)

    def cancel_forwarded(
        self, sender: HostName, message: CancelJob, now_ms: int
    ) -> list[Effect]:
        """Cancel a job on the word of the host that received the wish."""
        return self.cancel(message.job_id, message.caller, now_ms)

    def results(
        self, sender: HostName, message: BatchResults, now_ms: int
    ) -> list[Effect]:
        """Take in what a home says of one of its batches."""
        placement = self._placements.get(message.batch)
        if placement is None or placement.home != sender:
            return []
        owned = self._jobs[placement.job_id]
        for result in message.results:
            if result.index in placement.open_indexes:
                self._settle(owned, placement, result)
        given_back = set(message.returned) & placement.open_indexes
        if message.is_refused:
            given_back = set(placement.open_indexes)
        for index in given_back:
            self._release(placement, index)
        return self._proceed(owned, given_back, now_ms)

    def home_connected(self, home: HostName) -> list[Effect]:
        """Ask a home after a reconnection about every batch placed there."""
        return [
            SendPeer(home, QueryBatch(placement.batch))
            for placement in self._placements.values()
            if placement.home == home
        ]

    def home_lost(self, home: HostName, now_ms: int) -> list[Effect]:
        """Ask the targets about every task that was placed with a lost home."""
        self._planner.loads.pop(home, None)
        for placement in self._placements.values():
            if placement.home == home and not placement.is_recovering:
                self._recover(placement, now_ms)
        return list(self._inquiry.requests_due(now_ms))

    def targets_answered(self, states: TaskStates, now_ms: int) -> list[Effect]:
        """Take in a target's word about tasks of a lost home."""
        verdicts = self._inquiry.task_states_received(states, now_ms)
        return self._conclude(verdicts, now_ms)

    def tick(self, now_ms: int) -> list[Effect]:
        """Stop what is past its deadline and ask targets again."""
        effects: list[Effect] = []
        while self._alarms and self._alarms[0][0] <= now_ms:
            _, job_id = heapq.heappop(self._alarms)
            effects += self._alarm(job_id, now_ms)
        verdicts = self._inquiry.close_overdue(now_ms)
        effects += self._inquiry.requests_due(now_ms)
        return effects + self._conclude(verdicts, now_ms)

    def _place(self, owned: _OwnedJob, matches: Matches, now_ms: int) -> list[Effect]:
        portions = self._planner.split(owned.job, owned.class_name, matches)
        return [self._send_portion(owned, portion, now_ms) for portion in portions]

    def _send_portion(
        self, owned: _OwnedJob, portion: Portion, now_ms: int
    ) -> SendPeer:
        job = owned.job
        batch = self._next_batch
        self._next_batch += 1
        placement = _Placement(
            job.job_id,
            batch,
            portion.home,
            portion.targets,
            set(portion.indexes),
            now_ms,
        )
        self._placements[batch] = placement
        owned.placements[batch] = placement
        if portion.home.data_centre != self._name.data_centre:
            owned.other_data_centres.add(portion.home.data_centre)
        for index in portion.indexes:
            owned.placed_count[index] = owned.placed_count.get(index, 0) + 1
        message = PlaceBatch(
            batch=batch,
            job_id=job.job_id,
            tasks=tuple(job.tasks[index] for index in portion.indexes),
            targets=portion.targets,
            timeout_ms=owned.deadline_ms - now_ms,
            caller=job.caller,
            team=job.team,
            class_name=owned.class_name,
            closed_through=next(iter(self._placements)) - 1,
            may_move=all(owned.placed_count[i] == 1 for i in portion.indexes),
            traceparent=job.traceparent,
        )
        return SendPeer(portion.home, message)

    def _settle(
        self, owned: _OwnedJob, placement: _Placement, result: TaskResult
    ) -> None:
        owned.results[result.index] = result
        self._release(placement, result.index)

    def _release(self, placement: _Placement, index: int) -> None:
        placement.open_indexes.discard(index)
        job_id = placement.job_id
        if placement.is_recovering:
            self._inquiry.close_query(task_id_of(job_id, index, placement.batch))
        if not placement.open_indexes:
            del self._placements[placement.batch]
            del self._jobs[job_id].placements[placement.batch]

    def _proceed(
        self, owned: _OwnedJob, unstarted: set[int], now_ms: int
    ) -> list[Effect]:
        """Place again what is proved unstarted, then stop or finish the job."""
        effects = self._place_again(owned, unstarted, now_ms)
        failed = next(
            (r for r in owned.results.values() if r.outcome is not Outcome.SUCCEEDED),
            None,
        )
        if failed is not None and owned.stop_problem is None:
            effects += self._stop(owned, _problem_after(failed), now_ms)
        elif len(owned.results) == len(owned.job.tasks):
            self._finish(owned, now_ms)
        return effects

    def _place_again(
        self, owned: _OwnedJob, indexes: set[int], now_ms: int
    ) -> list[Effect]:
        if not indexes:
            return []
        if owned.stop_problem is not None:
            self._give_up(owned, indexes, owned.stop_problem.reason)
            return []
        if owned.deadline_ms <= now_ms:
            self._give_up(owned, indexes, Reason.DEADLINE)
            return []
        limit = MAX_PLACEMENTS_PER_TASK
        spent = {i for i in indexes if owned.placed_count[i] >= limit}
        self._give_up(owned, spent, Reason.TARGET_LOST)
        all_matches = self._planner.match_anywhere(owned.job)
        matches = {index: all_matches[index] for index in sorted(indexes - spent)}
        homeless = {index for index, names in matches.items() if not names}
        self._give_up(owned, homeless, Reason.NO_MATCHING_TARGET)
        matches = {i: names for i, names in matches.items() if i not in homeless}
        return self._place(owned, matches, now_ms)

    def _give_up(self, owned: _OwnedJob, indexes: set[int], reason: Reason) -> None:
        for index in indexes:
            problem = Problem(reason)
            owned.results[index] = TaskResult(index, Outcome.NOT_RUN, problem=problem)

    def _stop(self, owned: _OwnedJob, problem: Problem, now_ms: int) -> list[Effect]:
        if owned.stop_problem is not None:
            return []
        owned.stop_problem = problem
        owned.stop_deadline_ms = now_ms + CANCEL_TIMEOUT_MS
        heapq.heappush(self._alarms, (owned.stop_deadline_ms, owned.job.job_id))
        if len(owned.results) == len(owned.job.tasks):
            self._finish(owned, now_ms)
            return []
        return [
            SendPeer(placement.home, CancelBatch(placement.batch))
            for placement in owned.placements.values()
            if not placement.is_recovering
        ]

    def _alarm(self, job_id: str, now_ms: int) -> list[Effect]:
        owned = self._jobs.get(job_id)
        if owned is None:
            return []
        if owned.stop_problem is None:
            return self._stop(owned, Problem(Reason.DEADLINE), now_ms)
        if owned.stop_deadline_ms <= now_ms:
            self._leave_open_unknown(owned, now_ms)
        return []

    def _leave_open_unknown(self, owned: _OwnedJob, now_ms: int) -> None:
        problem = Problem(Reason.HOST_LOST, "no word from the host that had the task")
        for placement in list(owned.placements.values()):
            for index in list(placement.open_indexes):
                result = TaskResult(index, Outcome.UNKNOWN, problem=problem)
                self._settle(owned, placement, result)
        self._finish(owned, now_ms)

    def _recover(self, placement: _Placement, now_ms: int) -> None:
        placement.is_recovering = True
        deadline_ms = self._jobs[placement.job_id].deadline_ms
        give_up_ms = min(deadline_ms, now_ms + RECOVERY_TIMEOUT_MS)
        targets = frozenset(placement.targets)
        for index in placement.open_indexes:
            task_id = task_id_of(placement.job_id, index, placement.batch)
            since_ms = placement.placed_ms
            self._inquiry.open_query(task_id, index, targets, since_ms, give_up_ms)

    def _conclude(self, verdicts: list[TaskResolution], now_ms: int) -> list[Effect]:
        effects: list[Effect] = []
        for verdict in verdicts:
            job_id, index_text, batch_text = verdict.task_id.rsplit("/", 2)
            placement = self._placements.get(int(batch_text))
            if placement is None or int(index_text) not in placement.open_indexes:
                continue
            owned = self._jobs[job_id]
            index = int(index_text)
            if verdict.is_never_started:
                self._release(placement, index)
                effects += self._proceed(owned, {index}, now_ms)
                continue
            problem = Problem(Reason.HOST_LOST, "neither host nor target could tell")
            unknown = TaskResult(index, Outcome.UNKNOWN, problem=problem)
            self._settle(owned, placement, verdict.result or unknown)
            effects += self._proceed(owned, set(), now_ms)
        return effects

    def _finish(self, owned: _OwnedJob, now_ms: int) -> None:
        del self._jobs[owned.job.job_id]
        self._planner.admission.finished(owned.job, owned.class_name, now_ms)
        answer = conclude_job(owned.job, owned.results, owned.stop_problem)
        others = tuple(sorted(owned.other_data_centres))
        self._answers.append(attrs.evolve(answer, other_data_centres=others))


def _problem_after(failed: TaskResult) -> Problem:
    if failed.outcome is Outcome.FAILED:
        return Problem(Reason.TASK_FAILED, f"task {failed.index} failed")
    if failed.problem is not None:
        return failed.problem
    return Problem(Reason.JOB_FAILED, f"task {failed.index} has no known end")
