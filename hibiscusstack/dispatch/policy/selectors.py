"""Label selectors, which choose work or targets by their labels."""

__all__ = ["Requirement", "Selector", "parse_selector"]

import re
from collections.abc import Callable, Mapping
from enum import Enum

import attrs

from hibiscusstack.exceptions import InvalidInputError

MAX_SELECTOR_CHARACTERS = 4_096
MAX_VALUES = 256

_KEY = r"[A-Za-z0-9][A-Za-z0-9_./-]*"
_SET = re.compile(rf"({_KEY})\s+(not\s+in|in)\s*\(([^()]*)\)", re.ASCII)
_COMPARISON = re.compile(rf"({_KEY})\s*(!=|==|=)\s*({_KEY})", re.ASCII)
_PRESENCE = re.compile(rf"(!?)\s*({_KEY})", re.ASCII)
_VALUE = re.compile(_KEY, re.ASCII)
_TERM_END = re.compile(r"\s*(,|$)\s*", re.ASCII)

Predicate = Callable[[Mapping[str, str]], bool]


class Operator(Enum):
    """How a requirement compares the value of a label."""

    IN = "in"
    NOT_IN = "not in"
    EXISTS = "exists"
    NOT_EXISTS = "not exists"


@attrs.frozen
class Requirement:
    """One condition on the value of the label ``key``."""

    key: str
    operator: Operator
    values: frozenset[str] = frozenset()

    def predicate(self) -> Predicate:
        """Return a function that tells whether labels meet this condition."""
        key, values = self.key, self.values
        if self.operator is Operator.IN:
            return lambda labels: labels.get(key) in values
        if self.operator is Operator.NOT_IN:
            return lambda labels: labels.get(key) not in values
        if self.operator is Operator.EXISTS:
            return lambda labels: key in labels
        return lambda labels: key not in labels


@attrs.frozen
class Selector:
    """A parsed selector; it matches labels that meet every requirement."""

    text: str
    requirements: tuple[Requirement, ...]
    _predicates: tuple[Predicate, ...] = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        predicates = tuple(each.predicate() for each in self.requirements)
        object.__setattr__(self, "_predicates", predicates)

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether ``labels`` meet every requirement."""
        return all(predicate(labels) for predicate in self._predicates)


def parse_selector(text: str, where: str = "selector") -> Selector:
    """Return the selector that ``text`` describes.

    The text is a list of requirements separated by commas: ``zone = north``,
    ``zone != north``, ``kind in (check, issue)``, ``kind not in (check)``, ``gpu``
    (the label exists) and ``!draining`` (it does not exist). ``!=`` and ``not in``
    also match if the label is missing. An empty text matches everything. Malformed
    text raises :class:`InvalidInputError` with the given ``where``.

    >>> selector = parse_selector("kind in (check, issue), zone = north, !draining")
    >>> selector.matches({"kind": "check", "zone": "north"})
    True
    >>> selector.matches({"kind": "check", "zone": "north", "draining": "yes"})
    False

    Parsing is linear in the text, and a match costs one look-up for each requirement.
    """
    if len(text) > MAX_SELECTOR_CHARACTERS:
        limit = f"at most {MAX_SELECTOR_CHARACTERS} characters"
        raise InvalidInputError(where, limit, len(text))
    rest = text.strip()
    requirements = []
    while rest:
        requirement, rest = _parse_term(rest, where)
        requirements.append(requirement)
    return Selector(text.strip(), tuple(requirements))


def _parse_term(rest: str, where: str) -> tuple[Requirement, str]:
    for pattern, build in _TERMS:
        match = pattern.match(rest)
        end = match and _TERM_END.match(rest, match.end())
        if match and end:
            following = rest[end.end() :]
            if end.group(1) and not following:
                raise InvalidInputError(where, "a requirement after the comma", rest)
            return build(match, where), following
    expected = "key, !key, key = value, key != value, key [not] in (a, b)"
    raise InvalidInputError(where, expected, rest)


def _build_set(match: re.Match[str], where: str) -> Requirement:
    values = [value.strip() for value in match.group(3).split(",")]
    if len(values) > MAX_VALUES:
        raise InvalidInputError(where, f"at most {MAX_VALUES} values", len(values))
    for value in values:
        if not _VALUE.fullmatch(value):
            raise InvalidInputError(where, "a label value", value)
    operator = Operator.IN if match.group(2) == "in" else Operator.NOT_IN
    return Requirement(match.group(1), operator, frozenset(values))


def _build_comparison(match: re.Match[str], where: str) -> Requirement:
    operator = Operator.NOT_IN if match.group(2) == "!=" else Operator.IN
    return Requirement(match.group(1), operator, frozenset([match.group(3)]))


def _build_presence(match: re.Match[str], where: str) -> Requirement:
    operator = Operator.NOT_EXISTS if match.group(1) else Operator.EXISTS
    return Requirement(match.group(2), operator)


_TERMS: tuple[tuple[re.Pattern[str], Callable[[re.Match[str], str], Requirement]], ...]
_TERMS = (
    (_SET, _build_set),
    (_COMPARISON, _build_comparison),
    (_PRESENCE, _build_presence),
)
