"""The records of the configuration log and their text form."""

__all__ = [
    "Change",
    "Checkpoint",
    "ConfigurationRecord",
    "RecordMalformed",
    "Replacement",
    "format_record",
    "parse_record",
]

import json
from typing import Any

import attrs
from expression import Error, Ok, Result

FORMAT_VERSION = 1
MAX_RECORD_CHARACTERS = 262_144
MAX_FIELD_CHARACTERS = 200


@attrs.frozen
class Change:
    """A new version, accepted only while the version ``parent`` is in force.

    ``parent`` is the offset of that version. ``nonce`` identifies the publication, so
    the publisher can recognise its own record.
    """

    parent: int
    publisher: str
    nonce: str
    body: str


@attrs.frozen
class Checkpoint:
    """A snapshot: after the record at ``after``, ``version`` was in force.

    ``version`` is the offset of the version and ``body`` its text. A checkpoint changes
    nothing and stays true at any position in the log, so a reader that missed records
    can start from it and replay the records that follow ``after``.
    """

    version: int
    after: int
    body: str


@attrs.frozen
class Replacement:
    """A new version that is accepted regardless of the version in force.

    It is needed when no reader is left that knows the version in force.
    """

    publisher: str
    nonce: str
    body: str


@attrs.frozen
class RecordMalformed:
    """The text is not a configuration record; every host comes to the same result.

    ``cause`` names the part of the record that is invalid.
    """

    cause: str


ConfigurationRecord = Change | Checkpoint | Replacement

_CLASS_BY_KIND: dict[str, type] = {
    "change": Change,
    "checkpoint": Checkpoint,
    "replacement": Replacement,
}
_KIND_BY_CLASS = {kind: name for name, kind in _CLASS_BY_KIND.items()}


def format_record(record: ConfigurationRecord) -> str:
    """Return the text of a record.

    >>> format_record(Checkpoint(version=4, after=9, body="[a]"))
    '{"after":9,"body":"[a]","format":1,"kind":"checkpoint","version":4}'
    """
    fields = attrs.asdict(record)
    fields["format"] = FORMAT_VERSION
    fields["kind"] = _KIND_BY_CLASS[type(record)]
    return json.dumps(fields, sort_keys=True, separators=(",", ":"))


def parse_record(text: str) -> Result[ConfigurationRecord, RecordMalformed]:
    """Return the record that ``text`` holds, or ``RecordMalformed``.

    Only the fields are validated and never the content of the body, so hosts of
    different releases accept the same records. Every field must be present, no others
    are allowed, and each is an integer or text that UTF-8 can encode.

    >>> parse_record("{}").error
    RecordMalformed(cause='format')
    """
    if len(text) > MAX_RECORD_CHARACTERS:
        return Error(RecordMalformed("length"))
    try:
        fields = json.loads(text)
    except (ValueError, RecursionError):
        return Error(RecordMalformed("json"))
    if not isinstance(fields, dict):
        return Error(RecordMalformed("json"))
    found_format = fields.pop("format", None)
    if not _is_offset(found_format) or found_format != FORMAT_VERSION:
        return Error(RecordMalformed("format"))
    kind = fields.pop("kind", None)
    if not isinstance(kind, str) or kind not in _CLASS_BY_KIND:
        return Error(RecordMalformed("kind"))
    return _build_record(_CLASS_BY_KIND[kind], fields)


def _build_record(
    kind: type, fields: dict[str, Any]
) -> Result[ConfigurationRecord, RecordMalformed]:
    expected = attrs.fields_dict(kind)
    if fields.keys() != expected.keys():
        return Error(RecordMalformed("fields"))
    for name, value in fields.items():
        if not _FIELD_CHECKS[name](value):
            return Error(RecordMalformed(name))
    record = kind(**fields)
    if isinstance(record, Checkpoint) and record.version > record.after:
        return Error(RecordMalformed("version"))
    return Ok(record)


def _is_offset(value: object) -> bool:
    return type(value) is int and 0 <= value < 2**63


def _is_text(value: object) -> bool:
    if not isinstance(value, str):
        return False
    try:
        value.encode("utf-8")
    except UnicodeEncodeError:
        return False
    return True


def _is_short_text(value: object) -> bool:
    return _is_text(value) and 0 < len(value) <= MAX_FIELD_CHARACTERS


_FIELD_CHECKS = {
    "parent": _is_offset,
    "version": _is_offset,
    "after": _is_offset,
    "publisher": _is_short_text,
    "nonce": _is_short_text,
    "body": _is_text,
}
