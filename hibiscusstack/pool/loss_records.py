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
from hibiscusstack.pool.json_values import load_json, require_text
from hibiscusstack.pool.target_losses import LossEvidence, TargetLoss, TargetLosses

_LOSS_PREFIX = "lost/"
_GIVEN_UP_PREFIX = "given-up/"
_MAX_INSTANCE_DIGITS = 100


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
    fields = load_json(record.key, record.value)
    try:
        evidence, is_single, tasks = fields
        return TargetLoss(
            target,
            instance_started_ms,
            frozenset(require_text(record.key, task) for task in tasks),
            LossEvidence(evidence),
            is_single is True,
        )
    except (ValueError, TypeError):
        raise DecodeError(record.key, "fields of a loss", fields) from None


def apply_loss_records(
    losses: TargetLosses, records: Iterable[KeyedRecord], is_snapshot: bool
) -> bool:
    """Apply the records of losses and given-up jobs; return whether there were any.

    A snapshot replaces all that was read before. What this host has noted since and
    not saved yet stays. Records that can't be decoded are logged and skipped.
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
        if record.value is not None:
            losses.apply_given_up(job_id, _decode_cause(record))
        elif job_id not in losses.unsaved:
            losses.discard_given_up(job_id)
        return True
    if not record.key.startswith(_LOSS_PREFIX):
        return False
    key = _decode_loss_key(record.key)
    loss = None if record.value is None else decode_loss(record)
    if key in losses.unsaved and not _is_stronger(loss, losses.loss(key)):
        return True
    if loss is None:
        losses.discard(key)
    else:
        losses.apply(loss)
    return True


def _is_stronger(read: TargetLoss | None, noted: TargetLoss | None) -> bool:
    """Return whether a loss that was read shows more than one that was noted here."""
    return read is not None and noted is not None and read.evidence > noted.evidence


def _decode_loss_key(key: str) -> tuple[str, int]:
    instance, _, target = key.removeprefix(_LOSS_PREFIX).partition("/")
    is_number = instance.isascii() and instance.isdigit()
    if not (is_number and len(instance) <= _MAX_INSTANCE_DIGITS and target):
        raise DecodeError(key, "an instance and a target", key)
    return target, int(instance)


def _decode_cause(record: KeyedRecord) -> str:
    return require_text(record.key, load_json(record.key, record.value))
