"""The parts of a queue with shares: batches, a team's line, and teams in turn."""

__all__ = ["BatchKey", "ClassLine", "TeamLine", "TeamState", "WaitingBatch"]

import heapq
import math
from collections.abc import Callable

import attrs

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.dispatch.queueing import QueuedTask

BatchKey = tuple[HostName, int]


@attrs.define
class TeamState:
    """What a team has received within one class, in slot-milliseconds by weight."""

    virtual_ms: float = 0.0
    waiting: int = 0
    lines: list["TeamLine"] = attrs.field(factory=list)


@attrs.define(eq=False)
class WaitingBatch:
    """The tasks of one batch that wait, the longest expected first."""

    key: BatchKey
    line: "TeamLine"
    entries: list[tuple[float, int, QueuedTask]] = attrs.field(factory=list)
    deadline_ms: float = math.inf

    def push(self, entry: QueuedTask, expected_ms: float, number: int) -> None:
        """Add one task; ``number`` breaks ties."""
        heapq.heappush(self.entries, (-expected_ms, number, entry))
        self.deadline_ms = min(self.deadline_ms, entry.deadline_ms)

    def longest_ms(self) -> float:
        """Return what the longest of the waiting tasks is expected to take."""
        return -self.entries[0][0] if self.entries else 0.0


@attrs.define(eq=False)
class TeamLine:
    """The batches of one team in one class that may use the same targets.

    Batches of which something was started go before the others, since a job that
    is given up halfway is waste.
    """

    owner: "ClassLine"
    team: str
    begun: dict[BatchKey, WaitingBatch] = attrs.field(factory=dict)
    fresh: dict[BatchKey, WaitingBatch] = attrs.field(factory=dict)

    def first(self) -> WaitingBatch:
        """Return the batch whose turn it is."""
        return next(iter((self.begun or self.fresh).values()))

    def mark_begun(self, batch: WaitingBatch) -> None:
        """Let a batch go before those of which nothing was started."""
        if self.fresh.pop(batch.key, None) is not None:
            self.begun[batch.key] = batch

    def remove(self, batch: WaitingBatch) -> None:
        """Take out a batch."""
        self.begun.pop(batch.key, None)
        self.fresh.pop(batch.key, None)

    def is_empty(self) -> bool:
        """Tell whether no batch waits here."""
        return not self.begun and not self.fresh


@attrs.define(eq=False)
class ClassLine:
    """The teams of one class whose waiting work may use the same targets.

    The heap holds (virtual time, team) pairs. A pair whose virtual time is no
    longer the team's is out of date and is dropped when it comes to the top, which
    keeps every change of a team at a logarithmic cost.
    """

    class_name: str
    targets: frozenset[str]
    lines: dict[str, TeamLine] = attrs.field(factory=dict)
    heap: list[tuple[float, str]] = attrs.field(factory=list)

    def add_line(self, team: str, virtual_ms: float) -> TeamLine:
        """Return a new line for a team that has none here."""
        line = TeamLine(self, team)
        self.lines[team] = line
        self.enter(team, virtual_ms)
        return line

    def enter(self, team: str, virtual_ms: float) -> None:
        """Enter a team's new virtual time."""
        heapq.heappush(self.heap, (virtual_ms, team))
        if len(self.heap) > 4 * len(self.lines) + 64:
            self.heap = [each for each in set(self.heap) if each[1] in self.lines]
            heapq.heapify(self.heap)

    def next_line(
        self, virtual_of: Callable[[str], float], is_allowed: Callable[[str], bool]
    ) -> TeamLine | None:
        """Return the line of the allowed team with the least virtual time."""
        skipped = []
        found = None
        while self.heap:
            virtual_ms, team = self.heap[0]
            line = self.lines.get(team)
            if line is None or virtual_ms != virtual_of(team):
                heapq.heappop(self.heap)
                continue
            if is_allowed(team):
                found = line
                break
            skipped.append(heapq.heappop(self.heap))
        for each in skipped:
            heapq.heappush(self.heap, each)
        return found
