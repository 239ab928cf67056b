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
    "require_runnable",
]

import json
from typing import Any

import attrs

from hibiscusstack.exceptions import DecodeError
from hibiscusstack.pool.interfaces import KeyedRecord
from hibiscusstack.pool.jobs import PoolJob, Resources, Step, TaskKey
from hibiscusstack.pool.json_values import (
    load_json,
    require_integer,
    require_number,
    require_text,
)
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
            pool=require_text("pool", pool),
            payload=_require_payload(values[8]),
            steps=tuple(map(_decode_step, values[9])),
            priority=require_integer("priority", priority, 0),
            max_attempts=require_integer("max_attempts", attempts, 0),
            stretch=require_number("stretch", stretch),
            target_latency_ms=require_number("target_latency_ms", values[7]),
        )
    except (ValueError, TypeError):
        raise DecodeError(record.key, "a job record", record.value[:80]) from None
    return JobRecord(
        require_text("queue", queue), job, require_integer("submitted_ms", submitted_ms)
    )


def require_runnable(job: PoolJob) -> None:
    """Raise :class:`~hibiscusstack.exceptions.DecodeError` for impossible steps.

    A job needs a task, and each step may follow only earlier ones.
    """
    for number, step in enumerate(job.steps):
        if any(earlier >= number for earlier in step.after):
            raise DecodeError(job.job_id, "steps that follow earlier ones", step.after)
    if not 0 < sum(step.count for step in job.steps) <= MAX_TASKS:
        raise DecodeError(job.job_id, "a number of tasks in range", len(job.steps))


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
        queue, state = require_text("queue", values[1]), StoredState(values[2])
        progress = None
        if len(values) > 3:
            failed = {
                _decode_key(row): [require_integer("run", run, 0) for run in row[2]]
                for row in values[4]
            }
            done = [_decode_bits(bits) for bits in values[3]]
            rows = values[5] if len(values) > 5 else ()
            checkpoints = {
                _decode_key(row): (
                    require_integer("run", row[2], 0),
                    _require_payload(row[3]),
                )
                for row in rows
            }
            progress = JobProgress(done, failed, checkpoints)
        elif state in (StoredState.QUEUED, StoredState.RUNNING):
            raise ValueError("an unfinished job without progress")
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


def _decode_key(row: list[Any]) -> TaskKey:
    return require_integer("step", row[0], 0), require_integer("task", row[1], 0)


def _decode_bits(text: str) -> int:
    bits = int(text, 16)
    if bits < 0:
        raise ValueError(bits)
    return bits


def _require_payload(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(type(value))
    return value


def _decode_step(values: list[Any]) -> Step:
    if len(values) not in (_STEP_FIELD_COUNT, _STEP_FIELD_COUNT + 1):
        raise ValueError(len(values))
    count, *numbers = (require_integer("step", each, 0) for each in values[:5])
    after, requires, data_rack, anti_affinity = values[5:_STEP_FIELD_COUNT]
    return Step(
        count,
        Resources(*numbers[:3]),
        numbers[3],
        tuple(require_integer("after", each, 0) for each in after),
        require_text("requires", requires),
        require_text("data_rack", data_rack),
        require_integer("anti_affinity", anti_affinity, 0),
        len(values) > _STEP_FIELD_COUNT,
    )


def _encode(values: list[Any]) -> bytes:
    text = json.dumps(values, separators=(",", ":"), ensure_ascii=False)
    return text.encode(errors="surrogatepass")


def _decode(record: KeyedRecord) -> list[Any]:
    values = load_json(record.key, record.value)
    if not isinstance(values, list) or not values or values[0] != _VERSION:
        raise DecodeError(
            record.key, f"a list that begins with version {_VERSION}", record.value[:80]
        )
    return values
