"""Virtual time, and workers that stand at the interface to targets."""

__all__ = ["LATENCY_MS", "Ending", "Loop", "Run", "Worker"]

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from enum import Enum

import attrs

from hibiscusstack.clock import ManualClock

LATENCY_MS = 0.4
FAILURE_MS = 5


class Loop:
    """Events in order of virtual time; the clock shows whole milliseconds."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, time_ms: float, call: Callable[[], None]) -> None:
        """Make a call at a time."""
        heapq.heappush(self._events, (time_ms, next(self._order), call))

    def later(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Make a call after a delay."""
        self.at(self.now_ms + delay_ms, call)

    def run_until(self, end_ms: float) -> None:
        """Make every call that is due before the end."""
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, call = heapq.heappop(self._events)
            self.clock.time_ms = int(self.now_ms)
            call()


class Ending(Enum):
    """How a run on a worker ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"


@attrs.define(eq=False)
class Run:
    """One task on one worker; ``ended`` is called once."""

    task_id: str
    run_time_ms: float
    ended: Callable[["Run", Ending], None]
    job_number: int = -1
    started_ms: float = 0.0
    ending: Ending | None = None


@attrs.define(eq=False)
class Worker:
    """A target: runs tasks for their true time, queues only for baselines.

    ``fails`` ends each task in failure after a few milliseconds, ``slow_factor``
    stretches run times, ``is_down`` loses what runs.
    """

    name: str
    rack: str
    loop: Loop
    slots: int
    fails: bool = False
    slow_factor: float = 1.0
    is_down: bool = False
    is_leaving: bool = False
    on_start: Callable[[Run], None] = lambda run: None
    running: dict[str, Run] = attrs.field(factory=dict)
    waiting: deque[Run] = attrs.field(factory=deque)
    work_done_ms: dict[int, float] = attrs.field(factory=dict)
    starts: int = 0
    failures: int = 0

    @property
    def is_full(self) -> bool:
        """Whether no slot is free."""
        return len(self.running) >= self.slots

    def start(self, run: Run) -> None:
        """Run a task now; the caller has seen that a slot is free."""
        assert not self.is_full, "slots were exceeded"
        self.starts += 1
        run.started_ms = self.loop.now_ms
        self.running[run.task_id] = run
        self.on_start(run)
        duration_ms = FAILURE_MS if self.fails else run.run_time_ms * self.slow_factor
        ending = Ending.FAILED if self.fails else Ending.SUCCEEDED
        self.loop.later(duration_ms, lambda: self._end(run, ending))

    def enqueue(self, run: Run) -> None:
        """Run a task when a slot is free."""
        if self.is_full:
            self.waiting.append(run)
        else:
            self.start(run)

    def stop(self, task_id: str) -> None:
        """Stop a running task."""
        if task_id in self.running:
            self._end(self.running[task_id], Ending.STOPPED)

    def go_down(self) -> None:
        """Lose everything at once."""
        self.is_down = True
        lost = [*self.running.values(), *self.waiting]
        self.waiting.clear()
        for run in lost:
            self._end(run, Ending.LOST)

    def _end(self, run: Run, ending: Ending) -> None:
        if run.ending is not None:
            return
        run.ending = ending
        if self.running.pop(run.task_id, None) is not None:
            self._account(run)
        if ending is Ending.FAILED:
            self.failures += 1
        run.ended(run, ending)
        while self.waiting and not self.is_full and not self.is_down:
            self.start(self.waiting.popleft())

    def _account(self, run: Run) -> None:
        spent_ms = self.loop.now_ms - run.started_ms
        number = run.job_number
        self.work_done_ms[number] = self.work_done_ms.get(number, 0.0) + spent_ms
