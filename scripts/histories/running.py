"""One run: processes, faults, callers, operators and those who watch."""

__all__ = ["run_history"]

import random
import time
import urllib.error
import urllib.request
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from scripts.histories.faults import Fault, FaultKind, draw_faults
from scripts.histories.operators import Operators
from scripts.histories.records import Attempt, History
from scripts.histories.site import GROUPS, HOSTS, HistorySite, now_ms
from scripts.submitting import Caller

CALLERS = 5
JOBS_PER_CALLER = 8
MAX_TASKS = 8
TIMEOUT_MS = 5_000
RESUBMIT_EVERY = 3
ANSWER_TIMEOUT_S = 12.0
IMPATIENT_TIMEOUT_S = 0.4
PAUSE_S = 0.1
READY_TIMEOUT_S = 0.3
NOT_READY_STATUS = 503
JOIN_TIMEOUT_S = 90


class RecordingCaller(Caller):
    """A caller behind a balancer that records each of its attempts.

    The balancer passes over a host that says it is not ready. It does not notice a
    host that says nothing.
    """

    def __init__(self, history: History, site: HistorySite, *args, **fields) -> None:
        super().__init__(*args, **fields)
        self._history = history
        self._site = site

    def _post_job(
        self, url: str, body: dict[str, Any]
    ) -> tuple[int | None, dict[str, Any]]:
        host = self._name_of(url)
        began_ms = now_ms()
        status, answer = super()._post_job(url, body)
        ended_ms = now_ms()
        is_in_vain = ended_ms - began_ms >= self._answer_timeout_s * 1000
        attempt = Attempt(body["id"], host, began_ms, ended_ms, status, is_in_vain)
        self._history.attempts.append(attempt)
        return status, answer

    def _next_url(self) -> str:
        self._urls = [host.caller_url for host in self._site.hosts.values()]
        for _ in self._urls:
            url = super()._next_url()
            if not _says_not_ready(url):
                break
        return url

    def _name_of(self, url: str) -> str:
        names = [n for n, host in self._site.hosts.items() if host.caller_url == url]
        return names[0] if names else "replaced"


def _says_not_ready(url: str) -> bool:
    try:
        with urllib.request.urlopen(f"{url}/readyz", timeout=READY_TIMEOUT_S):
            return False
    except urllib.error.HTTPError as error:
        return error.code == NOT_READY_STATUS
    except OSError:
        return False


def run_history(
    seed: int, folder: Path, kinds: Sequence[FaultKind] = tuple(FaultKind)
) -> History:
    """Return the records of one run with the faults of ``seed``, all of ``kinds``."""
    history = History(seed)
    site = HistorySite(folder, history)
    faults = draw_faults(seed, HOSTS, GROUPS, kinds)
    history.faults += [str(fault) for fault in faults]
    try:
        site.start_all()
        _run(history, site, faults)
    finally:
        site.stop()
    history.starts += site.read_journals()
    return history


def _run(history: History, site: HistorySite, faults: list[Fault]) -> None:
    operators = Operators(history, site)
    operators.start()
    began_s = time.monotonic()
    with ThreadPoolExecutor(CALLERS + len(faults)) as pool:
        calls = [pool.submit(_call, history, site, n) for n in range(CALLERS)]
        hits = [pool.submit(_inflict, site, fault, began_s) for fault in faults]
        for future in hits:
            future.result(JOIN_TIMEOUT_S)
        for future in calls:
            history.submissions += future.result(JOIN_TIMEOUT_S)
    operators.finish()


def _inflict(site: HistorySite, fault: Fault, began_s: float) -> None:
    _sleep_until(began_s + fault.at_ms / 1000)
    site.apply(fault)
    _sleep_until(began_s + (fault.at_ms + fault.duration_ms) / 1000)
    site.mend(fault)


def _sleep_until(time_s: float) -> None:
    time.sleep(max(0.0, time_s - time.monotonic()))


def _call(history: History, site: HistorySite, number: int) -> list:
    rng = random.Random(f"{history.seed} {number}")
    submissions = []
    for index in range(JOBS_PER_CALLER):
        is_impatient = rng.random() < 1 / 3
        timeout_s = IMPATIENT_TIMEOUT_S if is_impatient else ANSWER_TIMEOUT_S
        caller = RecordingCaller(
            history,
            site,
            f"caller-{number}",
            [],
            turn=rng.randrange(HOSTS),
            max_attempts=60,
            answer_timeout_s=timeout_s,
        )
        body = _draw_body(rng, f"{number}-{index}")
        submissions.append(caller.submit(body, index % RESUBMIT_EVERY == 0))
        time.sleep(rng.random() * PAUSE_S)
    return submissions


def _draw_body(rng: random.Random, name: str) -> dict[str, Any]:
    is_idempotent = rng.random() < 1 / 2
    tasks = [
        {
            "kind": "check" if is_idempotent else "book_turn",
            "payload": {"run_ms": rng.randint(20, 300), "value": f"{name}-{index}"},
            "idempotent": is_idempotent,
            "run_time_ms": 150,
        }
        for index in range(rng.randint(1, MAX_TASKS))
    ]
    return {"tasks": tasks, "timeout_ms": TIMEOUT_MS}
