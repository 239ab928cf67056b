"""Answers that a service is to send at a later time."""

__all__ = ["Outbox"]

import heapq
import itertools

from hibiscusstack_standins.estate.messages import Outcome


class Outbox:
    """Outcomes by the time they are due; those of one time keep their order.

    >>> outbox = Outbox()
    >>> outbox.put(20, 1, "late"), outbox.put(10, 2, "early")
    (None, None)
    >>> outbox.take_due(15), outbox.next_due_ms()
    ([(2, 'early')], 20)
    """

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, int, Outcome]] = []
        self._order = itertools.count()

    def put(self, due_ms: int, ticket: int, outcome: Outcome) -> None:
        """Send an outcome at a time."""
        heapq.heappush(self._heap, (due_ms, next(self._order), ticket, outcome))

    def take_due(self, now_ms: int) -> list[tuple[int, Outcome]]:
        """Return what is due by now, and forget it."""
        due = []
        while self._heap and self._heap[0][0] <= now_ms:
            due.append(heapq.heappop(self._heap)[2:])
        return due

    def next_due_ms(self) -> int | None:
        """Return when the next outcome is due."""
        return self._heap[0][0] if self._heap else None
