"""The state of one stand-in target: what it runs, has run and was told to stop."""

__all__ = ["OnStart", "Refusal", "RunResult", "TargetWorker", "TaskRequest"]

from collections import Counter
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet.interfaces import IDelayedCall, IReactorTime

_DEFAULT_RUN_MS = 50
_RESULT_KEPT_MS = 300_000


@attrs.frozen
class TaskRequest:
    """One request to start a task."""

    task_id: str
    payload: Any
    lease_ms: int
    processors_milli: int = 0
    memory_mb: int = 0


@attrs.frozen
class Refusal:
    """The task was not started, for ``reason``."""

    reason: str


@attrs.frozen
class RunResult:
    """What a task returned."""

    task_id: str
    succeeded: bool
    value: Any
    run_time_ms: int


OnEnd = Callable[[RunResult], None]
OnStart = Callable[[str, str], None]


@attrs.define(eq=False)
class _Run:
    request: TaskRequest
    on_end: OnEnd
    started_ms: float
    timer: IDelayedCall | None = None


class TargetWorker:
    """A worker with a fixed number of slots that runs tasks as timed sleeps.

    It does not recognise a task that it is sent twice: it starts it again, and
    counts that in ``starts``.
    """

    def __init__(
        self,
        name: str,
        slots: int,
        reactor: IReactorTime,
        on_start: OnStart | None = None,
    ) -> None:
        self.name = name
        self.slots = slots
        self.starts: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.stops = 0
        self._reactor = reactor
        self._on_start = on_start
        self._booted_ms = self._now_ms()
        self._running: list[_Run] = []
        self._finished: dict[str, tuple[float, RunResult]] = {}
        self._stopped: dict[str, str] = {}

    def start(
        self,
        request: TaskRequest,
        on_end: OnEnd,
        fails: bool = False,
        straggle_factor: float = 1.0,
    ) -> Refusal | None:
        """Start a task and call ``on_end`` when it ends, or return why not."""
        reason = self._reason_against(request)
        if reason:
            return self.refuse(reason)
        self.starts[request.task_id] += 1
        if self._on_start is not None:
            self._on_start(self.name, request.task_id)
        run = _Run(request, on_end, self._now_ms())
        self._running.append(run)
        wanted_ms = _run_ms_of(request.payload) * straggle_factor
        outlives_lease = wanted_ms > request.lease_ms
        succeeds = not (fails or outlives_lease or _wants_failure(request.payload))
        duration_ms = min(wanted_ms, request.lease_ms)
        run.timer = self._reactor.callLater(
            duration_ms / 1000, self._end, run, succeeds
        )
        return None

    def refuse(self, reason: str) -> Refusal:
        """Count and return a refusal."""
        self.refused[reason] += 1
        return Refusal(reason)

    def stop(self, task_ids: list[str], only_unstarted: bool) -> dict[str, dict]:
        """Return the state of each task as the protocol's JSON, stopping it."""
        self.stops += 1
        self._forget_old_results()
        return {
            task_id: self._stop_one(task_id, only_unstarted) for task_id in task_ids
        }

    def memory_ms(self) -> int:
        """Return for how long back every start, stop and result is remembered."""
        return int(min(self._now_ms() - self._booted_ms, _RESULT_KEPT_MS))

    def usage(self) -> dict[str, int]:
        """Return what the running tasks use, as the protocol's JSON."""
        requests = [run.request for run in self._running]
        return {
            "processors_milli": sum(r.processors_milli for r in requests),
            "memory_mb": sum(r.memory_mb for r in requests),
            "running": len(requests),
        }

    def _reason_against(self, request: TaskRequest) -> str:
        if request.task_id in self._stopped:
            return "stopped"
        if request.lease_ms <= 0:
            return "lease_expired"
        if len(self._running) >= self.slots:
            return "busy"
        return ""

    def _end(self, run: _Run, succeeds: bool) -> None:
        self._running.remove(run)
        request = run.request
        ran_ms = round(self._now_ms() - run.started_ms)
        value = _value_of(request.payload) if succeeds else {"error": "task failed"}
        result = RunResult(request.task_id, succeeds, value, ran_ms)
        self._finished[request.task_id] = (self._now_ms(), result)
        run.on_end(result)

    def _stop_one(self, task_id: str, only_unstarted: bool) -> dict:
        running = [r for r in self._running if r.request.task_id == task_id]
        if running and only_unstarted:
            return {"state": "running"}
        for run in running:
            run.timer.cancel()
            self._stopped[task_id] = "stopped"
            self._end(run, succeeds=False)
        if task_id in self._finished and task_id not in self._stopped:
            _, result = self._finished[task_id]
            return {"state": "finished", **attrs.asdict(result)}
        return {"state": self._stopped.setdefault(task_id, "never_started")}

    def _forget_old_results(self) -> None:
        oldest_ms = self._now_ms() - _RESULT_KEPT_MS
        for task_id, (ended_ms, _) in list(self._finished.items()):
            if ended_ms >= oldest_ms:
                break
            del self._finished[task_id]

    def _now_ms(self) -> float:
        return self._reactor.seconds() * 1000


def _run_ms_of(payload: Any) -> float:
    run_ms = payload.get("run_ms") if isinstance(payload, dict) else None
    return run_ms if isinstance(run_ms, int | float) else _DEFAULT_RUN_MS


def _wants_failure(payload: Any) -> bool:
    return isinstance(payload, dict) and bool(payload.get("fail"))


def _value_of(payload: Any) -> Any:
    if isinstance(payload, dict) and "value" in payload:
        return payload["value"]
    return payload
