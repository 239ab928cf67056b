"""Serializers between attrs classes and lists of field values.

An instance is written as the list of its field values in the order of definition,
nested instances likewise, and an enumeration member as its value. The converters of a
class are compiled once from its type hints, so that converting a message needs no
introspection.
"""

__all__ = ["Converter", "compile_reader", "compile_writer"]

import math
from collections.abc import Callable, Mapping
from enum import Enum
from functools import cache
from itertools import product
from operator import attrgetter
from types import NoneType, UnionType
from typing import Any, get_args, get_origin, get_type_hints

import attrs

from hibiscusstack.exceptions import DecodeError

Converter = Callable[[Any], Any]

_JSON_TYPES = (str, int, float, bool, NoneType, list, dict)
_UNCHECKED_JSON_TYPES = frozenset((str, int, bool, NoneType))
_SCALAR_TYPES = (str, int, float, bool)


@attrs.frozen
class _ValueFormat:
    """Types in which a value may be received, and the conversion to apply to it."""

    wire_types: tuple[type, ...]
    convert: Converter | None = None


@cache
def compile_writer(cls: type) -> Converter:
    """Return a function that turns an instance of ``cls`` into a list.

    >>> from hibiscusstack.dispatch.messages import HostName
    >>> compile_writer(HostName)(HostName("dc1", "a", 7))
    ['dc1', 'a', 7]

    The inverse is :func:`compile_reader`.
    """
    hints = get_type_hints(cls)
    names = [field.name for field in attrs.fields(cls)]
    read_fields = attrgetter(*names)
    writers = [(index, _value_writer(hints[name])) for index, name in enumerate(names)]
    conversions = [
        (index, convert) for index, convert in writers if convert is not None
    ]
    is_single = len(names) == 1

    def write(instance: Any) -> list[Any]:
        values = [read_fields(instance)] if is_single else list(read_fields(instance))
        for index, convert in conversions:
            values[index] = convert(values[index])
        return values

    return write


@cache
def compile_reader(cls: type) -> Converter:
    """Return a function that turns a decoded list into an instance of ``cls``.

    The function modifies the list that it is given. It raises only
    :class:`~hibiscusstack.exceptions.DecodeError`, for a value that does not match the
    class.

    >>> from hibiscusstack.dispatch.messages import HostName
    >>> compile_reader(HostName)(["dc1", "a", 7])
    HostName(data_centre='dc1', name='a', incarnation=7)

    The types of all fields are checked in one step, by a look-up in the set of all
    combinations that the class allows. The inverse is :func:`compile_writer`.
    """
    hints = get_type_hints(cls)
    names = [field.name for field in attrs.fields(cls)]
    formats = [_value_format(hints[name], f"{cls.__name__}.{name}") for name in names]
    type_combinations = frozenset(
        product(*(value_format.wire_types for value_format in formats))
    )
    conversions = [
        (index, value_format.convert)
        for index, value_format in enumerate(formats)
        if value_format.convert is not None
    ]

    def read(values: Any) -> Any:
        if type(values) is not list:
            raise DecodeError(cls.__name__, "an array", type(values).__name__)
        if tuple(map(type, values)) not in type_combinations:
            raise _mismatch_error(cls, names, formats, values)
        for index, convert in conversions:
            values[index] = convert(values[index])
        return cls(*values)

    return read


def _mismatch_error(
    cls: type, names: list[str], formats: list[_ValueFormat], values: list[Any]
) -> DecodeError:
    if len(values) != len(formats):
        return DecodeError(cls.__name__, f"{len(formats)} fields", len(values))
    for name, value_format, value in zip(names, formats, values, strict=True):
        if type(value) not in value_format.wire_types:
            expected = " or ".join(kind.__name__ for kind in value_format.wire_types)
            found = type(value).__name__
            return DecodeError(f"{cls.__name__}.{name}", expected, found)
    raise AssertionError("the values match the field types")


def _value_writer(hint: Any) -> Converter | None:
    """Return the converter of a value to its wire form, or None if not needed."""
    inner = _unwrap_optional(hint)
    if inner is not None:
        return _skip_none(_value_writer(inner))
    if get_origin(hint) is tuple:
        return _tuple_writer(get_args(hint))
    if isinstance(hint, type) and issubclass(hint, Enum):
        return attrgetter("value")
    if isinstance(hint, type) and attrs.has(hint):
        return compile_writer(hint)
    if get_origin(hint) is Mapping:
        return dict
    return None


def _tuple_writer(args: tuple[Any, ...]) -> Converter | None:
    if args[-1] is not Ellipsis:
        return None
    convert = _value_writer(args[0])
    if convert is None:
        return None
    return lambda values: [convert(value) for value in values]


