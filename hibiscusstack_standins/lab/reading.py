"""Reading of scenario files, with every fault in one at once."""

__all__ = ["NAMED_SECTIONS", "SECTIONS", "parse_scenario", "read_scenario"]

import configparser
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import attrs

from hibiscusstack.exceptions import InvalidInputError, SettingsError
from hibiscusstack.settings.pool_sections import PoolPeerSettings, PoolTargetSettings
from hibiscusstack.settings.sections import (
    Contradiction,
    kind_of,
    silence_contradictions,
)
from hibiscusstack_standins.lab.scenario import (
    Burst,
    CapacityKind,
    DataCentre,
    Fault,
    JobClass,
    Run,
    Scenario,
    Traffic,
)

SECTIONS: dict[str, type] = {
    "run": Run,
    "traffic": Traffic,
    "targets": PoolTargetSettings,
    "peers": PoolPeerSettings,
}
NAMED_SECTIONS: dict[str, tuple[type, str]] = {
    "data_centre": (DataCentre, "data_centres"),
    "kind": (CapacityKind, "kinds"),
    "class": (JobClass, "classes"),
    "burst": (Burst, "bursts"),
    "fault": (Fault, "faults"),
}


def read_scenario(path: Path, changes: Iterable[str] = ()) -> Scenario:
    """Return the scenario in the file at ``path``; see :func:`parse_scenario`."""
    try:
        text = path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fault = InvalidInputError(str(path), "a readable file", str(error))
        raise SettingsError([fault]) from None
    return parse_scenario(text, str(path), changes)


def parse_scenario(text: str, source: str, changes: Iterable[str] = ()) -> Scenario:
    """Return the scenario that ``text`` holds, with ``changes`` applied to it.

    A change is ``SECTION.KEY=VALUE``. Raises
    :class:`~hibiscusstack.exceptions.SettingsError` with every fault, each of which
    names ``source``, the section and the key.
    """
    parser = configparser.ConfigParser(
        default_section="", interpolation=None, delimiters=("=",)
    )
    parser.optionxform = str
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        fault = InvalidInputError(source, "INI text", error.message)
        raise SettingsError([fault]) from None
    reader = _Reader(source, parser)
    for change in changes:
        reader.apply(change)
    return reader.read()


@attrs.define
class _Reader:
    """Gathers the sections and every fault on the way."""

    source: str
    parser: configparser.ConfigParser
    faults: list[InvalidInputError] = attrs.field(factory=list)

    def apply(self, change: str) -> None:
        """Put the value of a change in the place of that in the file."""
        where, equals, value = change.partition("=")
        section, dot, key = where.rpartition(".")
        if not (equals and dot):
            fault = InvalidInputError("change", "SECTION.KEY=VALUE", change)
            self.faults.append(fault)
            return
        if section not in self.parser:
            self.parser.add_section(section)
        self.parser[section][key] = value

    def read(self) -> Scenario:
        """Return the scenario, or raise the faults."""
        single = {name: self._read_section(name, cls) for name, cls in SECTIONS.items()}
        named: dict[str, dict[str, Any]] = {
            field: {} for _, field in NAMED_SECTIONS.values()
        }
        for section in self.parser.sections():
            kind, _, name = section.partition(" ")
            if kind in NAMED_SECTIONS and name.strip():
                cls, field = NAMED_SECTIONS[kind]
                named[field][name.strip()] = self._read_section(section, cls)
            elif section not in SECTIONS:
                known = [*SECTIONS, *(f"{kind} NAME" for kind in NAMED_SECTIONS)]
                expected = "one of the sections " + ", ".join(known)
                self._add_fault(f"[{section}]", expected, section)
        self._raise_faults()
        scenario = Scenario(**single, **named)
        for contradiction in _contradictions(scenario):
            self._add_fault(*contradiction)
        self._raise_faults()
        return scenario

    def _read_section(self, section: str, cls: type) -> Any:
        found = dict(self.parser.items(section)) if section in self.parser else {}
        fields = attrs.fields_dict(cls)
        for key in found:
            if key not in fields:
                expected = "one of the keys " + ", ".join(fields)
                self._add_fault(f"[{section}] {key}", expected, found[key])
        count = len(self.faults)
        values = {
            key: self._read_key(f"[{section}] {key}", field, found.get(key))
            for key, field in fields.items()
        }
        return cls(**values) if len(self.faults) == count else None

    def _read_key(self, where: str, field: attrs.Attribute, text: str | None) -> Any:
        kind = kind_of(field)
        if text is None:
            if field.default is attrs.NOTHING:
                self._add_fault(where, kind.expected, "no value")
            return field.default
        try:
            return kind.parse(text)
        except ValueError:
            self._add_fault(where, kind.expected, text)
            return None

    def _add_fault(self, where: str, expected: str, found: object) -> None:
        fault = InvalidInputError(f"{self.source} {where}", expected, found)
        self.faults.append(fault)

    def _raise_faults(self) -> None:
        if self.faults:
            raise SettingsError(self.faults)


def _contradictions(scenario: Scenario) -> Iterator[Contradiction]:
    yield from silence_contradictions(scenario.peers)
    run = scenario.run
    if run.least_delay_ms > run.most_delay_ms:
        expected = f"at most most_delay_ms, which is {run.most_delay_ms}"
        yield "[run] least_delay_ms", expected, run.least_delay_ms
    for what in ("data_centres", "kinds", "classes"):
        if not getattr(scenario, what):
            yield "sections", f"at least one of the {what}", "none"
    for name, burst in scenario.bursts.items():
        if burst.job_class and burst.job_class not in scenario.classes:
            where = f"[burst {name}] job_class"
            yield where, "a class of the file", burst.job_class
    for name, fault in scenario.faults.items():
        if fault.data_centre and fault.data_centre not in scenario.data_centres:
            where = f"[fault {name}] data_centre"
            yield where, "a data centre of the file", fault.data_centre
