"""Token buckets that hold each class's guaranteed fraction of the slot time."""

__all__ = ["ClassCredits"]

from collections.abc import Callable

import attrs

BURST_MS = 2_000


@attrs.define
class _Credit:
    slot_ms: float
    refilled_ms: int


class ClassCredits:
    """One token bucket per class, in slot-milliseconds.

    A class with positive credit may run tasks ahead of classes with a higher
    ``urgency``. Its bucket starts full, fills at the rate of its ``guaranteed_part``,
    a fraction of the slots of the home, and is debited for the slot time of its
    tasks.

    The credit is limited to plus or minus the amount earned in ``BURST_MS``. The
    upper limit keeps a class without tasks from accumulating credit for long. The
    lower limit keeps a class that has used spare slots from losing its guarantee
    later.
    """

    def __init__(self, guaranteed_fraction_of: Callable[[str], float]) -> None:
        self.guaranteed_fraction_of = guaranteed_fraction_of
        self.slots = 0
        self._credits: dict[str, _Credit] = {}

    def level(self, class_name: str, now_ms: int) -> float:
        """Return the credit of a class as a fraction of its capacity.

        A class with a level above 0 may go before more urgent ones. The level is 0
        for a class whose ``guaranteed_part`` is 0.
        """
        capacity = self._capacity(class_name)
        return self._refill(class_name, now_ms).slot_ms / capacity if capacity else 0.0

    def debit(self, class_name: str, slot_ms: float, now_ms: int) -> None:
        """Subtract ``slot_ms`` from the credit; a negative value refunds it."""
        credit = self._refill(class_name, now_ms)
        capacity = self._capacity(class_name)
        credit.slot_ms = min(max(credit.slot_ms - slot_ms, -capacity), capacity)

    def _refill(self, class_name: str, now_ms: int) -> _Credit:
        capacity = self._capacity(class_name)
        credit = self._credits.get(class_name)
        if credit is None:
            credit = self._credits[class_name] = _Credit(capacity, now_ms)
        elapsed_ms = max(now_ms - credit.refilled_ms, 0)
        earned = elapsed_ms * self.guaranteed_fraction_of(class_name) * self.slots
        credit.slot_ms = min(credit.slot_ms + earned, capacity)
        credit.refilled_ms = max(now_ms, credit.refilled_ms)
        return credit

    def _capacity(self, class_name: str) -> float:
        return BURST_MS * self.guaranteed_fraction_of(class_name) * self.slots
