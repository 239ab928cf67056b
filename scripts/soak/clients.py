"""Clients that send jobs to hosts and keep their connections open."""

__all__ = ["Attempt", "SoakClient", "SoakSubmission"]

import http.client
import json
import random
import threading
import time
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from hibiscusstack_standins.estate.jobs import Job
from hibiscusstack_standins.estate.queues import QUEUE_HOST, encode_job, job_path
from scripts.platform_site import PoolHostProcess
from scripts.pool_caller import ANSWER_TIMEOUT_S, RESEND_S, PoolSubmission

ASK_AGAIN_S = 0.3
CONNECT_AGAIN_S = 0.05
GONE = 410


@attrs.frozen
class Attempt:
    """A request that was sent as a whole.

    ``status`` is ``None`` if there was no answer; ``is_closed`` tells whether that is
    because the connection ended. ``host`` is the process that took the connection.
    """

    method: str
    host: PoolHostProcess
    sent_ms: int
    ended_ms: int
    status: int | None
    body: dict[str, Any]
    is_closed: bool = False


@attrs.define(eq=False)
class SoakSubmission(PoolSubmission):
    """A job with all attempts to submit it and to ask for it."""

    attempts: list[Attempt] = attrs.field(factory=list)


class SoakClient:
    """Sends jobs one after the other until each has ended, or until ``deadline``.

    It uses a connection until the host closes it. No job is begun after ``until``. Both
    are seconds of the monotonic clock.
    """

    def __init__(
        self,
        hosts: Callable[[], Sequence[PoolHostProcess]],
        rng: random.Random,
        until: float,
        deadline: float,
    ) -> None:
        self.given_up = threading.Event()
        self._hosts = hosts
        self._random = rng
        self._until = until
        self._deadline = deadline
        self._host: PoolHostProcess | None = None
        self._connection: http.client.HTTPConnection | None = None

    def run(self, jobs: Sequence[Job]) -> list[SoakSubmission]:
        """Send the jobs; return those that were begun."""
        submissions = []
        for job in jobs:
            if time.monotonic() >= self._until or self.given_up.is_set():
                break
            submissions.append(SoakSubmission(job))
            self._see_through(submissions[-1])
        self._close()
        return submissions

    def _see_through(self, submission: SoakSubmission) -> None:
        is_accepted = False
        while not submission.state and self._may_go_on():
            attempt = self._try(submission.job, "GET" if is_accepted else "POST")
            if attempt is None:
                self.given_up.wait(CONNECT_AGAIN_S)
                continue
            submission.attempts.append(attempt)
            if attempt.method == "POST":
                submission.statuses.append(attempt.status)
            state = attempt.body.get("state", "")
            if attempt.status == 200 and state in ("completed", "failed"):
                submission.state = state
                submission.completed_ms = attempt.ended_ms
            elif is_accepted or attempt.status == 200:
                is_accepted = True
                self.given_up.wait(ASK_AGAIN_S)
            else:
                retry_ms = attempt.body.get("retry_ms", RESEND_S * 1_000)
                self.given_up.wait(retry_ms / 1_000)

    def _may_go_on(self) -> bool:
        return time.monotonic() < self._deadline and not self.given_up.is_set()

    def _try(self, job: Job, method: str) -> Attempt | None:
        """Send a request and wait for its answer; return None if none could be sent."""
        if self._connection is None and not self._connect():
            return None
        body = _encode(job) if method == "POST" else None
        try:
            headers = {"Host": QUEUE_HOST}
            self._connection.request(method, job_path(job), body, headers)
        except OSError:
            self._close()
            return None
        sent_ms, host = _now_ms(), self._host
        status, content, is_closed = self._receive()
        return Attempt(method, host, sent_ms, _now_ms(), status, content, is_closed)

    def _receive(self) -> tuple[int | None, dict[str, Any], bool]:
        try:
            answer = self._connection.getresponse()
            content = json.loads(answer.read())
        except TimeoutError:
            self._close()
            return None, {}, False
        except (OSError, ValueError, http.client.HTTPException):
            self._close()
            return None, {}, True
        if answer.will_close:
            self._close()
        return answer.status, content, False

    def _connect(self) -> bool:
        host = self._random.choice(self._hosts())
        address, _, port = host.frontend.rpartition(":")
        connection = http.client.HTTPConnection(
            address, int(port), timeout=ANSWER_TIMEOUT_S
        )
        try:
            connection.connect()
        except OSError:
            return False
        # The host may have ended and started again in between.
        if host not in self._hosts():
            connection.close()
            return False
        self._host, self._connection = host, connection
        return True

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None


def _encode(job: Job) -> bytes:
    body = json.loads(encode_job(job))
    return json.dumps(body | {"best_effort": job.best_effort}).encode()


def _now_ms() -> int:
    return int(time.time() * 1_000)
