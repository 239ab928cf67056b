"""Processor time of the HTTP API for callers, without network and dispatcher.

Usage: python -m benches.caller_api [--jobs N]
"""

__all__ = ["main"]

import argparse
import json
import time

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from hibiscusstack.caller.api import CallerApi
from hibiscusstack.caller.limits import ApiLimits
from hibiscusstack.caller.service import IssuedIds, JobState
from hibiscusstack.caller.site import build_site
from hibiscusstack.dispatch.answers import JobAnswer, Outcome, Reason, TaskResult
from hibiscusstack.dispatch.jobs import Job

SIZES = (1, 20, 200)
DEFAULT_JOBS = 2_000
NANOSECONDS_PER_US = 1_000


class ImmediateService:
    """Answers every job with its payloads as soon as it is submitted."""

    def refusal_reason(self) -> Reason | None:
        """Refuse nothing."""

    def issue_ids(self, count: int) -> IssuedIds:
        """Return ids that need no work."""
        return IssuedIds(("dc1~h1~5~9",) * count, 60_000)

    def job_id_of_key(self, caller: str, key: str) -> str:
        """Return the key."""
        return key

    def submit(self, job: Job) -> Deferred[JobAnswer]:
        """Succeed at once."""
        results = tuple(
            TaskResult(task.index, Outcome.SUCCEEDED, task.payload, run_time_ms=50)
            for task in job.tasks
        )
        return succeed(JobAnswer(job.job_id, Outcome.SUCCEEDED, results))

    def status(self, job_id: str, caller: str) -> JobState | None:
        """Know no job."""

    def cancel(self, job_id: str, caller: str) -> bool:
        """Know no job."""
        return False


def main() -> None:
    """Print the processor time per job for each size of job."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, default=DEFAULT_JOBS)
    jobs = parser.parse_args().jobs
    for tasks in SIZES:
        cost_us = measure_job_cost_us(tasks, max(1, jobs // tasks))
        print(f"caller_api.job_of_{tasks}_tasks={cost_us:.1f} us")


def measure_job_cost_us(tasks: int, jobs: int) -> float:
    """Return the processor time of one job in microseconds."""
    resource = CallerApi(ImmediateService()).app.resource()
    channel = build_site(resource, ApiLimits(), Clock()).buildProtocol(None)
    transport = StringTransport()
    channel.makeConnection(transport)
    request = _format_request(tasks)
    begun_ns = time.process_time_ns()
    for _ in range(jobs):
        channel.dataReceived(request)
        transport.clear()
    return (time.process_time_ns() - begun_ns) / jobs / NANOSECONDS_PER_US


def _format_request(tasks: int) -> bytes:
    payload = {"script": "Muna Madan", "date": "2027-02-05", "run_ms": 80}
    task = {"kind": "check_availability", "payload": payload, "run_time_ms": 80}
    fields = {"id": "dc1~h1~5~9", "caller": "club-7", "tasks": [task] * tasks}
    body = json.dumps(fields).encode()
    head = "POST /v1/jobs HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


if __name__ == "__main__":
    main()
