"""Orders of a modelled host to modelled workers, each with a fate of its own."""

__all__ = ["PATHS", "Fate", "MeddledOrders"]

from collections.abc import Callable
from typing import Any

import attrs

from hibiscusstack.pool.orders import (
    FencedOut,
    HoldOrder,
    HoldReply,
    NotReached,
    Refused,
    ReplyLost,
    RunEnd,
    Started,
    StartOrder,
    StopOrder,
    Stopped,
)
from hibiscusstack.pool.targets import ListedTarget
from hibiscusstack.pool.timing import CoordinatorTiming
from hibiscusstack_standins.estate.messages import Answer, Outcome, Request

PATHS = ("/run-start", "/run-stop", "/hold")

_TIMING = CoordinatorTiming()
_HOLD_SLACK_MS = 250
_REFUSALS = {400: "malformed", 421: "instance", 429: "unhealthy", 503: "unhealthy"}
_WIRE = "wire"


@attrs.frozen
class Fate:
    """What becomes of an order.

    ``kind`` is ``prompt``, ``unreached`` (nothing was written), ``lost`` (never carried
    out), ``late`` (carried out after ``delay_ms``, unanswered), ``unanswered`` (carried
    out at once) or ``slow`` (each way takes ``delay_ms`` more).
    """

    kind: str = "prompt"
    delay_ms: int = 0


@attrs.frozen
class _Call:
    """How an order is written, and how its reply is read."""

    path: str
    body: dict[str, Any]
    timeout_ms: int
    decode: Callable[[dict[str, Any]], Any]


@attrs.define(eq=False)
class _Waiting:
    """An order that waits for its one reply."""

    reply: Callable[[Any], None]
    is_open: bool = True

    def settle(self, reply: Any) -> None:
        """Give the reply, unless there was one."""
        if self.is_open:
            self.is_open = False
            self.reply(reply)


class MeddledOrders:
    """Sends orders over a network; ``host`` is told the replies while it lives.

    ``fates`` holds the fate of the orders to a worker by path, and until when it lasts;
    orders to workers in ``cuts``, and their replies, are lost.
    """

    def __init__(self, host, site) -> None:
        self.fates: dict[tuple[str, str], tuple[int, Fate]] = {}
        self.cuts: set[str] = set()
        self._host = host
        self._network = site.network
        self._workers = site.workers
        self._holders = site.holders
        self._connections = 0

    def start(self, target: ListedTarget, order: StartOrder) -> None:
        """Send a start."""
        body = {"spec": order.payload, "until_ms": order.until_ms}
        replied = self._host.coordinator.start_replied
        timeout_ms = _TIMING.start_timeout_ms
        body |= _run_of(order)
        call = _Call("/run-start", body, timeout_ms, _started)
        self._send(target, order, call, replied)

    def stop(self, target: ListedTarget, order: StopOrder) -> None:
        """Send a stop."""
        body, replied = _run_of(order), self._host.coordinator.stop_replied
        timeout_ms = _TIMING.order_retry_ms
        call = _Call("/run-stop", body, timeout_ms, _stopped)
        self._send(target, order, call, replied)

    def hold(self, target: ListedTarget, order: HoldOrder) -> None:
        """Send a hold."""
        body = {"fencing_token": order.token, "acked_through": order.acked_through}
        if order.until_ms is not None:
            body["until_ms"] = order.until_ms
        if order.wait_ms:
            body["wait_ms"] = order.wait_ms
        replied = self._host.coordinator.hold_replied
        timeout_ms = order.wait_ms + _HOLD_SLACK_MS
        call = _Call("/hold", body, timeout_ms, _held)
        self._send(target, order, call, replied)

    def close_connections(self, target: ListedTarget) -> None:
        """Close nothing."""

    def _send(self, target, order, call: _Call, replied) -> None:
        def reply(outcome: Any) -> None:
            if not self._host.is_over:
                replied(target.name, target.instance_started_ms, order, outcome)

        waiting, host = _Waiting(reply), self._host.party
        fate, after = self._fate_of(target, call.path), self._network.after
        if fate.kind == "unreached":
            after(
                host, 1, lambda: waiting.settle(NotReached("refused", is_refused=True))
            )
            return
        after(host, call.timeout_ms, lambda: waiting.settle(ReplyLost("timeout")))
        request = Request(call.path, call.body, caller=host)
        if fate.kind == "late":
            late = attrs.evolve(request, is_late=True)
            worker = self._workers[target.name]
            carry_out = lambda: worker.handle(self._network.now_ms, late)  # noqa: E731
            after(target.name, fate.delay_ms, carry_out)
        elif fate.kind != "lost":

            def answered(outcome: Outcome) -> None:
                if isinstance(outcome, Answer) and outcome.status == 200:
                    held = (target.name, outcome.body["born"], order.token)
                    self._holders[held].add(self._host.name)
                is_lost = fate.kind == "unanswered" or target.name in self.cuts
                if not is_lost:
                    told = _as_reply(outcome, call.decode)
                    after(host, fate.delay_ms, lambda: waiting.settle(told))

            self._connections += 1
            label = self._connections
            post = lambda: self._network.call(  # noqa: E731
                _WIRE, target.name, request, answered, 10_000, connection=label
            )
            after(_WIRE, fate.delay_ms, post)

    def _fate_of(self, target: ListedTarget, path: str) -> Fate:
        worker = self._workers[target.name]
        if target.name in self.cuts:
            return Fate("lost")
        if not worker.is_up or worker.plan.address != target.address:
            return Fate("unreached")
        until_ms, fate = self.fates.get((target.name, path), (0, Fate()))
        return fate if self._network.now_ms < until_ms else Fate()


def _run_of(order: StartOrder | StopOrder) -> dict[str, Any]:
    return {"task": order.task, "run": order.run, "fencing_token": order.token}


def _as_reply(outcome: Outcome, decode: Callable[[dict], Any]) -> Any:
    if not isinstance(outcome, Answer):
        is_sent = outcome.cause != "refused"
        return ReplyLost(outcome.cause) if is_sent else NotReached(outcome.cause, True)
    if outcome.status in _REFUSALS:
        return Refused(_REFUSALS[outcome.status])
    if outcome.status == 200:
        return decode(outcome.body)
    reason = outcome.body["reason"]
    return FencedOut() if reason == "fence" else Refused(reason)


def _started(body: dict[str, Any]) -> Started:
    return Started(body["clock_ms"])


def _stopped(body: dict[str, Any]) -> Stopped:
    return Stopped(body["clock_ms"])


def _held(body: dict[str, Any]) -> HoldReply:
    active = tuple((row[0], row[1]) for row in body["active"])
    ended = tuple(RunEnd(*row[:4]) for row in body["ended"])
    return HoldReply(body["clock_ms"], body["born"], active, ended)
