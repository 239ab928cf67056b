"""Strict decoding of JSON that other programs may have written.

Python's decoder accepts values that JSON or the program's arithmetic doesn't: NaN and
Infinity, numbers beyond the range of a float, and whole numbers of any length. Here
every such value is a :class:`~hibiscusstack.exceptions.DecodeError`.
"""

__all__ = ["load_json", "require_integer", "require_number", "require_text"]

import json
import math
from typing import Any, NoReturn

from hibiscusstack.exceptions import DecodeError

MAX_INTEGER = 2**63 - 1
_MAX_INTEGER_CHARACTERS = 20
_SHOWN_BYTES = 80


def load_json(where: str, data: bytes | None) -> Any:
    """Return the value in ``data``; ``where`` names it in the error.

    >>> load_json("w", b'{"cpu": 500}')
    {'cpu': 500}
    >>> load_json("w", b'{"cpu": NaN}')
    Traceback (most recent call last):
    hibiscusstack.exceptions.DecodeError: w: expected JSON, found b'{"cpu": NaN}'
    """
    try:
        return json.loads(
            data or b"",
            parse_constant=_refuse_constant,
            parse_float=_parse_float,
            parse_int=_parse_integer,
        )
    except (ValueError, RecursionError):
        raise DecodeError(where, "JSON", (data or b"")[:_SHOWN_BYTES]) from None


def require_integer(where: str, value: object, minimum: int = -MAX_INTEGER) -> int:
    """Return a whole number of at least ``minimum`` that fits into 64 bits.

    >>> require_integer("born", 7)
    7
    """
    if type(value) is not int or not minimum <= value <= MAX_INTEGER:
        raise DecodeError(where, "a whole number in range", value)
    return value


def require_number(where: str, value: object) -> float:
    """Return a finite number of at least 0.

    >>> require_number("stretch", 2)
    2
    """
    if type(value) not in (int, float) or not 0 <= value <= MAX_INTEGER:
        raise DecodeError(where, "a number of at least 0", value)
    return value


def require_text(where: str, value: object) -> str:
    """Return a string that can be encoded, so one without lone surrogates.

    >>> require_text("pool", "p")
    'p'
    """
    if not isinstance(value, str):
        raise DecodeError(where, "a string", value)
    try:
        value.encode()
    except UnicodeEncodeError:
        raise DecodeError(where, "a string of whole characters", value) from None
    return value


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not a JSON value")


def _parse_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"{text[:_SHOWN_BYTES]} exceeds the range of a float")
    return number


def _parse_integer(text: str) -> int:
    if len(text) > _MAX_INTEGER_CHARACTERS or abs(number := int(text)) > MAX_INTEGER:
        raise ValueError("a whole number exceeds 64 bits")
    return number
