"""Encoding of the records of stored jobs in the log.

One topic holds a job record for each accepted job, the other a progress record. Both
are keyed by the job's id.
"""

__all__ = [
    "JOBS_TOPIC",
    "MAX_RECORD_BYTES",
    "MAX_TASKS",
    "PROGRESS_TOPIC",
    "TAKEOVER_COUNT_KEY",
    "JobRecord",
    "ProgressRecord",
    "decode_job_record",
    "decode_progress",
    "decode_takeover_count",
    "encode_job_record",
    "encode_progress",
    "encode_takeover_count",
]

import json
from typing import Any

import attrs

from hibiscusstack.exceptions import DecodeError
from hibiscusstack.pool.interfaces import KeyedRecord
from hibiscusstack.pool.jobs import PoolJob, Resources, Step
from hibiscusstack.pool.messages import StoredState
from hibiscusstack.pool.stored.progress import JobProgress

JOBS_TOPIC = "stored jobs"
PROGRESS_TOPIC = "stored progress"
TAKEOVER_COUNT_KEY = "terms"
MAX_RECORD_BYTES = 262_144
MAX_TASKS = 100_000
_VERSION = 1
_JOB_FIELD_COUNT = 10
_STEP_FIELD_COUNT = 9


@attrs.frozen
class JobRecord:
    """A job as it was accepted; ``submitted_ms`` is wall-clock time since the epoch."""

    queue: str
    job: PoolJob
    submitted_ms: int


@attrs.frozen
class ProgressRecord:
    """State and progress of a job; ``progress`` is None for a job that has ended."""

    queue: str
    state: StoredState
    progress: JobProgress | None = None


def encode_job_record(record: JobRecord) -> bytes:
    """Return the encoded value of a job record."""
    job = record.job
    steps = [_encode_step(step) for step in job.steps]
    queue_values = [job.pool, job.priority, job.max_attempts, job.stretch]
    return _encode(
        [
            _VERSION,
            record.queue,
            record.submitted_ms,
            *queue_values,
            job.target_latency_ms,
            job.payload,
            steps,
        ]
    )


def decode_job_record(record: KeyedRecord) -> JobRecord:
    """Return the decoded job record.

    Raises :class:`~hibiscusstack.exceptions.DecodeError` for a malformed value.
    """
    values = _decode(record)
    try:
        if len(values) != _JOB_FIELD_COUNT:
            raise ValueError(len(values))
        _, queue, submitted_ms, pool, priority, attempts, stretch = values[:7]
        job = PoolJob(
            job_id=record.key,
            pool=pool,
            payload=values[8],
            steps=tuple(map(_decode_step, values[9])),
            priority=priority,
            max_attempts=attempts,
            stretch=stretch,
            target_latency_ms=values[7],
        )
    except (ValueError, TypeError):
        raise DecodeError(record.key, "a job record", record.value[:80]) from None
    return JobRecord(queue, job, submitted_ms)


def encode_progress(record: ProgressRecord) -> bytes:
    """Return the encoded value of a progress record."""
    values: list[Any] = [_VERSION, record.queue, record.state.value]
    if record.progress is not None:
        progress = record.progress
        values.append([f"{bits:x}" for bits in progress.done_bits])
        values.append([[*key, runs] for key, runs in progress.failed_runs.items()])
        if progress.checkpoints:
            values.append([[*key, *last] for key, last in progress.checkpoints.items()])
    return _encode(values)


def decode_progress(record: KeyedRecord) -> ProgressRecord:
    """Return the decoded progress record.

    Raises :class:`~hibiscusstack.exceptions.DecodeError` for a malformed value.
    """
    values = _decode(record)
    try:
        queue, state = values[1], StoredState(values[2])
        progress = None
        if len(values) > 3:
            failed = {(row[0], row[1]): row[2] for row in values[4]}
            done = [int(bits, 16) for bits in values[3]]
            rows = values[5] if len(values) > 5 else ()
            checkpoints = {(row[0], row[1]): (row[2], row[3]) for row in rows}
            progress = JobProgress(done, failed, checkpoints)
    except (ValueError, TypeError, IndexError):
        raise DecodeError(record.key, "a progress record", record.value[:80]) from None
    return ProgressRecord(queue, state, progress)


def encode_takeover_count(count: int) -> bytes:
    """Return the encoded value of the takeover count."""
    return _encode([_VERSION, count])


def decode_takeover_count(record: KeyedRecord) -> int:
    """Return how often a coordinator has taken over the jobs so far.

    Raises :class:`~hibiscusstack.exceptions.DecodeError` for a malformed value.
    """
    values = _decode(record)
    if len(values) != 2 or type(values[1]) is not int:
        raise DecodeError(record.key, "a version and an integer takeover count", values)
    return values[1]


def _encode_step(step: Step) -> list[Any]:
    needs = step.needs
    values = [
        step.count,
        needs.cpu_milli,
        needs.memory_mb,
        needs.accelerators,
        step.estimate_ms,
        step.after,
        step.requires,
        step.data_rack,
        step.anti_affinity,
    ]
    return [*values, 1] if step.is_checkpointing else values


def _decode_step(values: list[Any]) -> Step:
    if len(values) not in (_STEP_FIELD_COUNT, _STEP_FIELD_COUNT + 1):
        raise ValueError(len(values))
    count, cpu, memory, accelerators, estimate_ms, after = values[:6]
    needs = Resources(cpu, memory, accelerators)
    is_checkpointing = len(values) > _STEP_FIELD_COUNT
    rest = values[6:_STEP_FIELD_COUNT]
    return Step(count, needs, estimate_ms, tuple(after), *rest, is_checkpointing)


def _encode(values: list[Any]) -> bytes:
    text = json.dumps(values, separators=(",", ":"), ensure_ascii=False)
    return text.encode(errors="surrogatepass")


def _decode(record: KeyedRecord) -> list[Any]:
    try:
        values = json.loads(record.value or b"")
    except (ValueError, RecursionError):
        raise DecodeError(record.key, "JSON", (record.value or b"")[:80]) from None
    if not isinstance(values, list) or not values or values[0] != _VERSION:
        raise DecodeError(
            record.key, f"a list that begins with version {_VERSION}", record.value[:80]
        )
    return values
