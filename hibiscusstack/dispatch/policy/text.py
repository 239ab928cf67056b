"""Parser of the policy's published INI text."""

__all__ = ["read_policy"]

import configparser
import math
from collections.abc import Callable, Mapping
from typing import Any

import attrs
from expression import Error, Ok, Result

from hibiscusstack.dispatch.policy.policy import (
    DEFAULT_CLASS,
    Limits,
    Placement,
    Policy,
    Team,
    WorkClass,
)
from hibiscusstack.dispatch.policy.selectors import parse_selector
from hibiscusstack.exceptions import InvalidInputError, SettingsError

MAX_POLICY_CHARACTERS = 1_000_000

Reader = Callable[[str, str], Any]


def read_policy(text: str) -> Result[Policy, SettingsError]:
    r"""Return the policy described by ``text``, or all of its faults.

    The sections are ``[labels TARGET]``, ``[placement NAME]``, ``[class NAME]``,
    ``[team NAME]`` and ``[limits]``. Unknown sections and keys are faults, and so
    are ``guaranteed_part`` values that add up to more than 1. Each fault names the
    section and key, what was expected and what was found.

    >>> read_policy("[class checks]\nwork = kind = check\nurgency = 5").is_ok()
    True
    >>> result = read_policy("[class checks]\nurgency = high\n[teem a]")
    >>> [fault.where for fault in result.error.faults]
    ['class checks.urgency', 'teem a']
    """
    if len(text) > MAX_POLICY_CHARACTERS:
        limit = f"at most {MAX_POLICY_CHARACTERS} characters"
        fault = InvalidInputError("policy", limit, len(text))
        return Error(SettingsError([fault]))
    parser = configparser.RawConfigParser(
        default_section="", delimiters=("=",), inline_comment_prefixes=None
    )
    parser.optionxform = str
    try:
        parser.read_string(text)
    except configparser.Error as error:
        fault = InvalidInputError("policy", "INI text", error.message)
        return Error(SettingsError([fault]))
    return _PolicyReader(parser).read()


def _integer(minimum: int, maximum: int) -> Reader:
    def read(where: str, found: str) -> int:
        try:
            value = int(found)
        except ValueError:
            raise InvalidInputError(where, "a whole number", found) from None
        if not minimum <= value <= maximum:
            raise InvalidInputError(where, f"{minimum} to {maximum}", found)
        return value

    return read


def _number(minimum: float, maximum: float) -> Reader:
    def read(where: str, found: str) -> float:
        try:
            value = float(found)
        except ValueError:
            raise InvalidInputError(where, "a number", found) from None
        if not math.isfinite(value) or not minimum <= value <= maximum:
            raise InvalidInputError(where, f"{minimum} to {maximum}", found)
        return value

    return read


def _selector(where: str, found: str) -> Any:
    return parse_selector(found, where)


_ANY_COUNT = _integer(0, 1_000_000_000)
_FRACTION = _number(0.0, 1.0)
_WEIGHT = _number(0.000_001, 1_000_000.0)
_PLACEMENT_KEYS = {"work": _selector, "targets": _selector}
_CLASS_KEYS = {
    "work": _selector,
    "urgency": _integer(-1_000, 1_000),
    "guaranteed_part": _FRACTION,
}
_TEAM_KEYS = {
    "quota_part": _WEIGHT,
    "max_running": _ANY_COUNT,
    "max_queued": _ANY_COUNT,
}
_LIMIT_KEYS = {
    field.name: _FRACTION if field.type in (float, "float") else _ANY_COUNT
    for field in attrs.fields(Limits)
}


@attrs.define
class _PolicyReader:
    """Collects the sections of a policy and all faults in them."""

    parser: configparser.RawConfigParser
    faults: list[InvalidInputError] = attrs.field(factory=list)
    labels: dict[str, Mapping[str, str]] = attrs.field(factory=dict)
    placements: list[Placement] = attrs.field(factory=list)
    classes: list[WorkClass] = attrs.field(factory=list)
    teams: dict[str, Team] = attrs.field(factory=dict)
    limits: Limits = Limits()

    def read(self) -> Result[Policy, SettingsError]:
        """Return the policy, or its faults."""
        for section in self.parser.sections():
            self._read_section(section)
        self._check_guarantees()
        if self.faults:
            return Error(SettingsError(self.faults))
        placements, classes = tuple(self.placements), tuple(self.classes)
        return Ok(Policy(self.labels, placements, classes, self.teams, self.limits))

    def _read_section(self, section: str) -> None:
        kind, _, name = section.partition(" ")
        name = name.strip()
        named_sections = {
            "labels": self._read_labels,
            "placement": self._read_placement,
            "class": self._read_class,
            "team": self._read_team,
        }
        if section == "limits":
            self.limits = Limits(**self._read_keys(section, _LIMIT_KEYS))
        elif kind in named_sections and name:
            named_sections[kind](section, name)
        else:
            expected = "labels TARGET, placement NAME, class NAME, team NAME, limits"
            self.faults.append(InvalidInputError(section, expected, section))

    def _read_labels(self, section: str, name: str) -> None:
        labels = dict(self.parser.items(section))
        for key, value in labels.items():
            text = f"{key} = {value}"
            self._read_value(_selector, f"{section}.{key}", text)
        self.labels[name] = labels

    def _read_placement(self, section: str, name: str) -> None:
        values = self._read_keys(section, _PLACEMENT_KEYS)
        everything = parse_selector("")
        work = values.get("work", everything)
        targets = values.get("targets", everything)
        self.placements.append(Placement(name, work, targets))

    def _read_class(self, section: str, name: str) -> None:
        values = self._read_keys(section, _CLASS_KEYS)
        if name == DEFAULT_CLASS.name:
            expected = "a class name other than default, which is reserved"
            self.faults.append(InvalidInputError(section, expected, name))
        values.setdefault("work", parse_selector(""))
        self.classes.append(WorkClass(name, **values))

    def _read_team(self, section: str, name: str) -> None:
        self.teams[name] = Team(name, **self._read_keys(section, _TEAM_KEYS))

    def _read_keys(self, section: str, readers: Mapping[str, Reader]) -> dict[str, Any]:
        values = {}
        for key, found in self.parser.items(section):
            where = f"{section}.{key}"
            if key not in readers:
                expected = "one of " + ", ".join(readers)
                self.faults.append(InvalidInputError(where, expected, key))
                continue
            value = self._read_value(readers[key], where, found)
            if value is not None:
                values[key] = value
        return values

    def _read_value(self, reader: Reader, where: str, found: str) -> Any:
        try:
            return reader(where, found)
        except InvalidInputError as fault:
            self.faults.append(fault)
            return None

    def _check_guarantees(self) -> None:
        total = math.fsum(each.guaranteed_part for each in self.classes)
        if total > 1.0 + 1e-9:
            expected = "guaranteed_part values of all classes that add up to at most 1"
            self.faults.append(InvalidInputError("class", expected, total))
