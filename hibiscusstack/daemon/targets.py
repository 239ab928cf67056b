"""Calls to targets that start and stop tasks."""

__all__ = ["TargetCaller"]

from collections.abc import Callable, Iterable

import attrs
from eliot import log_message
from opentelemetry.trace import Span
from twisted.internet.defer import maybeDeferred
from twisted.python.failure import Failure

from hibiscusstack.clock import Clock
from hibiscusstack.dispatch.effects import (
    StartTask,
    StopTasks,
    TargetReply,
    TaskFinished,
    TaskNotSent,
    TaskRefused,
    TaskSilent,
    TaskStates,
)
from hibiscusstack.dispatch.targets import TargetInfo
from hibiscusstack.target import TargetClient
from hibiscusstack.telemetry.metrics import Metric, Metrics
from hibiscusstack.telemetry.traces import Tracer, traceparent_of

_METRIC_OF_REPLY = {
    TaskFinished: Metric.TASKS_FINISHED,
    TaskRefused: Metric.TASKS_REFUSED,
    TaskNotSent: Metric.TASKS_NOT_SENT,
    TaskSilent: Metric.TASKS_SILENT,
}


class TargetCaller:
    """Starts and stops tasks on targets; each call ends in exactly one callback.

    Targets that have left the live list are kept, because tasks on them may still have
    to be queried or stopped.
    """

    def __init__(
        self,
        client: TargetClient,
        clock: Clock,
        tracer: Tracer,
        metrics: Metrics,
        max_timeout_ms: int,
    ) -> None:
        self._client = client
        self._clock = clock
        self._tracer = tracer
        self._metrics = metrics
        self._max_timeout_ms = max_timeout_ms
        self._targets_by_name: dict[str, TargetInfo] = {}

    def replace_targets(self, targets: Iterable[TargetInfo]) -> None:
        """Add the targets of a newer live list, or update them."""
        self._targets_by_name.update({target.name: target for target in targets})

    def start(
        self, effect: StartTask, on_reply: Callable[[StartTask, TargetReply], None]
    ) -> None:
        """Start a task once and pass the reply of the target to ``on_reply``."""
        target = self._targets_by_name.get(effect.target)
        if target is None:
            on_reply(
                effect,
                TaskNotSent("the target has never been on the live list of this host"),
            )
            return
        self._metrics.count(Metric.TASKS_STARTED)
        span = self._start_span(effect)
        traced = attrs.evolve(
            effect,
            timeout_ms=min(effect.timeout_ms, self._max_timeout_ms),
            traceparent=traceparent_of(span),
        )
        started_ms = self._clock.now_ms()
        reply = maybeDeferred(self._client.start, target, traced)
        reply.addErrback(_silent_after_error)
        reply.addCallback(self._record_reply, span, started_ms)
        reply.addCallback(lambda result: on_reply(effect, result))

    def stop(self, effect: StopTasks, on_states: Callable[[TaskStates], None]) -> None:
        """Stop tasks and pass the states that the target reports to ``on_states``."""
        target = self._targets_by_name.get(effect.target)
        if target is None:
            on_states(TaskStates(effect.target, effect.task_ids, None))
            return
        self._metrics.count(Metric.STOPS_SENT)
        states = maybeDeferred(self._client.stop, target, effect)
        states.addErrback(_no_states_after_error, effect)
        states.addCallback(on_states)

    def _start_span(self, effect: StartTask) -> Span:
        job_id = effect.task_id.rsplit("/", 2)[0]
        return self._tracer.start_span(
            "target.task",
            job_id,
            effect.traceparent,
            target=effect.target,
            task=effect.task.index,
            kind=effect.task.kind,
        )

    def _record_reply(
        self, reply: TargetReply, span: Span, started_ms: int
    ) -> TargetReply:
        span.set_attribute("reply", type(reply).__name__)
        span.end()
        self._metrics.count(_METRIC_OF_REPLY[type(reply)])
        self._metrics.time(Metric.TASK_TIME_MS, self._clock.now_ms() - started_ms)
        return reply


def _silent_after_error(failure: Failure) -> TaskSilent:
    """Return ``TaskSilent`` after an internal error: the task may have started."""
    _log_error("daemon:start_error", failure)
    return TaskSilent(failure.getErrorMessage())


def _no_states_after_error(failure: Failure, effect: StopTasks) -> TaskStates:
    _log_error("daemon:stop_error", failure)
    return TaskStates(effect.target, effect.task_ids, None)


def _log_error(event: str, failure: Failure) -> None:
    log_message(event, level="error", cause=failure.getTraceback())
