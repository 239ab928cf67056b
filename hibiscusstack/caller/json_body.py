"""Strict reading of JSON bodies that come from outside."""

__all__ = ["MAX_JSON_DEPTH", "parse_json_body"]

import json
import math
from typing import Any

from hibiscusstack.exceptions import InvalidInputError

MAX_JSON_DEPTH = 32
MAX_INTEGER_BITS = 64
MAX_SHOWN_CHARACTERS = 40
CONTAINERS = (dict, list)


def parse_json_body(body: bytes, max_depth: int = MAX_JSON_DEPTH) -> Any:
    r"""Return the value of a JSON text in UTF-8.

    Everything that two readers could understand differently is refused: another
    encoding, a byte order mark, a name that stands twice in one object, numbers that
    are not finite or exceed 64 bits, and lone surrogates. So is nesting beyond
    ``max_depth``. Each fault raises
    :class:`~hibiscusstack.exceptions.InvalidInputError`. The cost is linear in the
    length of the body.

    >>> parse_json_body(b'{"a": [1, 2]}')
    {'a': [1, 2]}
    >>> parse_json_body(b'{"a": 1, "a": 2}')
    Traceback (most recent call last):
    hibiscusstack.exceptions.InvalidInputError: body: expected each name once, found 'a'
    """
    text = _decode_utf8(body)
    try:
        value = json.loads(
            text,
            object_pairs_hook=_object_with_unique_names,
            parse_constant=_refuse_constant,
            parse_float=_parse_finite_float,
            parse_int=_parse_bounded_integer,
        )
    except json.JSONDecodeError as error:
        raise InvalidInputError(
            f"body, character {error.pos}", "JSON", error.msg
        ) from (None)
    except RecursionError:
        raise _too_deep(max_depth) from None
    _check_depth(value, max_depth)
    _check_characters(text, value)
    return value


def _decode_utf8(body: bytes) -> str:
    try:
        return body.decode("utf-8")
    except UnicodeDecodeError as error:
        found = body[error.start : error.start + 1]
        raise InvalidInputError(f"body, byte {error.start}", "UTF-8", found) from None


def _object_with_unique_names(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    members = dict(pairs)
    if len(members) == len(pairs):
        return members
    seen: set[str] = set()
    for name, _ in pairs:
        if name in seen:
            raise InvalidInputError("body", "each name once", _shorten(name))
        seen.add(name)
    return members


def _refuse_constant(text: str) -> None:
    raise InvalidInputError("body", "a finite number", text)


def _parse_finite_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise InvalidInputError("body", "a finite number", _shorten(text))
    return number


def _parse_bounded_integer(text: str) -> int:
    if len(text) <= MAX_INTEGER_BITS:
        number = int(text)
        if number.bit_length() <= MAX_INTEGER_BITS:
            return number
    raise InvalidInputError("body", "an integer of up to 64 bits", _shorten(text))


def _check_depth(value: Any, max_depth: int) -> None:
    level = [value] if isinstance(value, CONTAINERS) else []
    for _ in range(max_depth):
        if not level:
            return
        level = [
            item
            for parent in level
            for item in (parent.values() if isinstance(parent, dict) else parent)
            if isinstance(item, CONTAINERS)
        ]
    if level:
        raise _too_deep(max_depth)


def _check_characters(text: str, value: Any) -> None:
    if "\\u" not in text:
        return
    try:
        json.dumps(value, ensure_ascii=False).encode("utf-8")
    except UnicodeEncodeError:
        expected = "characters of Unicode"
        raise InvalidInputError("body", expected, "a lone surrogate") from None


def _too_deep(max_depth: int) -> InvalidInputError:
    return InvalidInputError("body", f"nesting up to {max_depth}", "deeper nesting")


def _shorten(text: str) -> str:
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return text[:MAX_SHOWN_CHARACTERS] + "…"
