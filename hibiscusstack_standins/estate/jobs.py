"""What clients ask for: jobs, their steps and the names of tasks."""

__all__ = ["Catalog", "Job", "Step", "TaskName"]

import attrs

from hibiscusstack.exceptions import InvalidInputError


@attrs.frozen(order=True)
class TaskName:
    """The name of a task: job, occurrence, step and index.

    >>> TaskName.parse("5c0e7a21d94b36f8.0.1.17").step
    1
    >>> str(TaskName("5c0e7a21d94b36f8", 0, 1, 17))
    '5c0e7a21d94b36f8.0.1.17'
    """

    job: str
    occurrence: int
    step: int
    index: int

    @classmethod
    def parse(cls, text: object) -> "TaskName":
        """Return the name, or raise ``InvalidInputError``."""
        parts = text.split(".") if isinstance(text, str) else []
        if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
            raise InvalidInputError("task", "ID.K.STEP.INDEX", text)
        return cls(parts[0], *map(int, parts[1:]))

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"

    @property
    def of_step(self) -> str:
        """Return the name of the step."""
        return f"{self.job}.{self.occurrence}.{self.step}"


@attrs.frozen
class Step:
    """A step of a job; ``work_ms`` is the true duration on a sound worker.

    With ``uneven_work_ms`` each task has a duration of its own. The client states
    ``estimate_ms``; 0 stands for the true duration. The tasks with an index in
    ``crashing`` crash the worker ``crash_delay_ms`` after each of their starts.
    """

    count: int = 1
    work_ms: int = 100
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    after: tuple[int, ...] = ()
    requires: str = ""
    data_rack: str = ""
    anti_affinity: int = 0
    checkpointing: bool = False
    gang: bool = False
    rack_sensitive: bool = False
    speculative: bool = False
    fills: bool = False
    fails: bool = False
    estimate_ms: int = 0
    uneven_work_ms: tuple[int, ...] = ()
    crashing: tuple[int, ...] = ()
    crash_delay_ms: int = 10

    def work_of(self, index: int) -> int:
        """Return the true duration of one task.

        >>> Step(2, uneven_work_ms=(50, 60)).work_of(1)
        60
        """
        return self.uneven_work_ms[index] if self.uneven_work_ms else self.work_ms


@attrs.frozen
class Job:
    """A job as its client means it; ``max_attempts`` is that of its queue."""

    id: str
    queue: str = "q"
    spec: str = ""
    steps: tuple[Step, ...] = (Step(),)
    max_attempts: int = 3
    best_effort: bool = False
    long_running: bool = False
    repeat_count: int = 0
    first_ms: int = 0
    interval_ms: int = 0

    def has_task(self, task: TaskName) -> bool:
        """Return whether a task is one of this job."""
        return (
            task.job == self.id
            and task.occurrence < max(1, self.repeat_count)
            and task.step < len(self.steps)
            and task.index < self.steps[task.step].count
        )

    def due_ms(self, occurrence: int) -> int | None:
        """Return when an occurrence is due, if the job has times."""
        if not self.repeat_count:
            return None
        return self.first_ms + occurrence * self.interval_ms


class Catalog:
    """The jobs of all clients."""

    def __init__(self, *jobs: Job) -> None:
        self.jobs = {job.id: job for job in jobs}

    def add(self, job: Job) -> None:
        """Add a job."""
        self.jobs[job.id] = job

    def job_of(self, task: TaskName) -> Job | None:
        """Return the job that a task belongs to, if there is one."""
        job = self.jobs.get(task.job)
        return job if job is not None and job.has_task(task) else None

    def step_of(self, task: TaskName) -> Step:
        """Return the step of a task; a task that nobody asked for is a small one."""
        job = self.job_of(task)
        return Step() if job is None else job.steps[task.step]
