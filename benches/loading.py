"""Callers that load a dispatcher host over plain HTTP connections."""

__all__ = ["JobSender", "LatencySample", "percentile", "run_closed", "run_open"]

import json
import random
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import urlsplit

import attrs
from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.task import deferLater

from hibiscusstack.target.connection import HttpResponse
from hibiscusstack.target.pool import ConnectionPool

_ANSWER_TIMEOUT_MS = 30_000
_MAX_CONNECTIONS = 1_000
_IDS_PER_REQUEST = 100


@attrs.define
class LatencySample:
    """Latencies, and the number of calls that did not succeed."""

    latencies_ms: list[float] = attrs.field(factory=list)
    failures: int = 0


def percentile(values: list[float], part: float) -> float:
    """Return the value that ``part`` of all values do not exceed.

    >>> percentile([4.0, 1.0, 3.0, 2.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    rank = max(0, -(-len(ordered) * part // 1) - 1)
    return ordered[int(rank)]


class JobSender:
    """Submits jobs to one host under ids that it takes ahead."""

    def __init__(self, reactor: IReactorTCP, url: str) -> None:
        parts = urlsplit(url)
        self._host = f"{parts.hostname}:{parts.port}"
        self._pool = ConnectionPool(
            reactor, parts.hostname, parts.port, _MAX_CONNECTIONS
        )
        self._ids: list[str] = []

    async def submit(self, tasks: int, run_ms: int) -> bool:
        """Return whether a job of equal tasks succeeded."""
        if not self._ids:
            self._ids = (await self._post("/v1/ids", {"count": _IDS_PER_REQUEST}))[
                "ids"
            ]
        task = {
            "kind": "check",
            "payload": {"run_ms": run_ms, "value": 1},
            "run_time_ms": run_ms,
        }
        body = {
            "id": self._ids.pop(),
            "caller": "bench",
            "tasks": [task] * tasks,
        }
        answer = await self._post("/v1/jobs", body)
        return answer.get("outcome") == "succeeded"

    async def _post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        connection = self._pool.take_idle()
        if connection is None:
            connection = await self._pool.open(_ANSWER_TIMEOUT_MS)
        data = json.dumps(body).encode()
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {self._host}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
        )
        answer = await connection.exchange(head.encode() + data, _ANSWER_TIMEOUT_MS)
        if not isinstance(answer, HttpResponse):
            return {}
        if answer.keep_alive and connection.is_open:
            self._pool.release(connection)
        return json.loads(answer.body)


Call = Callable[[], Awaitable[bool]]


async def run_closed(
    reactor: IReactorTCP, call: Call, count: int, in_progress: int
) -> LatencySample:
    """Make ``count`` calls with a fixed number of them in progress."""
    sample = LatencySample()
    remaining = iter(range(count))

    async def work() -> None:
        for _ in remaining:
            await _measure(reactor, call, sample)

    workers = [Deferred.fromCoroutine(work()) for _ in range(in_progress)]
    await DeferredList(workers, fireOnOneErrback=True)
    return sample


async def run_open(
    reactor: IReactorTCP, call: Call, per_s: float, duration_s: float, seed: int
) -> LatencySample:
    """Make calls at random moments, whether or not earlier ones have ended."""
    sample = LatencySample()
    chance = random.Random(seed)
    begun_s = reactor.seconds()
    due_s = begun_s + chance.expovariate(per_s)
    calls = []
    while due_s < begun_s + duration_s:
        await deferLater(reactor, max(0, due_s - reactor.seconds()))
        calls.append(Deferred.fromCoroutine(_measure(reactor, call, sample)))
        due_s += chance.expovariate(per_s)
    await DeferredList(calls, fireOnOneErrback=True)
    return sample


async def _measure(reactor: IReactorTCP, call: Call, sample: LatencySample) -> None:
    started_s = reactor.seconds()
    if await call():
        sample.latencies_ms.append((reactor.seconds() - started_s) * 1000)
    else:
        sample.failures += 1