def _value_format(hint: Any, field_path: str) -> _ValueFormat:
    """Return the wire types and the converter for a value of type ``hint``."""
    inner = _unwrap_optional(hint)
    if inner is not None:
        inner_format = _value_format(inner, field_path)
        return _ValueFormat(
            (*inner_format.wire_types, NoneType), _skip_none(inner_format.convert)
        )
    if hint is Any:
        return _ValueFormat(_JSON_TYPES, _json_value_checker(field_path))
    if isinstance(hint, type):
        return _class_format(hint, field_path)
    if get_origin(hint) is tuple:
        return _ValueFormat((list,), _tuple_reader(get_args(hint), field_path))
    if get_origin(hint) is Mapping:
        return _ValueFormat((dict,), _string_map_checker(field_path))
    raise TypeError(f"unsupported field type: {hint}")


def _class_format(hint: type, field_path: str) -> _ValueFormat:
    if hint in _SCALAR_TYPES:
        return _ValueFormat((hint,))
    if issubclass(hint, Enum):
        return _ValueFormat((str,), _enum_reader(hint, field_path))
    return _ValueFormat((list,), compile_reader(hint))


def _tuple_reader(args: tuple[Any, ...], field_path: str) -> Converter:
    if args[-1] is not Ellipsis:
        return _fixed_tuple_reader(args, field_path)
    item_format = _value_format(args[0], field_path)
    if attrs.has(args[0]):
        read = item_format.convert
        return lambda values: tuple([read(value) for value in values])
    return lambda values: tuple(
        [_read_value(item_format, value, field_path) for value in values]
    )


def _fixed_tuple_reader(args: tuple[Any, ...], field_path: str) -> Converter:
    formats = [_value_format(arg, field_path) for arg in args]

    def read(values: list[Any]) -> tuple[Any, ...]:
        if len(values) != len(formats):
            raise DecodeError(field_path, f"{len(formats)} values", len(values))
        pairs = zip(formats, values, strict=True)
        return tuple(
            [
                _read_value(value_format, value, field_path)
                for value_format, value in pairs
            ]
        )

    return read


def _read_value(value_format: _ValueFormat, value: Any, field_path: str) -> Any:
    if type(value) not in value_format.wire_types:
        expected = " or ".join(kind.__name__ for kind in value_format.wire_types)
        raise DecodeError(field_path, expected, type(value).__name__)
    return value if value_format.convert is None else value_format.convert(value)


def _enum_reader(cls: type[Enum], field_path: str) -> Converter:
    members = {member.value: member for member in cls}

    def read(value: str) -> Enum:
        member = members.get(value)
        if member is None:
            raise DecodeError(field_path, f"a value of {cls.__name__}", value)
        return member

    return read


def _string_map_checker(field_path: str) -> Converter:
    def check(mapping: dict[Any, Any]) -> dict[str, str]:
        for key, value in mapping.items():
            if type(key) is not str or type(value) is not str:
                raise DecodeError(
                    field_path, "a map of strings to strings", (key, value)
                )
        return mapping

    return check


def _json_value_checker(field_path: str) -> Converter:
    """Return a function that checks that JSON can represent a value.

    Fields of type ``Any`` (task payloads and results) are sent as JSON to targets and
    callers, so they may hold only what JSON can represent. The function's recursion
    is bounded, since the CBOR decoder limits the nesting depth.
    """

    def check(value: Any) -> Any:
        value_type = type(value)
        if value_type is dict:
            for key, item in value.items():
                if type(key) is not str:
                    raise DecodeError(field_path, "a string as key", key)
                if type(item) not in _UNCHECKED_JSON_TYPES:
                    check(item)
        elif value_type is list:
            for item in value:
                if type(item) not in _UNCHECKED_JSON_TYPES:
                    check(item)
        elif value_type is float:
            if not math.isfinite(value):
                raise DecodeError(field_path, "a finite number", value)
        elif value_type not in _UNCHECKED_JSON_TYPES:
            raise DecodeError(
                field_path, "a value that JSON can represent", value_type.__name__
            )
        return value

    return check


def _skip_none(convert: Converter | None) -> Converter | None:
    if convert is None:
        return None
    return lambda value: None if value is None else convert(value)


def _unwrap_optional(hint: Any) -> Any:
    """Return ``T`` for a hint ``T | None``, or None for a hint that is not a union."""
    if get_origin(hint) is not UnionType:
        return None
    others = [arg for arg in get_args(hint) if arg is not NoneType]
    if len(others) != 1:
        raise TypeError(f"unsupported field type: {hint}")
    return others[0]
