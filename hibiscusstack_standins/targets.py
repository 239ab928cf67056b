"""The HTTP face of stand-in targets, and the control of their faults."""

__all__ = ["TargetResource"]

import json
import random
from typing import Any

import attrs
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure
from twisted.web.http import Request
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from hibiscusstack.exceptions import InvalidInputError
from hibiscusstack_standins.faults import TargetFaults
from hibiscusstack_standins.serving import (
    answer_json,
    answer_problem,
    read_json,
)
from hibiscusstack_standins.worker import (
    Refusal,
    RunResult,
    TargetWorker,
    TaskRequest,
)

_SECOND_ANSWER_DELAY_S = 0.01
_NO_FAULTS = TargetFaults()


class TargetResource(Resource):
    """Serves one target; a plain resource, because every task passes through it."""

    isLeaf = True  # noqa: N815

    def __init__(
        self, worker: TargetWorker, reactor: IReactorTime, seed: int = 0
    ) -> None:
        super().__init__()
        self.worker = worker
        self.faults = _NO_FAULTS
        self._reactor = reactor
        self._random = random.Random(f"{seed} {worker.name}")

    def render(self, request: Request) -> int:
        """Answer one request."""
        handlers = {
            (b"POST", b"/v1/tasks"): self._start,
            (b"POST", b"/v1/tasks/stop"): self._stop,
            (b"GET", b"/v1/usage"): self._usage,
        }
        handler = handlers.get((request.method, request.path))
        if handler is None:
            return answer_problem(request, 404, "not_found")
        try:
            return handler(request)
        except InvalidInputError:
            return answer_problem(request, 400, "bad_request")

    def _start(self, request: Request) -> int:
        task = _task_from_json(read_json(request))
        faults = self._drawn_faults()
        if faults.hang:
            return NOT_DONE_YET
        refusal = self._refused_by(faults)
        if refusal is None:
            pending = _PendingAnswer(request, faults, self._reactor)
            refusal = self.worker.start(
                task,
                pending.task_ended,
                fails=faults.fail_every_task,
                straggle_factor=faults.straggle_factor,
            )
        if refusal is not None:
            return self._answer_refusal(request, refusal, faults)
        return NOT_DONE_YET

    def _answer_refusal(
        self, request: Request, refusal: Refusal, faults: TargetFaults
    ) -> int:
        if faults.answer_twice:
            body = {"type": refusal.reason}
            _answer_again_later(self._reactor, request, 409, body)
        return answer_problem(request, 409, refusal.reason)

    def _drawn_faults(self) -> TargetFaults:
        if self.faults.share < 1 and self._random.random() >= self.faults.share:
            return attrs.evolve(_NO_FAULTS, leaving=self.faults.leaving)
        return self.faults

    def _refused_by(self, faults: TargetFaults) -> Refusal | None:
        reason = "leaving" if faults.leaving else faults.refuse
        return self.worker.refuse(reason) if reason else None

    def _stop(self, request: Request) -> int:
        body = read_json(request)
        task_ids = body.get("task_ids") if isinstance(body, dict) else None
        if not isinstance(task_ids, list) or not all(
            isinstance(task_id, str) for task_id in task_ids
        ):
            raise InvalidInputError("task_ids", "a list of strings", task_ids)
        states = self.worker.stop(task_ids, bool(body.get("only_unstarted")))
        body = {"memory_ms": self.worker.memory_ms(), "tasks": states}
        return answer_json(request, 200, body)

    def _usage(self, request: Request) -> int:
        return answer_json(request, 200, self.worker.usage())


class _PendingAnswer:
    """The answer to one start, given as its faults would have it."""

    def __init__(
        self, request: Request, faults: TargetFaults, reactor: IReactorTime
    ) -> None:
        self._request = request
        self._faults = faults
        self._reactor = reactor
        self._is_awaited = True
        request.notifyFinish().addErrback(self._caller_left)

    def task_ended(self, result: RunResult) -> None:
        """Answer, at once or late."""
        delay_ms = self._faults.answer_delay_ms
        if delay_ms:
            self._reactor.callLater(delay_ms / 1000, self._answer, result)
        else:
            self._answer(result)

    def _caller_left(self, _: Failure) -> None:
        self._is_awaited = False

    def _answer(self, result: RunResult) -> None:
        if self._faults.mute or not self._is_awaited:
            return
        if self._faults.lose_answer:
            self._request.loseConnection()
            return
        body = attrs.asdict(result)
        if self._faults.answer_other:
            body["task_id"] = f"{result.task_id}0"
        if self._faults.answer_twice:
            _answer_again_later(self._reactor, self._request, 200, body)
        answer_json(self._request, 200, body)


def _answer_again_later(
    reactor: IReactorTime, request: Request, status: int, body: dict
) -> None:
    data = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} Again\r\nContent-Length: {len(data)}\r\n\r\n"
    connection = request.channel.transport
    reactor.callLater(_SECOND_ANSWER_DELAY_S, connection.write, head.encode() + data)


def _task_from_json(body: Any) -> TaskRequest:
    if not isinstance(body, dict) or not isinstance(body.get("task_id"), str):
        raise InvalidInputError("task_id", "a string", body)
    lease_ms = body.get("lease_ms", 0)
    if not isinstance(lease_ms, int):
        raise InvalidInputError("lease_ms", "a whole number", lease_ms)
    return TaskRequest(
        body["task_id"],
        body.get("payload"),
        lease_ms,
        body.get("processors_milli", 0),
        body.get("memory_mb", 0),
    )
