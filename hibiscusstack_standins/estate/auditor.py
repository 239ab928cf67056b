"""The rules that concern runs, judged from what the workers saw."""

__all__ = ["AuditBounds", "Auditor", "ClientRecord", "Violation"]

import math
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping

import attrs

from hibiscusstack_standins.estate.events import Event, RunEnded, RunStarted
from hibiscusstack_standins.estate.history import (
    EndedRun,
    History,
    RunInterval,
    read_history,
)
from hibiscusstack_standins.estate.jobs import Catalog, Job, Step, TaskName
from hibiscusstack_standins.estate.runs import is_checkpoint_of

_REJECTIONS = frozenset({404, 429, 503})
_LEARN_MS = 1_000
_MAX_CRASHES = 3
_MAX_STARTS_AFTER_CRASHES = 2


@attrs.frozen
class Violation:
    """A rule that was broken, when, and by which run."""

    rule: str
    at_ms: int
    worker: str
    task: str
    run: int
    detail: str


@attrs.frozen
class ClientRecord:
    """What the clients of one job saw.

    ``statuses`` has one entry for each attempt to submit it, ``None`` for no answer;
    the times are those of the answers.
    """

    statuses: tuple[int | None, ...] = ()
    cancelled_ms: float = math.inf
    completed_ms: float = math.inf

    @property
    def is_rejected(self) -> bool:
        """Return whether every attempt to submit the job was rejected."""
        return bool(self.statuses) and _REJECTIONS.issuperset(self.statuses)


@attrs.frozen
class AuditBounds:
    """The bounds of the rules; ``note_ms`` holds where no disruption is near."""

    early_ms: int = 250
    cancel_ms: int = 3_000
    stop_ms: int = 50
    note_ms: float = math.inf


@attrs.frozen
class _Start:
    """A start with all that it is judged by."""

    event: RunStarted
    end_ms: float
    task: TaskName
    job: Job
    step: Step
    client: ClientRecord

    @property
    def at_ms(self) -> int:
        return self.event.at_ms

    @property
    def unit(self) -> str:
        """Return what has to end ``done`` once: the task, or its gang."""
        return _unit_of(self.task, self.step)


class Auditor:
    """Judges the starts that workers saw, each by the rules on its own.

    ``services`` names the services that each queue is sent to; a queue that is not
    named may use any. A job without a record counts as submitted.
    """

    def __init__(
        self,
        catalog: Catalog,
        clients: Mapping[str, ClientRecord] | None = None,
        services: Mapping[str, Collection[str]] | None = None,
        bounds: AuditBounds | None = None,
    ) -> None:
        self._catalog = catalog
        self._clients = clients or {}
        self._services = services or {}
        self._bounds = bounds or AuditBounds()

    def audit(self, events: Iterable[Event], until_ms: float = 0) -> list[Violation]:
        """Return the broken rules in the order of the starts that broke them.

        What still runs is held to have run until ``until_ms``.
        """
        history = read_history(events, self._bounds.note_ms)
        judge = _Judge(self._catalog, history, self._services, self._bounds, until_ms)
        found: list[Violation] = []
        for run in history.runs:
            start = self._read(run)
            if start is None:
                found.append(_violation("UNASKED", run.start, "no such task"))
                continue
            found += [
                _violation(rule, run.start, detail)
                for rule, detail in judge.judge(start)
            ]
        return found

    def _read(self, run: RunInterval) -> _Start | None:
        task = TaskName.parse(run.start.task)
        job = self._catalog.job_of(task)
        if job is None:
            return None
        client = self._clients.get(job.id, ClientRecord())
        return _Start(run.start, run.end_ms, task, job, job.steps[task.step], client)


Findings = Iterator[tuple[str, str]]


