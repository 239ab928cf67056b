"""The faults that stand-ins can be told to show."""

__all__ = ["PlatformFaults", "TargetFaults", "faults_from_json"]

from typing import Any, TypeVar

import attrs

from hibiscusstack.exceptions import InvalidInputError

_REFUSALS = ("", "busy", "leaving", "stopped", "lease_expired")
_OUTAGES = ("", "refuse", "hang")


def _is_share(_: Any, field: attrs.Attribute, value: Any) -> None:
    if not 0 <= value <= 1:
        raise InvalidInputError(field.name, "a number from 0 to 1", value)


def _is_one_of(choices: tuple[str, ...]) -> Any:
    def check(_: Any, field: attrs.Attribute, value: Any) -> None:
        if value not in choices:
            raise InvalidInputError(field.name, f"one of {choices}", value)

    return check


@attrs.frozen
class TargetFaults:
    """What a target does wrong; ``share`` is the part of its tasks it happens to.

    ``hang`` never starts a task and never answers, ``lose_answer`` runs the task and
    closes the connection, ``mute`` runs it and leaves the connection open without an
    answer, ``answer_other`` answers under the name of another task.
    """

    refuse: str = attrs.field(default="", validator=_is_one_of(_REFUSALS))
    hang: bool = False
    mute: bool = False
    lose_answer: bool = False
    answer_twice: bool = False
    answer_other: bool = False
    answer_delay_ms: int = 0
    fail_every_task: bool = False
    straggle_factor: float = 1.0
    leaving: bool = False
    share: float = attrs.field(default=1.0, validator=_is_share)


@attrs.frozen
class PlatformFaults:
    """What the platform does wrong.

    ``log_outage`` and ``list_outage`` are ``refuse`` (503) or ``hang``. With
    ``retained_records`` above 0 a stream keeps only its newest records.
    """

    log_outage: str = attrs.field(default="", validator=_is_one_of(_OUTAGES))
    log_delay_ms: int = 0
    lose_append_answer: bool = False
    retained_records: int = 0
    list_outage: str = attrs.field(default="", validator=_is_one_of(_OUTAGES))
    list_lag_ms: int = 0


F = TypeVar("F", TargetFaults, PlatformFaults)


def faults_from_json(kind: type[F], body: Any) -> F:
    """Return the faults that a JSON object describes; absent ones are off.

    Raises ``InvalidInputError`` for an unknown name or a value of a wrong type.

    >>> faults_from_json(TargetFaults, {"hang": True}).hang
    True
    """
    if not isinstance(body, dict):
        raise InvalidInputError("faults", "an object", body)
    fields = attrs.fields_dict(kind)
    for name, value in body.items():
        if name not in fields:
            raise InvalidInputError("faults", f"one of {sorted(fields)}", name)
        _check_type(name, fields[name].default, value)
    return kind(**body)


def _check_type(name: str, default: Any, value: Any) -> None:
    expected = (int, float) if isinstance(default, float) else type(default)
    is_odd_bool = isinstance(value, bool) and not isinstance(default, bool)
    if is_odd_bool or not isinstance(value, expected):
        raise InvalidInputError(name, type(default).__name__, value)
