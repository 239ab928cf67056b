"""Results of runs, kept as one file in a folder."""

__all__ = ["Results", "Variant", "read_results", "write_results"]

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs

from hibiscusstack.exceptions import InvalidInputError
from hibiscusstack_standins.lab.figures import GroupFigures, RunFigures
from hibiscusstack_standins.lab.measures import measures_of

RESULTS_FILE = "results.json"
FORMAT_VERSION = 1


@attrs.frozen
class Variant:
    """The runs of a scenario with some changes, one for each seed."""

    label: str
    changes: tuple[str, ...]
    runs: tuple[RunFigures, ...]

    def values(self, measure: str) -> list[float]:
        """Return a measure of each run."""
        return [measures_of(run)[measure] for run in self.runs]

    def measures(self) -> list[str]:
        """Return the names of all measures of the first run."""
        return list(measures_of(self.runs[0])) if self.runs else []


@attrs.frozen
class Results:
    """What was played: the scenario, its window length and each variant."""

    scenario: str
    window_ms: int
    variants: tuple[Variant, ...]


def write_results(results: Results, folder: Path) -> Path:
    """Keep results in a folder, which is made, and return the file."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / RESULTS_FILE
    body = {"format": FORMAT_VERSION, **attrs.asdict(results)}
    path.write_text(json.dumps(body, indent=1) + "\n", "utf-8")
    return path


def read_results(folder: Path) -> Results:
    """Return the results in a folder.

    Raises :class:`~hibiscusstack.exceptions.InvalidInputError` if there are none of
    this format.
    """
    path = folder / RESULTS_FILE
    try:
        body = json.loads(path.read_text("utf-8"))
        if body.pop("format") != FORMAT_VERSION:
            raise ValueError
        variants = tuple(_variant(each) for each in body.pop("variants"))
        return Results(variants=variants, **body)
    except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
        raise InvalidInputError(str(path), "results of a run", str(error)) from None


def _variant(body: dict[str, Any]) -> Variant:
    runs = tuple(_run(each) for each in body["runs"])
    return Variant(body["label"], tuple(body["changes"]), runs)


def _run(body: dict[str, Any]) -> RunFigures:
    groups = {
        field: {name: GroupFigures(**each) for name, each in body[field].items()}
        for field in ("classes", "data_centres")
    }
    return RunFigures(
        **{
            **body,
            **groups,
            "total": GroupFigures(**body["total"]),
            "windows": _groups(body["windows"]),
            "ratios": tuple(body["ratios"]),
        }
    )


def _groups(bodies: Sequence[dict[str, Any]]) -> tuple[GroupFigures, ...]:
    return tuple(GroupFigures(**each) for each in bodies)
