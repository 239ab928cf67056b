"""Reads settings files and reports all faults of a file at once."""

__all__ = ["parse_settings", "read_settings"]

import configparser
from pathlib import Path
from typing import Any, TypeVar, get_type_hints

import attrs
from expression import Error, Ok, Result

from hibiscusstack.exceptions import InvalidInputError, SettingsError
from hibiscusstack.settings.sections import Settings, kind_of

MAX_FILE_BYTES = 1_048_576

SettingsType = TypeVar("SettingsType")


def read_settings(
    path: Path, settings_class: type[SettingsType] = Settings
) -> Result[SettingsType, SettingsError]:
    """Return the settings in the file at ``path``, or every fault in it.

    If the file cannot be read, that is reported as its only fault. See
    :func:`parse_settings`.
    """
    try:
        with path.open("rb") as file:
            content = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        fault = InvalidInputError(str(path), "a readable file", error.strerror)
        return Error(SettingsError([fault]))
    if len(content) > MAX_FILE_BYTES:
        expected = f"at most {MAX_FILE_BYTES} bytes"
        fault = InvalidInputError(str(path), expected, "more")
        return Error(SettingsError([fault]))
    try:
        text = content.decode("utf-8")
    except UnicodeDecodeError as error:
        fault = InvalidInputError(str(path), "UTF-8 text", error.reason)
        return Error(SettingsError([fault]))
    return parse_settings(text, str(path), settings_class)


def parse_settings(
    text: str, source: str, settings_class: type[SettingsType] = Settings
) -> Result[SettingsType, SettingsError]:
    r"""Return the settings that ``text`` holds, or every fault in it.

    Each fault begins with ``source``. Unknown sections and keys are faults.
    ``settings_class`` is the attrs class whose fields are the sections of the file.

    >>> result = parse_settings("[host]\nname = a b\n", "h.ini")
    >>> str(result.error.faults[0])
    "h.ini [host] name: expected 1 to 64 letters, digits, '.', '_' or '-', found 'a b'"
    """
    parser = configparser.ConfigParser(
        default_section="", interpolation=None, delimiters=("=",)
    )
    parser.optionxform = str
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        fault = InvalidInputError(source, "INI text", error.message)
        return Error(SettingsError([fault]))
    return _SettingsReader(source, parser, settings_class).read()


@attrs.define
class _SettingsReader:
    """Reads all sections and collects the faults in them."""

    source: str
    parser: configparser.ConfigParser
    settings_class: type
    faults: list[InvalidInputError] = attrs.field(factory=list)

    def read(self) -> Result[Any, SettingsError]:
        """Return the settings, or every fault in them."""
        classes = get_type_hints(self.settings_class)
        for name in self.parser.sections():
            if name not in classes:
                expected = "one of the sections " + ", ".join(classes)
                self._add_fault(f"[{name}]", expected, name)
        values = {name: self._read_section(name, classes[name]) for name in classes}
        if self.faults:
            return Error(SettingsError(self.faults))
        settings = self.settings_class(**values)
        for contradiction in settings.contradictions():
            self._add_fault(*contradiction)
        return Error(SettingsError(self.faults)) if self.faults else Ok(settings)

    def _read_section(self, name: str, section_class: type) -> Any:
        texts = dict(self.parser.items(name)) if name in self.parser else {}
        fields = attrs.fields_dict(section_class)
        for key in texts:
            if key not in fields:
                expected = "one of the keys " + ", ".join(fields)
                self._add_fault(f"[{name}] {key}", expected, texts[key])
        fault_count = len(self.faults)
        values = {
            key: self._read_key(f"[{name}] {key}", field, texts.get(key))
            for key, field in fields.items()
        }
        return section_class(**values) if len(self.faults) == fault_count else None

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
