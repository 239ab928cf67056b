"""Events as lines of key=value pairs."""

__all__ = ["LogLevel", "LogWriter", "render_event", "start_logging", "stop_logging"]

import json
import re
from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from enum import IntEnum
from typing import Any, TextIO

import attrs
from eliot import add_destinations, remove_destination

MAX_VALUE_CHARACTERS = 2_000

_PLAIN_VALUE = re.compile(r"[A-Za-z0-9_.:/+@,~\[\]-]+")
_ODD_KEY_CHARACTERS = re.compile(r"[^A-Za-z0-9_.]")
_OWN_FIELDS = ("timestamp", "message_type", "action_type", "level")
_DROPPED_FIELDS = ("task_uuid", "task_level")


class LogLevel(IntEnum):
    """How much an event matters; an event without a level is an ``info``."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


def render_event(event: Mapping[str, Any]) -> str:
    r"""Return an eliot message as one line of key=value pairs.

    The time, the level and the event's name come first. A value that holds anything
    but plain characters is written as a JSON string, so no value can end a line or
    pretend to be another key.

    >>> render_event({"timestamp": 0, "message_type": "demo:hello", "to": "a\nb=c"})
    'time=1970-01-01T00:00:00.000Z level=info event=demo:hello to="a\\nb=c"'
    """
    name = event.get("message_type") or event.get("action_type") or "unnamed"
    pairs = [
        ("time", _render_time(event.get("timestamp", 0))),
        ("level", level_of(event).name.lower()),
        ("event", name),
    ]
    left_out = (*_OWN_FIELDS, *_DROPPED_FIELDS)
    pairs += [(key, value) for key, value in event.items() if key not in left_out]
    return " ".join(f"{_render_key(key)}={_render_value(v)}" for key, v in pairs)


def level_of(event: Mapping[str, Any]) -> LogLevel:
    """Return the level of an eliot message."""
    name = str(event.get("level", "info")).upper()
    if name in LogLevel.__members__:
        return LogLevel[name]
    return LogLevel.INFO


@attrs.frozen
class LogWriter:
    """A destination for eliot that writes lines at or above a level."""

    output: TextIO
    least: LogLevel

    def __call__(self, event: Mapping[str, Any]) -> None:
        """Write one event."""
        if level_of(event) >= self.least:
            self.output.write(f"{render_event(event)}\n")
            self.output.flush()


def start_logging(output: TextIO, level: str) -> Callable[[Mapping[str, Any]], None]:
    """Return the destination that from now on writes every event to ``output``.

    ``level`` is one of ``debug``, ``info``, ``warning`` and ``error``.
    """
    writer = LogWriter(output, LogLevel[level.upper()])
    add_destinations(writer)
    return writer


def stop_logging(destination: Callable[[Mapping[str, Any]], None]) -> None:
    """Write no more events to what :func:`start_logging` returned."""
    remove_destination(destination)


def _render_time(timestamp: float) -> str:
    moment = datetime.fromtimestamp(timestamp, tz=UTC)
    return f"{moment:%Y-%m-%dT%H:%M:%S}.{moment.microsecond // 1000:03d}Z"


def _render_key(key: object) -> str:
    return _ODD_KEY_CHARACTERS.sub("_", str(key)) or "_"


def _render_value(value: Any) -> str:
    text = value if isinstance(value, str) else _to_text(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        text = f"{text[:MAX_VALUE_CHARACTERS]}..."
    if _PLAIN_VALUE.fullmatch(text):
        return text
    return json.dumps(text)


def _to_text(value: Any) -> str:
    try:
        return json.dumps(value, default=str)
    except (TypeError, ValueError, RecursionError):
        return repr(type(value))
