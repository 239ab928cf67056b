"""Jobs in progress at a coordinator, and the state of their tasks."""

__all__ = ["ActiveJob", "PoolTask", "TaskState", "parse_task_name", "task_name"]

from enum import Enum

import attrs

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.jobs import PoolJob, Step, TaskKey

# A run is overdue after a multiple of the estimate, or of the longest completed run of
# its step, plus a margin.
_ESTIMATE_LIMIT_FACTOR = 4.5
_MEASURED_LIMIT_FACTOR = 2.0
_LIMIT_MARGIN_MS = 60
_MAX_INDEX_DIGITS = 9

Submission = tuple[HostName, int]


class TaskState(Enum):
    """State of a task: waiting, with an active run, or done."""

    WAITING = "waiting"
    ACTIVE = "active"
    DONE = "done"


@attrs.define(eq=False)
class PoolTask:
    """One task of a job in progress.

    ``avoided_targets`` names the targets on which the task failed or was overdue.
    ``overdue_count`` is the number of its runs that were stopped as overdue, that is,
    after they exceeded their time limit.
    ``checkpoint`` is the newest checkpoint, made by the run ``checkpoint_run``.
    ``is_suspect`` is set once a target was lost while the task ran there, and
    ``isolation_wait_since_ms`` is since when it waits for a target of its own. Its next
    start is recorded for the target instance ``recorded_start``, by name and time.
    ``presumed_end_ms`` is when a run was last presumed to have ended, without word of
    its target; ``None`` if that never happened.
    """

    key: TaskKey
    step: Step
    state: TaskState = TaskState.WAITING
    failures: int = 0
    next_run: int = 1
    overdue_count: int = 0
    avoided_targets: set[str] = attrs.field(factory=set)
    checkpoint: str = ""
    checkpoint_run: int = 0
    is_suspect: bool = False
    isolation_wait_since_ms: float | None = None
    recorded_start: tuple[str, int] | None = None
    presumed_end_ms: float | None = None

    def note_checkpoint(self, run: int, checkpoint: str) -> None:
        """Store a checkpoint, unless a later run has already made one."""
        is_older = run < self.checkpoint_run
        if checkpoint and self.step.is_checkpointing and not is_older:
            self.checkpoint, self.checkpoint_run = checkpoint, run


@attrs.define(eq=False)
class ActiveJob:
    """A job in progress, with the submissions that wait for its answer.

    Times are on the clock of this host. ``earlier_coordinator_last_seen_ms`` serves to
    bound how long an earlier coordinator may still run tasks of a job with
    ``is_resubmitted``. For a submitted job it is when the receiving host last heard
    from that coordinator. For a stored job it is when that coordinator gives the job up
    at the latest, which may be in the future, or when a target of the job was taken
    over again from another coordinator.

    ``tasks`` holds every task, and ``ready`` those that may start now, in order. No
    submission waits for a job with ``is_stored``. ``is_delay_noted`` tells whether it
    was logged that the job waits for an earlier run. ``needs_exact_room`` is set once
    the job did not fit on any target of the approximate size that it needs.
    """

    job: PoolJob
    received_ms: float
    is_resubmitted: bool
    earlier_coordinator_last_seen_ms: float = 0.0
    submissions: list[Submission] = attrs.field(factory=list)
    tasks: dict[TaskKey, PoolTask] = attrs.field(factory=dict)
    ready: list[PoolTask] = attrs.field(factory=list)
    unfinished_by_step: list[int] = attrs.field(factory=list)
    active_count: int = 0
    first_start_ms: float | None = None
    is_early_check_done: bool = False
    longest_run_ms_by_step: dict[int, float] = attrs.field(factory=dict)
    objective_ms: float = 0.0
    critical_path_ms: float = 0.0
    is_stored: bool = False
    is_delay_noted: bool = False
    needs_exact_room: bool = False

    def __attrs_post_init__(self) -> None:
        """Create all tasks; those of steps without predecessors become ready."""
        self.critical_path_ms = self.job.critical_path_ms()
        self.objective_ms = self.job.objective_ms()
        for number, step in enumerate(self.job.steps):
            self.unfinished_by_step.append(step.count)
            for index in range(step.count):
                task = PoolTask((number, index), step)
                self.tasks[task.key] = task
        for number in range(len(self.job.steps)):
            self._make_ready_if_unblocked(number)

    @property
    def is_complete(self) -> bool:
        """Return whether every task is done."""
        return not any(self.unfinished_by_step)

    @property
    def latest_start_ms(self) -> float:
        """Return the latest start time that still meets the objective."""
        return self.received_ms + self.objective_ms - self.critical_path_ms

    def waiting_work_milli_ms(self) -> float:
        """Return the estimated work of the ready tasks.

        The unit is thousandths of a core times milliseconds.
        """
        if len(self.job.steps) == 1:
            step = self.job.steps[0]
            return len(self.ready) * step.needs.cpu_milli * step.estimate_ms
        return sum(
            task.step.needs.cpu_milli * task.step.estimate_ms for task in self.ready
        )

    def note_run_time(self, task: PoolTask, run_time_ms: float) -> None:
        """Record a run time; the longest one of a step sets its run time limit."""
        number = task.key[0]
        known_ms = self.longest_run_ms_by_step.get(number, 0.0)
        self.longest_run_ms_by_step[number] = max(known_ms, run_time_ms)

    def run_time_limit_ms(self, task: PoolTask) -> float:
        """Return how long a run of ``task`` may take before it is overdue.

        The tasks of one step take similar times, so a measured run time of the step is
        more reliable than the estimate, and a smaller factor is enough. An estimate may
        be far off, so each run that was stopped as overdue doubles the limit for the
        next one.
        """
        known_ms = self.longest_run_ms_by_step.get(task.key[0])
        if known_ms is not None:
            limit_ms = _MEASURED_LIMIT_FACTOR * known_ms
        else:
            limit_ms = _ESTIMATE_LIMIT_FACTOR * task.step.estimate_ms
        return (limit_ms + _LIMIT_MARGIN_MS) * 2**task.overdue_count

    def note_done(self, task: PoolTask) -> None:
        """Mark a task as done; tasks that waited only for its step become ready."""
        task.state = TaskState.DONE
        number = task.key[0]
        self.unfinished_by_step[number] -= 1
        if self.unfinished_by_step[number]:
            return
        for later, step in enumerate(self.job.steps):
            if number in step.after:
                self._make_ready_if_unblocked(later)

    def _make_ready_if_unblocked(self, number: int) -> None:
        step = self.job.steps[number]
        if any(self.unfinished_by_step[earlier] for earlier in step.after):
            return
        for index in range(step.count):
            task = self.tasks[number, index]
            if task.state is TaskState.WAITING and task not in self.ready:
                self.ready.append(task)


def task_name(job_id: str, key: TaskKey) -> str:
    """Return the name by which orders refer to a task.

    It consists of the job id, a constant 0, the step index and the task index.

    >>> task_name("5c0e", (1, 17))
    '5c0e.0.1.17'
    """
    return f"{job_id}.0.{key[0]}.{key[1]}"


def parse_task_name(name: str) -> tuple[str, TaskKey] | None:
    """Return the job id and task key of a name, or ``None`` if it names no task.

    >>> parse_task_name("5c0e.0.1.17")
    ('5c0e', (1, 17))
    """
    parts = name.rsplit(".", 3)
    if len(parts) != 4 or not all(map(_is_index, parts[2:])):
        return None
    return parts[0], (int(parts[2]), int(parts[3]))


def _is_index(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= _MAX_INDEX_DIGITS
