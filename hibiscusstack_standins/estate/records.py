"""The framing of records: a length of four bytes, then the content."""

__all__ = ["KeyedRecord", "frame", "frame_keyed", "split_keyed", "unframe"]

import attrs

from hibiscusstack.exceptions import DecodeError

_LENGTH_BYTES = 4


@attrs.frozen
class KeyedRecord:
    """A record of a keyed topic; an empty value drops the key."""

    key: str
    value: bytes


def frame(records: list[bytes]) -> bytes:
    r"""Return the records as the protocol frames them.

    >>> frame([b"ab"])
    b'\x00\x00\x00\x02ab'
    """
    return b"".join(len(r).to_bytes(_LENGTH_BYTES, "big") + r for r in records)


def unframe(data: bytes) -> list[bytes]:
    """Return the records in ``data``; raises ``DecodeError`` when it is cut short.

    >>> unframe(frame([b"ab", b""]))
    [b'ab', b'']
    """
    records = []
    position = 0
    while position < len(data):
        start = position + _LENGTH_BYTES
        position = start + int.from_bytes(data[start - _LENGTH_BYTES : start], "big")
        if start > len(data) or position > len(data):
            raise DecodeError("records", "whole records", data[-8:])
        records.append(data[start:position])
    return records


def frame_keyed(key: str, value: bytes) -> bytes:
    r"""Return the content of a keyed record.

    >>> frame_keyed("op", b"x")
    b'\x02opx'
    """
    name = key.encode()
    return bytes([len(name)]) + name + value


def split_keyed(record: bytes) -> KeyedRecord:
    """Return the key and the value, or raise ``DecodeError``.

    >>> split_keyed(frame_keyed("op", b"x"))
    KeyedRecord(key='op', value=b'x')
    """
    end = 1 + record[0] if record else 0
    if not 1 < end <= len(record):
        raise DecodeError("record", "a key and a value", record[:8])
    try:
        return KeyedRecord(record[1:end].decode(), record[end:])
    except UnicodeDecodeError as fault:
        raise DecodeError("key", "UTF-8", record[1:end]) from fault
