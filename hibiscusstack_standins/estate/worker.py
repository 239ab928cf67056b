"""A worker of the platform: its lives, its runs, its lease and its ends."""

__all__ = ["ORDER_PATHS", "Worker", "WorkerFaults", "WorkerPlan"]

import math
from collections.abc import Callable
from random import Random

import attrs

from hibiscusstack.exceptions import InvalidInputError
from hibiscusstack_standins.estate.events import (
    EndsAcked,
    Event,
    LeaseLapsed,
    LifeEnded,
    RunEnded,
    RunStarted,
)
from hibiscusstack_standins.estate.fields import read_text, read_whole
from hibiscusstack_standins.estate.jobs import Catalog, Step, TaskName
from hibiscusstack_standins.estate.messages import Answer, Outcome, Request, Unanswered
from hibiscusstack_standins.estate.outbox import Outbox
from hibiscusstack_standins.estate.progress import Gangs, Progress
from hibiscusstack_standins.estate.runs import Capacity, Run, work_in

ORDER_PATHS = frozenset({"/run-start", "/run-stop"})
"""The calls that begin and end runs."""

_MAX_WAIT_MS = 2_000
_MAX_LISTED = 500
_INSTANCE_HEADER = "hibiscusstack-expect-instance"
_FAILS_AFTER_MS = 10


@attrs.frozen
class WorkerPlan:
    """What a worker is; times as the settings name them under ``bounds``.

    With ``shows_usage`` a row of ``active`` ends with the ``cpu`` that is in use. Work
    takes ``slowness`` times as long as on other workers.
    """

    id: str
    service: str = "s"
    address: str = ""
    zone: str = ""
    machine: str = ""
    labels: tuple[str, ...] = ()
    rack: str = ""
    version: str = "1"
    slots: int = 8
    capacity: Capacity = Capacity()
    is_guarded: bool = True
    clock_rate: float = 1.0
    hold_max_ms: int = 1_000
    stop_ms: int = 50
    gang_ms: int = 3_000
    checkpoint_ms: int = 2_000
    restore_ms: int = 600
    remote_factor: float = 3.0
    pace_ms: int = 100
    startup_ms: int = 200
    shows_usage: bool = False
    slowness: float = 1.0


@attrs.frozen
class WorkerFaults:
    """What a worker does wrong from now on.

    ``status`` refuses calls without doing anything; ``stalls`` lets its tasks stand
    still; ``fails_tasks`` fails what is started while it is set.
    """

    slow_factor: float = 1.0
    stalls: bool = False
    fails_tasks: bool = False
    status: int = 0
    status_share: float = 1.0


@attrs.define(eq=False)
class _Life:
    """What a worker forgets when it starts again."""

    born: int
    highest_token: int = 0
    lease_until: int = 0
    runs: dict[tuple[TaskName, int], Run] = attrs.field(factory=dict)
    bars: dict[TaskName, int] = attrs.field(factory=dict)
    ends: dict[int, list] = attrs.field(factory=dict)
    end_count: int = 0
    has_lapsed: bool = True
    leaves_ms: int | None = None


@attrs.frozen
class _WaitingHold:
    ticket: int
    until_ms: int


