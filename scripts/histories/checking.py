"""The checker of histories: every promise of the product, one by one."""

__all__ = ["Promise", "Violation", "check_history"]

from collections import Counter, defaultdict
from collections.abc import Iterable
from enum import Enum

import attrs

from scripts.audit import Finding, audit_submissions
from scripts.histories.records import ConfigurationSeen, History, Published

LEAVING_MS = 3_000
IN_FORCE_MS = 6_000


class Promise(Enum):
    """What must always hold."""

    STARTS_ONCE = "no task starts twice"
    WHOLE_ANSWER = "an answer is whole or failed"
    OWN_ANSWER = "every caller gets the answer to its own request"
    NOT_RUN_IS_TRUE = "what was told as not run did not run"
    AT_MOST_ONCE = "what is not idempotent runs at most once"
    LEAVING = "a leaving target gets no new work"
    GRACEFUL_STOP = "a planned stop cuts off no request"
    IN_FORCE = "an accepted configuration is in force everywhere in time"
    NEVER_BACK = "a configuration never reverts"
    ONE_WINNER = "of racing changes one is accepted"


_PROMISE_OF_FINDING = {
    Finding.PARTIAL: Promise.WHOLE_ANSWER,
    Finding.FOREIGN: Promise.OWN_ANSWER,
    Finding.MISSING: Promise.OWN_ANSWER,
    Finding.FALSE: Promise.NOT_RUN_IS_TRUE,
    Finding.CHANGED: Promise.OWN_ANSWER,
}


@attrs.frozen
class Violation:
    """One broken promise of one history."""

    seed: int
    promise: Promise
    detail: str


def check_history(history: History) -> list[Violation]:
    """Return every violation that the records of a run show."""
    checks = (
        _check_answers(history),
        _check_starts(history),
        _check_leaving(history),
        _check_graceful_stops(history),
        _check_in_force(history),
        _check_never_back(history),
        _check_one_winner(history),
    )
    return [
        Violation(history.seed, promise, detail)
        for found in checks
        for promise, detail in found
    ]


Found = Iterable[tuple[Promise, str]]


def _count_starts(history: History) -> Counter[tuple[str, int]]:
    starts: Counter[tuple[str, int]] = Counter()
    for start in history.starts:
        job_id, index = start.task.rsplit("/", 1)
        starts[job_id, int(index)] += 1
    return starts


def _check_answers(history: History) -> Found:
    audit = audit_submissions(history.submissions, _count_starts(history))
    for finding, job_id, detail in audit.findings:
        yield _PROMISE_OF_FINDING[finding], f"{job_id}: {detail}"


def _check_starts(history: History) -> Found:
    tasks_of = {
        job_id: submission.body["tasks"]
        for submission in history.submissions
        for job_id in (submission.job_id, *submission.abandoned_ids)
    }
    for (job_id, index), count in _count_starts(history).items():
        if count == 1:
            continue
        detail = f"{job_id}/{index} started {count} times"
        yield Promise.STARTS_ONCE, detail
        tasks = tasks_of.get(job_id)
        if tasks is not None and not tasks[index].get("idempotent", True):
            yield Promise.AT_MOST_ONCE, detail


def _check_leaving(history: History) -> Found:
    for mark in history.leaving:
        for start in history.starts:
            late_ms = start.at_ms - mark.at_ms
            is_later = late_ms > LEAVING_MS and start.at_ms < mark.until_ms
            if start.target == mark.target and is_later:
                yield Promise.LEAVING, f"{start.target} started {late_ms} ms later"


def _check_graceful_stops(history: History) -> Found:
    for stop in history.stops:
        if stop.exit_code != 0:
            detail = f"{stop.host} ended with exit code {stop.exit_code}"
            yield Promise.GRACEFUL_STOP, detail
        for attempt in history.attempts:
            is_later = attempt.host == stop.host and attempt.ended_ms >= stop.at_ms
            if is_later and attempt.status == 0 and not attempt.has_waited_in_vain:
                detail = (
                    f"{attempt.job_id} at {stop.host} was cut off, begun"
                    f" {attempt.began_ms - stop.at_ms} ms after the stop and ended"
                    f" {attempt.ended_ms - attempt.began_ms} ms later"
                )
                yield Promise.GRACEFUL_STOP, detail


def _check_in_force(history: History) -> Found:
    for change in history.published:
        if not change.offset:
            continue
        for seen in history.seen:
            if seen.offset < change.offset and _is_overdue(history, change, seen):
                late_ms = seen.at_ms - change.answered_ms
                detail = f"{seen.host} lacks {change.offset} after {late_ms} ms"
                yield Promise.IN_FORCE, detail


def _is_overdue(history: History, change: Published, seen: ConfigurationSeen) -> bool:
    since_ms = change.answered_ms
    for gap in history.unavailable:
        if gap.host == seen.host and gap.from_ms <= seen.at_ms:
            since_ms = max(since_ms, gap.to_ms)
    return seen.at_ms - since_ms > IN_FORCE_MS


def _check_never_back(history: History) -> Found:
    by_process: dict[tuple[str, int], list[ConfigurationSeen]] = defaultdict(list)
    for seen in history.seen:
        by_process[seen.host, seen.process].append(seen)
    for (host, _), observations in by_process.items():
        ordered = sorted(observations, key=lambda seen: seen.at_ms)
        for earlier, later in zip(ordered, ordered[1:], strict=False):
            if later.offset < earlier.offset:
                detail = f"{host} went from {earlier.offset} to {later.offset}"
                yield Promise.NEVER_BACK, detail


def _check_one_winner(history: History) -> Found:
    accepted = {(c.parent, c.offset) for c in history.published if c.offset}
    for parent, count in Counter(parent for parent, _ in accepted).items():
        if count > 1:
            yield Promise.ONE_WINNER, f"{count} changes replaced version {parent}"
