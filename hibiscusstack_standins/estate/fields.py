"""Readers of the fields of a call, which raise ``InvalidInputError``."""

__all__ = ["is_whole", "read_text", "read_texts", "read_whole"]

from collections.abc import Mapping
from typing import Any

from hibiscusstack.exceptions import InvalidInputError


def is_whole(value: object) -> bool:
    """Return whether ``value`` is a whole number and no boolean.

    >>> is_whole(3), is_whole(3.0), is_whole(True)
    (True, False, False)
    """
    return isinstance(value, int) and not isinstance(value, bool)


def read_whole(fields: Mapping[str, Any], name: str, default: int | None = None) -> int:
    """Return a whole number from 0, also where a query spells it as a string.

    >>> read_whole({"part": "3"}, "part")
    3
    >>> read_whole({}, "wait_ms", 0)
    0
    """
    value = fields.get(name, default)
    if isinstance(value, str) and value.isascii() and value.isdigit():
        value = int(value)
    if not is_whole(value) or value < 0:
        raise InvalidInputError(name, "a whole number from 0", value)
    return value


def read_text(fields: Mapping[str, Any], name: str, default: str | None = None) -> str:
    """Return a string; without a default it must not be empty."""
    value = fields.get(name, default)
    if not isinstance(value, str) or (default is None and not value):
        raise InvalidInputError(name, "a string", value)
    return value


def read_texts(fields: Mapping[str, Any], name: str) -> list[str]:
    """Return a list of strings."""
    value = fields.get(name)
    if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
        raise InvalidInputError(name, "a list of strings", value)
    return value
