"""What the workers' events say of each task, put in order for the auditor."""

__all__ = ["EndedRun", "History", "RunInterval", "read_history"]

import math
from collections import defaultdict
from collections.abc import Iterable

import attrs

from hibiscusstack_standins.estate.events import (
    EndsAcked,
    Event,
    LeaseLapsed,
    LifeEnded,
    RunEnded,
    RunStarted,
)


@attrs.frozen
class EndedRun:
    """An end, and when it was taken note of (``inf``: never)."""

    end: RunEnded
    noted_ms: float


@attrs.frozen
class RunInterval:
    """A start, and when its run was over (``inf``: it runs on).

    ``is_cut_short`` says that the worker crashed or left while it ran.
    """

    start: RunStarted
    end_ms: float
    is_cut_short: bool = False


@attrs.frozen
class History:
    """All runs in the order of their starts, and all ends in theirs."""

    runs: tuple[RunInterval, ...]
    ends: tuple[EndedRun, ...]


def read_history(events: Iterable[Event], note_ms: float = math.inf) -> History:
    """Return the history in the events of any workers.

    An end counts as taken note of ``note_ms`` after it was listed at the latest.
    """
    lives: defaultdict[tuple[str, int], _Life] = defaultdict(_Life)
    for event in sorted(events, key=lambda event: event.at_ms):
        lives[event.worker, event.born].take(event)
    runs = [run for life in lives.values() for run in life.runs()]
    ends = [end for life in lives.values() for end in life.ends(note_ms)]
    runs.sort(key=lambda run: run.start.at_ms)
    ends.sort(key=lambda ended: ended.end.at_ms)
    return History(tuple(runs), tuple(ends))


class _Life:
    """The events of one life of a worker, in order."""

    def __init__(self) -> None:
        self._starts: dict[tuple[str, int], RunStarted] = {}
        self._over_ms: dict[tuple[str, int], float] = {}
        self._ends: list[RunEnded] = []
        self._noted_ms: dict[int, float] = {}
        self._open: set[int] = set()
        self._died_ms = math.inf

    def take(self, event: Event) -> None:
        """Take the next event."""
        match event:
            case RunStarted():
                self._starts[event.task, event.run] = event
            case RunEnded():
                self._over_ms[event.task, event.run] = event.at_ms
                self._ends.append(event)
                self._open.add(event.number)
            case EndsAcked():
                self._ack(event)
            case LeaseLapsed():
                self._open.clear()
            case LifeEnded():
                self._died_ms = event.at_ms

    def runs(self) -> list[RunInterval]:
        """Return all runs of this life."""
        return [
            RunInterval(
                start,
                self._over_ms.get(key, self._died_ms),
                key not in self._over_ms and not math.isinf(self._died_ms),
            )
            for key, start in self._starts.items()
        ]

    def ends(self, note_ms: float) -> list[EndedRun]:
        """Return all ends of this life."""
        return [
            EndedRun(end, min(self._noted(end), end.at_ms + note_ms))
            for end in self._ends
        ]

    def _noted(self, end: RunEnded) -> float:
        return self._noted_ms.get(end.number, math.inf)

    def _ack(self, ack: EndsAcked) -> None:
        for number in [n for n in self._open if n <= ack.acked_through]:
            self._noted_ms[number] = ack.at_ms
            self._open.remove(number)
