"""Log records of lost targets and of the jobs that were given up for them."""

__all__ = [
    "apply_loss_records",
    "decode_loss",
    "encode_given_up",
    "encode_loss",
    "given_up_key",
    "loss_key",
]

import json
from collections.abc import Iterable

from eliot import log_message

from hibiscusstack.exceptions import DecodeError
from hibiscusstack.pool.interfaces import KeyedRecord
from hibiscusstack.pool.target_losses import LossEvidence, TargetLoss, TargetLosses

_LOSS_PREFIX = "lost/"
_GIVEN_UP_PREFIX = "given-up/"


def loss_key(key: tuple[str, int]) -> str:
    """Return the record key of the loss of a target instance.

    >>> loss_key(("t1", 5))
    'lost/5/t1'
    """
    target, instance_started_ms = key
    return f"{_LOSS_PREFIX}{instance_started_ms}/{target}"


def given_up_key(job_id: str) -> str:
    """Return the record key of a job that was given up.

    >>> given_up_key("5c0e")
    'given-up/5c0e'
    """
    return f"{_GIVEN_UP_PREFIX}{job_id}"


def encode_loss(loss: TargetLoss) -> bytes:
    """Return the value of the record of a loss."""
    fields = [int(loss.evidence), loss.is_single, sorted(loss.tasks)]
    return json.dumps(fields).encode()


def encode_given_up(cause: str) -> bytes:
    """Return the value of the record of a job that was given up."""
    return json.dumps(cause).encode()


def decode_loss(record: KeyedRecord) -> TargetLoss:
    """Return the loss in a record.

    Raises :class:`~hibiscusstack.exceptions.DecodeError` if the record is malformed.
    """
    target, instance_started_ms = _decode_loss_key(record.key)
    try:
        evidence, is_single, tasks = json.loads(record.value or b"")
        return TargetLoss(
            target,
            instance_started_ms,
            frozenset(map(_require_text, tasks)),
            LossEvidence(evidence),
            is_single is True,
        )
    except (ValueError, TypeError, RecursionError):
        raise DecodeError(record.key, "fields of a loss", record.value) from None


def apply_loss_records(
    losses: TargetLosses, records: Iterable[KeyedRecord], is_snapshot: bool
) -> bool:
    """Apply the records of losses and given-up jobs; return whether there were any.

    A snapshot replaces all that was read before. Records that can't be decoded are
    logged and skipped.
    """
    if is_snapshot:
        losses.replace_saved((), ())
    has_any = False
    for record in records:
        try:
            has_any |= _apply_record(losses, record)
        except DecodeError as error:
            log_message("pool:record_refused", level="warning", cause=str(error))
    return has_any


def _apply_record(losses: TargetLosses, record: KeyedRecord) -> bool:
    if record.key.startswith(_GIVEN_UP_PREFIX):
        job_id = record.key.removeprefix(_GIVEN_UP_PREFIX)
        if record.value is None:
            losses.discard_given_up(job_id)
        else:
            losses.apply_given_up(job_id, _decode_cause(record))
        return True
    if not record.key.startswith(_LOSS_PREFIX):
        return False
    if record.value is None:
        losses.discard(_decode_loss_key(record.key))
    else:
        losses.apply(decode_loss(record))
    return True


def _decode_loss_key(key: str) -> tuple[str, int]:
    instance, _, target = key.removeprefix(_LOSS_PREFIX).partition("/")
    if not (instance.isdecimal() and target):
        raise DecodeError(key, "an instance and a target", key)
    return target, int(instance)


def _decode_cause(record: KeyedRecord) -> str:
    try:
        return _require_text(json.loads(record.value))
    except (ValueError, TypeError, RecursionError):
        raise DecodeError(record.key, "a text", record.value) from None


def _require_text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected a text, found {value!r}")
    return value