class _Judge:
    def __init__(
        self,
        catalog: Catalog,
        history: History,
        services: Mapping[str, Collection[str]],
        bounds: AuditBounds,
        until_ms: float,
    ) -> None:
        self._catalog = catalog
        self._services = services
        self._bounds = bounds
        self._until_ms = until_ms
        self._runs: defaultdict[str, list[RunInterval]] = defaultdict(list)
        self._on_worker: defaultdict[tuple, list[RunInterval]] = defaultdict(list)
        self._done: defaultdict[str, list[EndedRun]] = defaultdict(list)
        self._failed: defaultdict[str, list[EndedRun]] = defaultdict(list)
        self._index(history)
        self._rules: tuple[Callable[[_Start], Findings], ...] = (
            self._limit,
            self._twice,
            self._order,
            self._budget,
            self._route,
            self._unasked,
            self._refused,
        )

    def judge(self, start: _Start) -> Findings:
        """Yield the rules that a start breaks, with what was seen."""
        for rule in self._rules:
            yield from rule(start)

    def _index(self, history: History) -> None:
        for run in history.runs:
            self._runs[run.start.task].append(run)
            place = (run.start.worker, TaskName.parse(run.start.task).of_step)
            self._on_worker[place].append(run)
        kinds = {"done": self._done, "failed": self._failed}
        for ended in history.ends:
            task = TaskName.parse(ended.end.task)
            unit = _unit_of(task, self._catalog.step_of(task))
            if ended.end.how in kinds:
                kinds[ended.end.how][unit].append(ended)

    def _limit(self, start: _Start) -> Findings:
        if start.event.is_overfull:
            yield "LIMIT", "over the worker's capacity"

    def _twice(self, start: _Start) -> Findings:
        if not start.step.speculative:
            yield from self._beside_another(start)
        if start.job.long_running or start.job.best_effort:
            return
        for ended in self._done[start.unit]:
            if self._is_after(start, ended):
                yield "TWICE", f"run {ended.end.run} ended done at {ended.end.at_ms}"
                return
        if start.at_ms > start.client.completed_ms + _LEARN_MS and self._is_timely(
            start
        ):
            yield "TWICE", f"shown as completed at {start.client.completed_ms}"

    def _beside_another(self, start: _Start) -> Findings:
        for other in self._runs[start.event.task]:
            if other.start is start.event:
                return
            if start.at_ms < other.end_ms and start.at_ms < start.end_ms:
                yield "TWICE", f"run {other.start.run} runs on {other.start.worker}"
                return

    def _is_after(self, start: _Start, ended: EndedRun) -> bool:
        """Return whether a start came after an end that it must not come after."""
        if _identity(ended.end) == _identity(start.event):
            return False
        if start.step.speculative:
            known_ms = ended.noted_ms + _LEARN_MS
            return start.at_ms > known_ms and self._is_timely(start)
        return start.at_ms >= ended.end.at_ms and not math.isinf(ended.noted_ms)

    def _order(self, start: _Start) -> Findings:
        for number in start.step.after:
            missing = self._undone_at(start, number)
            if missing:
                yield "ORDER", f"{missing} has not ended done"
                break
        due_ms = start.job.due_ms(start.task.occurrence)
        if due_ms is not None and start.at_ms < due_ms - self._bounds.early_ms:
            yield "ORDER", f"due at {due_ms}"

    def _undone_at(self, start: _Start, number: int) -> str:
        step = start.job.steps[number]
        for index in range(step.count):
            task = attrs.evolve(start.task, step=number, index=index)
            ends = self._done[_unit_of(task, step)]
            if not any(ended.end.at_ms <= start.at_ms for ended in ends):
                return str(task)
        return ""

    def _budget(self, start: _Start) -> Findings:
        yield from self._crash_budget(start)
        if start.job.long_running or start.job.best_effort:
            return
        failed = {
            ended.end.run
            for ended in self._failed[start.unit]
            if self._is_after(start, ended)
        }
        if len(failed) >= start.job.max_attempts:
            yield "BUDGET", f"{len(failed)} runs had failed"

    def _crash_budget(self, start: _Start) -> Findings:
        """Find a third start after three workers have crashed under the task."""
        if start.task.index not in start.step.crashing:
            return
        runs = self._runs[start.event.task]
        crashed_ms = sorted(run.end_ms for run in runs if run.is_cut_short)
        if len(crashed_ms) < _MAX_CRASHES:
            return
        limit_ms = crashed_ms[_MAX_CRASHES - 1]
        later = [run for run in runs if limit_ms < run.start.at_ms <= start.at_ms]
        if len(later) > _MAX_STARTS_AFTER_CRASHES:
            yield "BUDGET", f"{len(later)} starts after {_MAX_CRASHES} crashes"

    def _route(self, start: _Start) -> Findings:
        event, step = start.event, start.step
        if event.service not in self._services.get(start.job.queue, (event.service,)):
            yield "ROUTE", f"service {event.service}"
        if step.requires and step.requires not in event.labels:
            yield "ROUTE", f"without the label {step.requires}"
        place = (event.worker, start.task.of_step)
        beside = {
            run.start.task
            for run in self._on_worker[place]
            if run.start.at_ms <= start.at_ms < run.end_ms
        }
        if step.anti_affinity and len(beside) > step.anti_affinity:
            yield "ROUTE", f"{len(beside)} tasks of the step on one worker"

    def _unasked(self, start: _Start) -> Findings:
        event = start.event
        if event.spec != start.job.spec:
            yield "UNASKED", "another spec"
        checkpoint = event.checkpoint
        if checkpoint and not is_checkpoint_of(checkpoint, start.task, start.step):
            yield "UNASKED", "a checkpoint that is not the task's"
        over_ms = start.client.cancelled_ms + self._bounds.cancel_ms
        if start.at_ms > over_ms and self._is_timely(start):
            yield "UNASKED", f"cancelled at {start.client.cancelled_ms}"
            return
        end_ms = self._until_ms if math.isinf(start.end_ms) else start.end_ms
        if end_ms > over_ms + self._bounds.stop_ms:
            yield "UNASKED", f"runs on, cancelled at {start.client.cancelled_ms}"

    def _refused(self, start: _Start) -> Findings:
        if start.client.is_rejected:
            yield "REFUSED", f"answered {start.client.statuses}"

    def _is_timely(self, start: _Start) -> bool:
        """Return whether rules with a time bound hold for a start."""
        return not start.event.is_late


def _unit_of(task: TaskName, step: Step) -> str:
    return task.of_step if step.gang and step.count > 1 else str(task)


def _identity(event: RunStarted | RunEnded) -> tuple:
    return event.worker, event.born, event.task, event.run


def _violation(rule: str, event: RunStarted, detail: str) -> Violation:
    return Violation(rule, event.at_ms, event.worker, event.task, event.run, detail)
