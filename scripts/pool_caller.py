"""Callers of hosts of pools: each job is sent until it is answered."""

__all__ = ["PoolCaller", "PoolSubmission"]

import http.client
import json
import threading
import time
from typing import Any

import attrs

from hibiscusstack_standins.estate.jobs import Job
from hibiscusstack_standins.estate.queues import QUEUE_HOST, encode_job, job_path

RESEND_S = 1.3
ANSWER_TIMEOUT_S = 4
FINAL = (200, 400, 404)


@attrs.define
class PoolSubmission:
    """A job with the statuses of all attempts, ``None`` for no answer.

    ``state`` stays empty until a host says how the job ended.
    """

    job: Job
    statuses: list[int | None] = attrs.field(factory=list)
    state: str = ""
    completed_ms: int | None = None

    @property
    def is_over(self) -> bool:
        """Tell whether the job isn't sent again."""
        return bool(self.statuses) and self.statuses[-1] in FINAL

    def client_record(self) -> dict[str, Any]:
        """Return what the auditor needs to know."""
        record: dict[str, Any] = {"statuses": self.statuses}
        if self.completed_ms is not None:
            record["completed_ms"] = self.completed_ms
        return record


class PoolCaller:
    """Sends jobs to ``port`` of this machine, each on a connection of its own.

    No attempt begins after ``deadline``, in seconds of the monotonic clock.
    """

    def __init__(self, port: int, deadline: float) -> None:
        self._port = port
        self._deadline = deadline
        self._given_up = threading.Event()

    def give_up(self) -> None:
        """Begin no other attempt."""
        self._given_up.set()

    def submit(self, job: Job) -> PoolSubmission:
        """Send a job until it is answered."""
        submission = PoolSubmission(job)
        while not submission.is_over and self._may_go_on():
            status, body = self._post(job)
            submission.statuses.append(status)
            if status == 200:
                submission.state = body["state"]
                submission.completed_ms = int(time.time() * 1000)
            elif not submission.is_over:
                self._given_up.wait(body.get("retry_ms", RESEND_S * 1000) / 1000)
        return submission

    def _may_go_on(self) -> bool:
        return time.monotonic() < self._deadline and not self._given_up.is_set()

    def _post(self, job: Job) -> tuple[int | None, dict[str, Any]]:
        connection = http.client.HTTPConnection(
            "127.0.0.1", self._port, timeout=ANSWER_TIMEOUT_S
        )
        try:
            headers = {"Host": QUEUE_HOST}
            connection.request("POST", job_path(job), encode_job(job), headers)
            answer = connection.getresponse()
            return answer.status, json.loads(answer.read())
        except (OSError, ValueError, http.client.HTTPException):
            return None, {}
        finally:
            connection.close()
