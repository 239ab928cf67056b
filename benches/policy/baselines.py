"""Dispatchers to compare with: blind ones, and one that knows everything."""

__all__ = ["CentralQueue", "RandomPick", "TwoChoices"]

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable

import attrs

from benches.policy.simulation import LATENCY_MS, Ending, Run, Worker
from benches.policy.workload import Arrival
from benches.policy.world import Verdict, World
from hibiscusstack.dispatch.answers import Outcome, Reason

REPORT_INTERVAL_MS = 250
MESSAGES_PER_PROBE = 2
PROBES_PER_TASK = 2

Answer = Callable[[Verdict], None]


@attrs.define
class _Job:
    arrival: Arrival
    answer: Answer
    open_tasks: int
    running: dict[str, Worker] = attrs.field(factory=dict)
    is_over: bool = False


class _JobTable:
    """Jobs all or nothing, as every dispatcher here has to answer them."""

    def __init__(self, world: World) -> None:
        self.messages: Counter = Counter()
        self._world = world
        self._loop = world.loop
        self._jobs: dict[int, _Job] = {}

    def lose_host(self, index: int) -> None:
        """Lose nothing: these dispatchers have no hosts of their own."""

    def workers_changed(self) -> None:
        """Take nothing over: the list of workers is read at each pick."""

    def cancel(self, arrival: Arrival) -> None:
        """Give a job up."""
        job = self._jobs.get(arrival.number)
        if job is not None:
            self._conclude(job, Verdict(Outcome.FAILED, Reason.CANCELLED))

    def _open(self, arrival: Arrival, answer: Answer) -> _Job:
        job = _Job(arrival, answer, len(arrival.run_times_ms))
        self._jobs[arrival.number] = job
        expired = Verdict(Outcome.FAILED, Reason.DEADLINE)
        deadline_ms = arrival.at_ms + arrival.kind.timeout_ms
        self._loop.at(deadline_ms, lambda: self._conclude(job, expired))
        return job

    def _run_of(self, job: _Job, index: int) -> Run:
        task_id = f"{job.arrival.number}/{index}"
        run_time_ms = job.arrival.run_times_ms[index]
        return Run(
            task_id,
            run_time_ms,
            lambda run, ending: self._ended(job, run, ending),
            job.arrival.number,
        )

    def _ended(self, job: _Job, run: Run, ending: Ending) -> None:
        job.running.pop(run.task_id, None)
        self._loop.later(LATENCY_MS, lambda: self._settle(job, ending))

    def _settle(self, job: _Job, ending: Ending) -> None:
        job.open_tasks -= 1
        if ending is not Ending.SUCCEEDED:
            self._conclude(job, Verdict(Outcome.FAILED, Reason.TASK_FAILED))
        elif not job.open_tasks:
            self._conclude(job, Verdict(Outcome.SUCCEEDED))

    def _conclude(self, job: _Job, verdict: Verdict) -> None:
        if job.is_over:
            return
        job.is_over = True
        self._jobs.pop(job.arrival.number, None)
        for task_id, worker in list(job.running.items()):
            worker.stop(task_id)
        job.answer(verdict)

    def _usable(self) -> list[Worker]:
        return [w for w in self._world.workers if not (w.is_down or w.is_leaving)]


class RandomPick(_JobTable):
    """Each task goes to a worker at random and queues there."""

    def __init__(self, world: World, seed: str) -> None:
        super().__init__(world)
        self._random = random.Random(seed)

    def submit(self, arrival: Arrival, answer: Answer) -> None:
        """Send every task on its way."""
        if arrival.is_impossible:
            answer(Verdict(Outcome.NOT_RUN, Reason.NO_MATCHING_TARGET))
            return
        job = self._open(arrival, answer)
        for index in range(len(arrival.run_times_ms)):
            worker = self._pick()
            run = self._run_of(job, index)
            delay_ms = self.delay_ms
            self._loop.later(delay_ms, lambda w=worker, r=run: self._arrive(job, w, r))

    delay_ms = LATENCY_MS

    def _pick(self) -> Worker:
        return self._random.choice(self._usable())

    def _arrive(self, job: _Job, worker: Worker, run: Run) -> None:
        if job.is_over:
            return
        if worker.is_down:
            self._ended(job, run, Ending.LOST)
            return
        job.running[run.task_id] = worker
        worker.enqueue(run)


