"""Kinds of values in a scenario that settings files don't have."""

__all__ = ["Amount", "Label", "Seeds", "YesOrNo"]

import math
import re

import attrs

_LABEL = re.compile(r"[A-Za-z0-9._-]{0,64}")
_SEED_RANGE = re.compile(r"(\d{1,9})(?:-(\d{1,9}))?")
_MOST_SEEDS = 1_000


@attrs.frozen
class Amount:
    """A finite number within bounds.

    >>> Amount(0, 10).parse("2.5")
    2.5
    """

    least: float
    most: float

    @property
    def expected(self) -> str:
        """Return the bounds."""
        return f"a number from {self.least:g} to {self.most:g}"

    def parse(self, text: str) -> float:
        """Return the number."""
        value = float(text)
        if not math.isfinite(value) or not self.least <= value <= self.most:
            raise ValueError(text)
        return value

    def render(self, value: float) -> str:
        """Return the shortest digits."""
        return f"{value:g}"


@attrs.frozen
class Label:
    """A name of something in the same file, or nothing."""

    @property
    def expected(self) -> str:
        """Return the allowed characters."""
        return "up to 64 letters, digits, '.', '_' or '-'"

    def parse(self, text: str) -> str:
        """Return the name."""
        if not _LABEL.fullmatch(text):
            raise ValueError(text)
        return text

    def render(self, value: str) -> str:
        """Return the name."""
        return value


@attrs.frozen
class Seeds:
    """Seeds and ranges of seeds, separated by commas.

    >>> Seeds().parse("1-3, 7")
    (1, 2, 3, 7)
    """

    @property
    def expected(self) -> str:
        """Return the form."""
        return f"up to {_MOST_SEEDS} seeds as 1-5 or 1, 4, 9"

    def parse(self, text: str) -> tuple[int, ...]:
        """Return the seeds in the order of the text."""
        seeds: list[int] = []
        for part in text.split(","):
            match = _SEED_RANGE.fullmatch(part.strip())
            if match is None:
                raise ValueError(text)
            first, last = int(match[1]), int(match[2] or match[1])
            if not 0 <= last - first < _MOST_SEEDS:
                raise ValueError(text)
            seeds += range(first, last + 1)
        if len(seeds) > _MOST_SEEDS:
            raise ValueError(text)
        return tuple(seeds)

    def render(self, value: tuple[int, ...]) -> str:
        """Return the seeds, separated by commas."""
        return ", ".join(map(str, value))


@attrs.frozen
class YesOrNo:
    """A condition."""

    @property
    def expected(self) -> str:
        """Return the words."""
        return "yes or no"

    def parse(self, text: str) -> bool:
        """Return whether it holds."""
        if text not in ("yes", "no"):
            raise ValueError(text)
        return text == "yes"

    def render(self, value: bool) -> str:
        """Return the word."""
        return "yes" if value else "no"
