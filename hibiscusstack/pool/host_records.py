"""Log records of hosts: registrations with peer addresses, and terms."""

__all__ = [
    "HostRecord",
    "TERM_KEY",
    "decode_host",
    "decode_term",
    "encode_host",
    "encode_term",
    "host_key",
]

import json
from typing import Any

import attrs

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.exceptions import DecodeError
from hibiscusstack.pool.interfaces import KeyedRecord
from hibiscusstack.pool.json_values import load_json

TERM_KEY = "term"
_HOST_PREFIX = "host/"
_MAX_PORT = 65_535


@attrs.frozen
class HostRecord:
    """Registration of one run of a host: its name and the address for its peers."""

    name: HostName
    address: str
    port: int


def host_key(name: HostName) -> str:
    """Return the record key of a host's registration.

    >>> host_key(HostName("dc1", "a", 7))
    'host/dc1/a'
    """
    return f"{_HOST_PREFIX}{name.data_centre}/{name.name}"


def encode_host(record: HostRecord) -> bytes:
    """Return the record value of a host's registration."""
    return json.dumps(
        [*_host_name_fields(record.name), record.address, record.port]
    ).encode()


def decode_host(record: KeyedRecord) -> HostRecord | None:
    """Return the registration in a record, or None for any other kind of record.

    Raises :class:`~hibiscusstack.exceptions.DecodeError` if the value is malformed.
    """
    if not record.key.startswith(_HOST_PREFIX) or record.value is None:
        return None
    values = _decode_fields(record, (str, str, int, str, int))
    if not 0 <= values[4] <= _MAX_PORT:
        raise DecodeError(record.key, "a port", values[4])
    return HostRecord(HostName(*values[:3]), values[3], values[4])


def encode_term(holder: HostName) -> bytes:
    """Return the value of the record that begins a term of ``holder``."""
    return json.dumps(_host_name_fields(holder)).encode()


def decode_term(record: KeyedRecord) -> HostName | None:
    """Return the holder of the term that a record begins, or None.

    Raises :class:`~hibiscusstack.exceptions.DecodeError` if the value is malformed.
    """
    if record.key != TERM_KEY or record.value is None:
        return None
    return HostName(*_decode_fields(record, (str, str, int)))


def _host_name_fields(name: HostName) -> list[str | int]:
    return [name.data_centre, name.name, name.incarnation]


def _decode_fields(record: KeyedRecord, types: tuple[type, ...]) -> list[Any]:
    values = load_json(record.key, record.value)
    if not isinstance(values, list) or tuple(map(type, values)) != types:
        raise DecodeError(record.key, "a JSON array of host fields", values)
    return values
