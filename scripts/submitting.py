"""Callers that submit jobs over HTTP and submit again what may have been lost."""

__all__ = ["Caller", "Submission"]

import http.client
import json
import time
from collections.abc import Sequence
from typing import Any
from urllib.parse import urlsplit

import attrs

ANSWER_TIMEOUT_S = 60
RETRY_PAUSE_S = 0.3
MAX_ATTEMPTS = 20
ATTEMPT_REASONS = ("not-ready", "draining", "owner-unreachable", "id-expired")


@attrs.define
class Submission:
    """One job of one caller: what was sent, and the answer that came."""

    job_id: str
    body: dict[str, Any]
    attempts: int = 0
    sends_of_id: int = 0
    answer: dict[str, Any] | None = None
    extra_answers: list[dict[str, Any]] = attrs.field(factory=list)
    abandoned_ids: list[str] = attrs.field(factory=list)

    @property
    def outcome(self) -> str:
        """Return the outcome that the caller was told, if any."""
        return "" if self.answer is None else self.answer["outcome"]


class Caller:
    """Submits jobs through whichever host answers.

    A job is submitted again under the same id after a lost connection, and under a
    fresh id only after a *not run* of its first attempt.
    """

    def __init__(
        self,
        name: str,
        urls: Sequence[str],
        turn: int = 0,
        max_attempts: int = MAX_ATTEMPTS,
        answer_timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> None:
        self._name = name
        self._urls = list(urls)
        self._turn = turn
        self._max_attempts = max_attempts
        self._answer_timeout_s = answer_timeout_s

    def submit(self, body: dict[str, Any], resubmits: bool) -> Submission:
        """Return the submission with its final answer, or without any."""
        submission = Submission("", {**body, "caller": self._name})
        while submission.answer is None and submission.attempts < self._max_attempts:
            self._attempt(submission)
        if resubmits and submission.answer is not None:
            self._submit_again(submission)
        return submission

    def _attempt(self, submission: Submission) -> None:
        submission.attempts += 1
        url = self._next_url()
        if not submission.job_id:
            submission.job_id = self._take_id(url)
            submission.sends_of_id = 0
        if submission.job_id:
            self._send(url, submission)
        if submission.answer is None:
            time.sleep(RETRY_PAUSE_S)

    def _send(self, url: str, submission: Submission) -> None:
        answer = self._post(url, submission)
        if answer is None:
            return
        if not _speaks_of_one_attempt(answer):
            submission.answer = answer
        elif submission.sends_of_id == 1:
            submission.abandoned_ids.append(submission.job_id)
            submission.job_id = ""

    def _submit_again(self, submission: Submission) -> None:
        answer = self._post(self._next_url(), submission)
        if answer is not None:
            submission.extra_answers.append(answer)

    def _take_id(self, url: str) -> str:
        status, body = _post_json(f"{url}/v1/ids", {"count": 1}, ANSWER_TIMEOUT_S)
        return body["ids"][0] if status == 200 and body["ids"] else ""

    def _post(self, url: str, submission: Submission) -> dict[str, Any] | None:
        body = {
            **submission.body,
            "id": submission.job_id,
            "is_first_attempt": submission.sends_of_id == 0,
        }
        status, answer = self._post_job(url, body)
        submission.sends_of_id += status is not None
        if status == 200:
            return answer
        return answer.get("answer")

    def _post_job(
        self, url: str, body: dict[str, Any]
    ) -> tuple[int | None, dict[str, Any]]:
        return _post_json(f"{url}/v1/jobs", body, self._answer_timeout_s)

    def _next_url(self) -> str:
        self._turn += 1
        return self._urls[self._turn % len(self._urls)]


def _speaks_of_one_attempt(answer: dict[str, Any]) -> bool:
    """Tell whether a *not run* leaves open what earlier attempts did."""
    reason = (answer.get("problem") or {}).get("reason", "")
    return answer["outcome"] == "not_run" and reason in ATTEMPT_REASONS


def _post_json(
    url: str, body: dict[str, Any], timeout_s: float
) -> tuple[int | None, dict[str, Any]]:
    """Return status and body of an answer.

    The status is 0 when no answer came, and ``None`` when nothing was sent.
    """
    parts = urlsplit(url)
    connection = http.client.HTTPConnection(
        parts.hostname, parts.port, timeout=timeout_s
    )
    try:
        connection.connect()
    except OSError:
        return None, {}
    try:
        headers = {"Content-Type": "application/json"}
        connection.request("POST", parts.path, json.dumps(body), headers)
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    except (OSError, http.client.HTTPException, ValueError):
        return 0, {}
    finally:
        connection.close()