class TwoChoices(RandomPick):
    """Each task probes two workers and goes to the one that looks less loaded.

    Workers answer probes at once with a load that they update at intervals.
    """

    delay_ms = 3 * LATENCY_MS

    def __init__(self, world: World, seed: str) -> None:
        super().__init__(world, seed)
        self._reported: dict[str, int] = {}
        self._report()

    def _report(self) -> None:
        for worker in self._world.workers:
            self._reported[worker.name] = len(worker.running) + len(worker.waiting)
        self._loop.later(REPORT_INTERVAL_MS, self._report)

    def _pick(self) -> Worker:
        self.messages["probe"] += PROBES_PER_TASK * MESSAGES_PER_PROBE
        usable = self._usable()
        pair = self._random.sample(usable, min(PROBES_PER_TASK, len(usable)))
        return min(pair, key=lambda worker: self._reported[worker.name])


class CentralQueue(_JobTable):
    """One queue that knows every true run time and every slot, at no delay.

    A job whose work would not be through by its deadline is refused. The next task
    is the longest of the job that is first: the one that came first, or with
    ``shortest_first`` the one with the least true work left.
    """

    def __init__(self, world: World, *, shortest_first: bool = False) -> None:
        super().__init__(world)
        self._shortest_first = shortest_first
        self._order = itertools.count()
        self._heap: list[tuple[float, int, _Job, list[int]]] = []
        self._queued_ms = 0.0

    def submit(self, arrival: Arrival, answer: Answer) -> None:
        """Queue a job, or refuse it for good reason."""
        if arrival.is_impossible:
            answer(Verdict(Outcome.NOT_RUN, Reason.NO_MATCHING_TARGET))
            return
        slots = sum(worker.slots for worker in self._usable())
        wait_ms = (self._queued_ms + arrival.work_ms) / max(slots, 1)
        over_ms = wait_ms + arrival.ideal_ms - arrival.kind.timeout_ms
        if over_ms > 0:
            answer(Verdict(Outcome.NOT_RUN, Reason.OVERLOADED, round(over_ms) + 50))
            return
        job = self._open(arrival, answer)
        times = arrival.run_times_ms
        indexes = sorted(range(len(times)), key=lambda index: times[index])
        self._queued_ms += arrival.work_ms
        self._push(job, indexes)
        self._fill()

    def workers_changed(self) -> None:
        """Use what has become usable."""
        self._fill()

    def _push(self, job: _Job, indexes: list[int]) -> None:
        key = job.arrival.at_ms
        if self._shortest_first:
            key = sum(job.arrival.run_times_ms[index] for index in indexes)
        heapq.heappush(self._heap, (key, next(self._order), job, indexes))

    def _fill(self) -> None:
        free = [w for w in self._usable() for _ in range(w.slots - len(w.running))]
        while free and self._heap:
            _, _, job, indexes = heapq.heappop(self._heap)
            if job.is_over:
                self._drop(job, indexes)
                continue
            while free and indexes:
                index = indexes.pop()
                self._queued_ms -= job.arrival.run_times_ms[index]
                run = self._run_of(job, index)
                worker = free.pop()
                job.running[run.task_id] = worker
                worker.start(run)
            if indexes:
                self._push(job, indexes)

    def _drop(self, job: _Job, indexes: list[int]) -> None:
        for index in indexes:
            self._queued_ms -= job.arrival.run_times_ms[index]

    def _ended(self, job: _Job, run: Run, ending: Ending) -> None:
        super()._ended(job, run, ending)
        self._loop.at(self._loop.now_ms, self._fill)
