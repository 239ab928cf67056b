"""Reading of the fields of a JSON object, each with its type and bounds."""

__all__ = ["FieldReader", "check_job_id", "check_name"]

import re
from typing import Any

from hibiscusstack.exceptions import InvalidInputError

NAME = re.compile(r"[A-Za-z0-9._:@+~=-]+", re.ASCII)
NAME_CHARACTERS = "A-Z a-z 0-9 . _ : @ + ~ = -"
MAX_NAME_CHARACTERS = 128
MAX_JOB_ID_CHARACTERS = 400
MAX_LABELS = 32
MAX_LABEL_CHARACTERS = 256
MAX_SHOWN_CHARACTERS = 40
REQUIRED = object()


def check_name(
    where: str, value: Any, max_characters: int = MAX_NAME_CHARACTERS
) -> str:
    """Return ``value`` if it is a name, else raise ``InvalidInputError``.

    Names are caller, team, kind, id and key; they can stand in a path as they are.

    >>> check_name("team", "bookings")
    'bookings'
    """
    is_short = isinstance(value, str) and len(value) <= max_characters
    if is_short and NAME.fullmatch(value):
        return value
    expected = f"1 to {max_characters} of the characters {NAME_CHARACTERS}"
    raise InvalidInputError(where, expected, _describe(value))


def check_job_id(where: str, value: Any) -> str:
    """Return ``value`` if it can be a job's id, which may be longer than a name.

    >>> check_job_id("id", "dc1~h1~5~9")
    'dc1~h1~5~9'
    """
    return check_name(where, value, MAX_JOB_ID_CHARACTERS)


class FieldReader:
    """Reads one JSON object field by field and knows which are left over.

    Every method raises :class:`~hibiscusstack.exceptions.InvalidInputError` with the
    path of the field when a value breaks the rule.

    >>> FieldReader({"count": 3}).read_integer("count", 1, 10)
    3
    """

    def __init__(self, value: Any, path: str = "") -> None:
        if not isinstance(value, dict):
            raise InvalidInputError(path or "body", "an object", _describe(value))
        self._fields = dict(value)
        self._path = path

    def read_any(self, name: str, default: Any = None) -> Any:
        """Return any JSON value."""
        return self._fields.pop(name, default)

    def read_name(self, name: str, default: Any = REQUIRED) -> Any:
        """Return a name, see :func:`check_name`."""
        value = self._fields.pop(name, default)
        if value is default and value is not REQUIRED:
            return default
        return check_name(self._where(name), value)

    def read_job_id(self, name: str, default: Any = REQUIRED) -> Any:
        """Return a job's id, see :func:`check_job_id`."""
        value = self._fields.pop(name, default)
        if value is default and value is not REQUIRED:
            return default
        return check_job_id(self._where(name), value)

    def read_text(self, name: str, max_characters: int, default: Any = REQUIRED) -> str:
        """Return a string of up to ``max_characters``."""
        value = self._fields.pop(name, default)
        if isinstance(value, str) and len(value) <= max_characters:
            return value
        expected = f"a string of up to {max_characters} characters"
        raise InvalidInputError(self._where(name), expected, _describe(value))

    def read_boolean(self, name: str, default: Any = REQUIRED) -> bool:
        """Return a boolean."""
        value = self._fields.pop(name, default)
        if isinstance(value, bool):
            return value
        raise InvalidInputError(self._where(name), "true or false", _describe(value))

    def read_integer(
        self, name: str, minimum: int, maximum: int, default: Any = REQUIRED
    ) -> int:
        """Return an integer between the bounds, both included."""
        value = self._fields.pop(name, default)
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if is_integer and minimum <= value <= maximum:
            return value
        expected = f"an integer from {minimum} to {maximum}"
        raise InvalidInputError(self._where(name), expected, _describe(value))

    def read_list(self, name: str, minimum: int, maximum: int) -> list[Any]:
        """Return a list whose length is between the bounds, both included."""
        value = self._fields.pop(name, REQUIRED)
        if isinstance(value, list) and minimum <= len(value) <= maximum:
            return value
        expected = f"a list of {minimum} to {maximum} items"
        raise InvalidInputError(self._where(name), expected, _describe(value))

    def read_labels(self, name: str) -> dict[str, str]:
        """Return labels, an object whose names and values are short strings."""
        value = self._fields.pop(name, {})
        where = self._where(name)
        if not isinstance(value, dict) or len(value) > MAX_LABELS:
            expected = f"an object of up to {MAX_LABELS} labels"
            raise InvalidInputError(where, expected, _describe(value))
        for label, text in value.items():
            check_name(where, label)
            if not isinstance(text, str) or len(text) > MAX_LABEL_CHARACTERS:
                expected = f"a string of up to {MAX_LABEL_CHARACTERS} characters"
                raise InvalidInputError(f"{where}.{label}", expected, _describe(text))
        return value

    def refuse_unread_fields(self) -> None:
        """Raise for a field that none of the calls before has read."""
        for name in self._fields:
            where = self._where(name[:MAX_SHOWN_CHARACTERS])
            raise InvalidInputError(where, "a known field", "an unknown one")

    def _where(self, name: str) -> str:
        return f"{self._path}.{name}" if self._path else name


def _describe(value: Any) -> str:
    if value is REQUIRED:
        return "nothing"
    if isinstance(value, list):
        return f"a list of {len(value)} items"
    if isinstance(value, dict):
        return f"an object of {len(value)} members"
    if isinstance(value, str) and len(value) > MAX_SHOWN_CHARACTERS:
        return f"a string of {len(value)} characters"
    return repr(value)
