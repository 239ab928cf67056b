"""Credit of slot time by which each class keeps its guaranteed part."""

__all__ = ["ClassCredits"]

from collections.abc import Callable

import attrs

BURST_MS = 2_000


@attrs.define
class _Credit:
    slot_ms: float
    refilled_ms: int


class ClassCredits:
    """Slot-milliseconds that each class may use ahead of more urgent work.

    A class earns its guaranteed part of all slots as time passes and pays for what
    its tasks take. The credit lies within what ``BURST_MS`` earns, on both sides of
    zero: idle time can't be saved up for long, and spare slots that a class has used
    don't cost it its guarantee later. This is a token bucket for each class.
    """

    def __init__(self, guaranteed_part_of: Callable[[str], float]) -> None:
        self.guaranteed_part_of = guaranteed_part_of
        self.slots = 0
        self._credits: dict[str, _Credit] = {}

    def level(self, class_name: str, now_ms: int) -> float:
        """Return the credit of a class as a part of the most it can have.

        A class with a level above 0 may go before more urgent ones.
        """
        capacity = self._capacity(class_name)
        return self._refill(class_name, now_ms).slot_ms / capacity if capacity else 0.0

    def debit(self, class_name: str, slot_ms: float, now_ms: int) -> None:
        """Take ``slot_ms`` from a class; a negative figure gives it back."""
        credit = self._refill(class_name, now_ms)
        capacity = self._capacity(class_name)
        credit.slot_ms = min(max(credit.slot_ms - slot_ms, -capacity), capacity)

    def _refill(self, class_name: str, now_ms: int) -> _Credit:
        capacity = self._capacity(class_name)
        credit = self._credits.get(class_name)
        if credit is None:
            credit = self._credits[class_name] = _Credit(capacity, now_ms)
        elapsed_ms = max(now_ms - credit.refilled_ms, 0)
        earned = elapsed_ms * self.guaranteed_part_of(class_name) * self.slots
        credit.slot_ms = min(credit.slot_ms + earned, capacity)
        credit.refilled_ms = max(now_ms, credit.refilled_ms)
        return credit

    def _capacity(self, class_name: str) -> float:
        return BURST_MS * self.guaranteed_part_of(class_name) * self.slots