class Worker:
    """A worker that is called, and that keeps in ``events`` what it saw.

    It may live several times under one id. Workers that run members of one gang
    share a ``Gangs``.
    """

    def __init__(
        self,
        plan: WorkerPlan,
        catalog: Catalog | None = None,
        gangs: Gangs | None = None,
        born_ms: int = 0,
        seed: int = 0,
    ) -> None:
        self.plan = plan
        self.faults = WorkerFaults()
        self.events: list[Event] = []
        self._catalog = catalog or Catalog()
        self._gangs = gangs or Gangs()
        self._random = Random(f"{seed} {plan.id}")
        self._life: _Life | None = _Life(born_ms)
        self._last_born = born_ms
        self._left = False
        self._outbox = Outbox()
        self._waiting: list[_WaitingHold] = []
        self._is_due_known = False
        self._due_ms: int | None = None
        self._operations: dict[str, Callable[[int, Request], Answer]] = {
            "/run-start": self._run_start,
            "/run-stop": self._run_stop,
            "/hold": self._hold,
            "/pace": self._pace,
        }

    @property
    def is_up(self) -> bool:
        """Return whether the worker lives."""
        return self._life is not None

    @property
    def has_left(self) -> bool:
        """Return whether the newest life ended at the end of a drain."""
        return self._life is None and self._left

    @property
    def born(self) -> int:
        """Return the start of the newest life."""
        return self._last_born

    def clock_ms(self, now_ms: int) -> int:
        """Return the time on the worker's own clock."""
        passed_ms = max(0, now_ms - self._last_born)
        return int(passed_ms * self.plan.clock_rate)

    def report(self, now_ms: int) -> dict | None:
        """Return what the worker says of itself; ``seq`` is left to the registry."""
        if self._life is None:
            return None
        plan = self.plan
        leaves_ms = self._life.leaves_ms
        report = {
            "id": plan.id,
            "born": self._life.born,
            "service": plan.service,
            "address": plan.address,
            "zone": plan.zone,
            "machine": plan.machine,
            "version": plan.version,
            "slots": plan.slots,
            "state": "ready" if leaves_ms is None else "draining",
            "cold_remaining_ms": 0,
            "capacity": attrs.asdict(plan.capacity),
            "labels": list(plan.labels),
        }
        if leaves_ms is not None:
            report["remaining_ms"] = max(0, leaves_ms - now_ms)
        return report

    def handle(self, now_ms: int, request: Request) -> Outcome:
        """Answer a call at once, whatever its ``wait_ms``."""
        self._pass_time(now_ms)
        refusal = self._refusal_of(now_ms, request)
        if refusal is not None:
            return refusal
        try:
            return self._operations[request.path](now_ms, request)
        except InvalidInputError as fault:
            return Answer(400, self._stamped(now_ms, detail=str(fault)))

    def submit(self, now_ms: int, ticket: int, request: Request) -> None:
        """Take a call."""
        outcome = self.handle(now_ms, request)
        wait_ms = _wait_ms_of(request, outcome)
        if wait_ms and not outcome.body["ended"]:
            self._waiting.append(_WaitingHold(ticket, now_ms + wait_ms))
        else:
            self._outbox.put(now_ms, ticket, outcome)

    def advance(self, now_ms: int) -> list[tuple[int, Outcome]]:
        """Do what is due, and return what is to be sent now."""
        self._pass_time(now_ms)
        if self._life is None:
            return self._outbox.take_due(now_ms)
        waiting, self._waiting = self._waiting, []
        for hold in waiting:
            if self._life.ends or now_ms >= hold.until_ms:
                answer = Answer(200, self._lists(now_ms))
                self._outbox.put(now_ms, hold.ticket, answer)
            else:
                self._waiting.append(hold)
        return self._outbox.take_due(now_ms)

    def next_due_ms(self) -> int | None:
        """Return when something is due next."""
        if not self._is_due_known:
            times = [hold.until_ms for hold in self._waiting]
            times += [self._outbox.next_due_ms(), self._next_ms()]
            known = [time for time in times if time is not None]
            self._due_ms = min(known, default=None)
            # What happens to a gang is also decided on other workers.
            runs = self._life.runs.values() if self._life else ()
            self._is_due_known = not any(run.is_gang for run in runs)
        return self._due_ms

    def set_faults(self, now_ms: int, faults: WorkerFaults) -> None:
        """Put these faults in the place of those there were."""
        self._pass_time(now_ms)
        self.faults = faults
        if self._life is not None:
            for run in self._life.runs.values():
                self._set_speed(now_ms, run)

    def resize(self, now_ms: int, capacity: Capacity) -> None:
        """Change the capacity; what runs goes on, even if it doesn't fit any more."""
        self._pass_time(now_ms)
        self.plan = attrs.evolve(self.plan, capacity=capacity)

    def drain(self, now_ms: int, remaining_ms: int) -> None:
        """Report ``draining`` from now on, and leave after that time."""
        self._pass_time(now_ms)
        if self._life is not None:
            self._life.leaves_ms = now_ms + remaining_ms

    def crash(self, now_ms: int) -> None:
        """End this life without a word."""
        self._pass_time(now_ms)
        self._die(now_ms)

    def restart(self, now_ms: int, plan: WorkerPlan | None = None) -> None:
        """Begin a new life under the same id, also of another kind."""
        self.crash(now_ms)
        if plan is not None:
            self.plan = attrs.evolve(plan, id=self.plan.id)
        self._last_born = max(now_ms, self._last_born + 1)
        self._left = False
        self._life = _Life(self._last_born)

    def running(self) -> list[tuple[str, int]]:
        """Return the task and the number of each run that is there."""
        runs = self._life.runs if self._life else {}
        return [(str(task), number) for task, number in runs]

    def _refusal_of(self, now_ms: int, request: Request) -> Outcome | None:
        """Return the answer to a call that is not looked into, if it is one."""
        faults = self.faults
        if self._life is None:
            return Unanswered("refused")
        if request.header(_INSTANCE_HEADER, self.plan.id) != self.plan.id:
            return Answer(421, self._stamped(now_ms))
        if faults.status and self._random.random() < faults.status_share:
            return Answer(faults.status)
        if request.path not in self._operations:
            return Answer(404, self._stamped(now_ms))
        if not isinstance(request.body, dict):
            return Answer(400, self._stamped(now_ms))
        return None

    def _run_start(self, now_ms: int, request: Request) -> Answer:
        body, life = request.body, self._life
        task, number = TaskName.parse(body.get("task")), read_whole(body, "run")
        spec, until = read_text(body, "spec", ""), read_whole(body, "until_ms")
        checkpoint = read_text(body, "checkpoint", "")
        if number < 1:
            raise InvalidInputError("run", "a number from 1", number)
        if self._is_fenced(body):
            return self._conflict(now_ms, "fence")
        if (task, number) in life.runs:
            self._extend_lease(now_ms, until)
            return Answer(200, self._stamped(now_ms))
        if until <= self.clock_ms(now_ms):
            return self._conflict(now_ms, "late")
        self._extend_lease(now_ms, until)
        if number <= life.bars.get(task, 0):
            return self._conflict(now_ms, "old")
        step = self._catalog.step_of(task)
        is_overfull = not self._has_room(step)
        if is_overfull and self.plan.is_guarded:
            return self._conflict(now_ms, "room")
        self._begin(now_ms, task, number, step, checkpoint)
        started = RunStarted(
            now_ms,
            self.plan.id,
            life.born,
            str(task),
            number,
            self.plan.service,
            self.plan.labels,
            spec,
            checkpoint,
            request.caller,
            is_overfull,
            request.is_late,
        )
        self.events.append(started)
        return Answer(200, self._stamped(now_ms))

    def _run_stop(self, now_ms: int, request: Request) -> Answer:
        body, life = request.body, self._life
        task, number = TaskName.parse(body.get("task")), read_whole(body, "run")
        if self._is_fenced(body):
            return self._conflict(now_ms, "fence")
        life.bars[task] = max(number, life.bars.get(task, 0))
        run = life.runs.get((task, number))
        if run is not None and run.stops_ms is None:
            run.stops_ms = now_ms + self.plan.stop_ms
        return Answer(200, self._stamped(now_ms))

    def _hold(self, now_ms: int, request: Request) -> Answer:
        body, life = request.body, self._life
        acked_through = read_whole(body, "acked_through", 0)
        until, wait_ms = read_whole(body, "until_ms", 0), read_whole(body, "wait_ms", 0)
        if wait_ms > _MAX_WAIT_MS:
            raise InvalidInputError("wait_ms", f"at most {_MAX_WAIT_MS}", wait_ms)
        if self._is_fenced(body):
            return self._conflict(now_ms, "fence")
        self._extend_lease(now_ms, until)
        acked = [number for number in life.ends if number <= acked_through]
        for number in acked:
            del life.ends[number]
        if acked:
            event = EndsAcked(now_ms, self.plan.id, life.born, max(acked))
            self.events.append(event)
        return Answer(200, self._lists(now_ms))

    def _pace(self, now_ms: int, request: Request) -> Answer:
        body = request.body
        task, number = TaskName.parse(body.get("task")), read_whole(body, "run")
        percent = read_whole(body, "percent")
        if percent > 100:
            raise InvalidInputError("percent", "0 to 100", percent)
        if self._is_fenced(body):
            return self._conflict(now_ms, "fence")
        run = self._life.runs.get((task, number))
        if run is None:
            return self._conflict(now_ms, "old")
        run.paced = (now_ms + self.plan.pace_ms, percent)
        return Answer(200, self._stamped(now_ms))

    def _is_fenced(self, body: dict) -> bool:
        token = read_whole(body, "fencing_token", 0)
        if token < self._life.highest_token:
            return True
        self._life.highest_token = token
        return False

    def _extend_lease(self, now_ms: int, until: int) -> None:
        life, clock = self._life, self.clock_ms(now_ms)
        until = min(until, clock + self.plan.hold_max_ms)
        if until > max(life.lease_until, clock):
            life.lease_until = until
            life.has_lapsed = False

    def _has_room(self, step: Step) -> bool:
        steps = [run.step for run in self._life.runs.values()]
        return self.plan.capacity.holds([*steps, step])

    def _begin(
        self, now_ms: int, task: TaskName, number: int, step: Step, checkpoint: str
    ) -> None:
        work_ms = step.work_of(task.index)
        resumed_at = float(min(work_in(checkpoint), work_ms))
        job = self._catalog.job_of(task)
        lasts = job is not None and job.long_running
        total = math.inf if lasts else float(work_ms)
        is_gang = step.gang and step.count > 1
        if is_gang:
            key = (task.of_step, number, checkpoint)
            progress = self._gangs.gang(key, total, resumed_at, step.count)
            progress.racks.add(self.plan.rack)
        else:
            progress = Progress(total, resumed_at)
        run = Run(task, number, step, progress, now_ms, resumed_at)
        if self.faults.fails_tasks:
            run.fails_at = min(resumed_at + _FAILS_AFTER_MS, total)
        elif step.fails:
            run.fails_at = total
        self._life.runs[task, number] = run
        ready_ms = now_ms + (self.plan.restore_ms if checkpoint else 0)
        progress.join(now_ms, str(task), self._speed_of(run), ready_ms)

    def _speed_of(self, run: Run) -> float:
        if self.faults.stalls:
            return 0.0
        step = run.step
        factor = self.plan.slowness * self.faults.slow_factor
        if step.data_rack and step.data_rack != self.plan.rack:
            factor *= self.plan.remote_factor
        if step.rack_sensitive and len(run.progress.racks) > 1:
            factor *= self.plan.remote_factor
        return run.percent / 100 / factor

    def _set_speed(self, now_ms: int, run: Run) -> None:
        run.progress.set_speed(now_ms, str(run.task), self._speed_of(run))

    def _pass_time(self, now_ms: int) -> None:
        # Whatever changes a worker lets time pass first.
        self._is_due_known = False
        next_ms = self._next_ms()
        while next_ms is not None and next_ms <= now_ms:
            self._occur(next_ms)
            next_ms = self._next_ms()

    def _next_ms(self) -> int | None:
        if self._life is None:
            return None
        times = [self._life.leaves_ms, self._lapse_ms()]
        for run in self._life.runs.values():
            times += [due_ms for due_ms, _ in self._dues_of(run)]
            times.append(run.paced[0] if run.paced else None)
        return min((time for time in times if time is not None), default=None)

    def _lapse_ms(self) -> int | None:
        life = self._life
        if life.has_lapsed or not (life.runs or life.ends):
            return None
        return life.born + math.ceil(life.lease_until / self.plan.clock_rate)

    def _dues_of(self, run: Run) -> list[tuple[int, str]]:
        """Return what happens to a run if nothing else does, and when."""
        progress = run.progress
        dues = [(run.stops_ms, "stopped")]
        if run.task.index in run.step.crashing:
            dues.append((run.started_ms + run.step.crash_delay_ms, "crashed"))
        if progress.broken_ms is not None:
            dues.append((max(progress.broken_ms, run.started_ms), "broken"))
        if progress.started_ms is None:
            dues.append((run.started_ms + self.plan.gang_ms, "alone"))
        elif run.fails_at is not None:
            dues.append((progress.reach_ms(run.fails_at), "failed"))
        else:
            dues.append((progress.finish_ms(), "done"))
        return [(due_ms, what) for due_ms, what in dues if due_ms is not None]

    def _occur(self, now_ms: int) -> None:
        if any(
            due_ms <= now_ms and what == "crashed"
            for run in self._life.runs.values()
            for due_ms, what in self._dues_of(run)
        ):
            self._die(now_ms)
            return
        for run in list(self._life.runs.values()):
            due = [what for due_ms, what in self._dues_of(run) if due_ms <= now_ms]
            if due:
                self._end(now_ms, run, _first_of(due))
            elif run.paced and run.paced[0] <= now_ms:
                run.percent, run.paced = run.paced[1], None
                self._set_speed(now_ms, run)
        lapse_ms = self._lapse_ms()
        if lapse_ms is not None and lapse_ms <= now_ms:
            self._lapse(now_ms)
        if self._life.leaves_ms is not None and self._life.leaves_ms <= now_ms:
            self._left = True
            self._die(now_ms)

    def _lapse(self, now_ms: int) -> None:
        self._life.has_lapsed = True
        self.events.append(LeaseLapsed(now_ms, self.plan.id, self._life.born))
        for run in list(self._life.runs.values()):
            self._end(now_ms, run, "lapsed")

    def _end(self, now_ms: int, run: Run, how: str) -> None:
        life = self._life
        run.progress.settle(now_ms)
        if run.is_gang and how != "done":
            run.progress.break_up(now_ms)
        del life.runs[run.task, run.number]
        life.bars[run.task] = max(run.number, life.bars.get(run.task, 0))
        life.end_count += 1
        saved = run.saved(self.plan.checkpoint_ms, is_stop=how == "stopped")
        row = [life.end_count, str(run.task), run.number, how, saved]
        life.ends[life.end_count] = row
        ended = RunEnded(
            now_ms,
            self.plan.id,
            life.born,
            str(run.task),
            run.number,
            life.end_count,
            how,
            saved,
        )
        self.events.append(ended)

    def _die(self, now_ms: int) -> None:
        if self._life is None:
            return
        for run in self._life.runs.values():
            if run.is_gang:
                run.progress.break_up(now_ms)
        for hold in self._waiting:
            self._outbox.put(now_ms, hold.ticket, Unanswered("reset"))
        self._waiting.clear()
        self.events.append(LifeEnded(now_ms, self.plan.id, self._life.born))
        self._life = None

    def _lists(self, now_ms: int) -> dict:
        rows = [self._row_of(now_ms, run) for run in self._life.runs.values()]
        ends = list(self._life.ends.values())[:_MAX_LISTED]
        return self._stamped(now_ms, active=rows, ended=ends)

    def _row_of(self, now_ms: int, run: Run) -> list:
        run.progress.settle(now_ms)
        saved = run.saved(self.plan.checkpoint_ms)
        percent = run.progress.percent()
        if math.isinf(run.progress.total_ms):
            percent = 100 * (now_ms - run.started_ms >= self.plan.startup_ms)
        row = [str(run.task), run.number, saved, percent]
        return [*row, run.cpu_in_use()] if self.plan.shows_usage else row

    def _stamped(self, now_ms: int, **fields: object) -> dict:
        stamp = {"clock_ms": self.clock_ms(now_ms), "born": self._life.born}
        return {**stamp, **fields}

    def _conflict(self, now_ms: int, reason: str) -> Answer:
        return Answer(409, self._stamped(now_ms, reason=reason))


def _first_of(due: list[str]) -> str:
    # A run whose work is complete is done, whatever else happens at that moment.
    return next((how for how in ("done", "failed") if how in due), due[0])


def _wait_ms_of(request: Request, outcome: Outcome) -> int:
    is_list = isinstance(outcome, Answer) and outcome.status == 200
    if request.path != "/hold" or not is_list:
        return 0
    return read_whole(request.body, "wait_ms", 0)
