"""Requests of operators to evacuate data centres, as read from the log."""

__all__ = ["EvacuationRequests", "FindDataCentre"]

from collections.abc import Callable, Iterable, Mapping

from eliot import log_message

from hibiscusstack.clock import Clock
from hibiscusstack.pool.interfaces import KeyedRecord

FindDataCentre = Callable[[KeyedRecord], str | None]


class EvacuationRequests:
    """The data centres at whose targets nothing more is started.

    ``find_data_centre`` returns the data centre that a record asks to evacuate, also if
    the record ends the request, and ``None`` for any other record. A request holds from
    the moment it is read until its record is deleted.
    """

    def __init__(self, find_data_centre: FindDataCentre, clock: Clock) -> None:
        self._find_data_centre = find_data_centre
        self._clock = clock
        self._since_ms: dict[str, float] = {}

    @property
    def since_ms(self) -> Mapping[str, float]:
        """Return when each request was first read, by data centre."""
        return self._since_ms

    def apply_records(self, records: Iterable[KeyedRecord], is_snapshot: bool) -> bool:
        """Apply the requests among the records; return whether any has changed.

        A snapshot holds all requests, so those without a record in it have ended.
        """
        before = self._since_ms
        after = {} if is_snapshot else dict(before)
        now_ms = self._clock.now_ms()
        for record in records:
            data_centre = self._find_data_centre(record)
            if data_centre is None:
                continue
            if record.value is None:
                after.pop(data_centre, None)
            else:
                after[data_centre] = before.get(data_centre, now_ms)
        self._since_ms = after
        for data_centre in sorted(after.keys() - before.keys()):
            log_message("pool:evacuation_asked", data_centre=data_centre)
        for data_centre in sorted(before.keys() - after.keys()):
            log_message(
                "pool:evacuation_ended",
                data_centre=data_centre,
                lasted_ms=int(now_ms - before[data_centre]),
            )
        return after.keys() != before.keys()
