"""Validation of fields in the platform's answers."""

__all__ = ["require_count", "require_list", "require_text"]

from typing import Any

from hibiscusstack.exceptions import DecodeError


def require_count(body: dict[str, Any], name: str, minimum: int = 0) -> int:
    """Return the whole number ``name`` of ``body``, or raise ``DecodeError``.

    >>> require_count({"offset": 3}, "offset")
    3
    """
    value = body.get(name)
    if not isinstance(value, int) or isinstance(value, bool) or value < minimum:
        raise DecodeError(name, f"a whole number from {minimum}", value)
    return value


def require_text(body: dict[str, Any], name: str) -> str:
    """Return the string ``name`` of ``body``, or raise ``DecodeError``."""
    value = body.get(name)
    if not isinstance(value, str):
        raise DecodeError(name, "a string", value)
    return value


def require_list(body: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return the list of objects ``name`` of ``body``, or raise ``DecodeError``."""
    value = body.get(name)
    if not isinstance(value, list):
        raise DecodeError(name, "a list", value)
    for entry in value:
        if not isinstance(entry, dict):
            raise DecodeError(name, "a list of objects", entry)
    return value
