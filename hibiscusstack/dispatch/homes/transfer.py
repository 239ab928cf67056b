"""When an idle home asks a busy one for work."""

__all__ = ["WorkTransfer"]

from collections.abc import Mapping

from hibiscusstack.dispatch.effects import Effect, SendPeer
from hibiscusstack.dispatch.loads import HomeLoad
from hibiscusstack.dispatch.messages import HostName, RequestWork

REQUEST_INTERVAL_MS = 500
MIN_TRANSFER_WAIT_MS = 200


class WorkTransfer:
    """Asks the home with the longest wait, while this one has free slots.

    The busy home gives tasks back to their owners, who place them again; so a
    transfer needs no promise between homes, and no task is held by two of them. A
    task moves at most once. Stealing by the idle follows Blumofe and Leiserson,
    "Scheduling multithreaded computations by work stealing", 1999.
    """

    def __init__(self, name: HostName) -> None:
        self._name = name
        self._next_request_ms = 0

    def tick(self, loads: Mapping[HostName, HomeLoad], now_ms: int) -> list[Effect]:
        """Return a request to a busy home of this data centre, if one is due."""
        own = loads.get(self._name)
        if own is None or now_ms < self._next_request_ms:
            return []
        if own.free_slots <= 0 or own.queued_ms > 0:
            return []
        waits = {
            home: load.queued_ms / load.slots
            for home, load in loads.items()
            if home != self._name
            and home.data_centre == self._name.data_centre
            and load.slots
        }
        busiest = max(waits, key=waits.__getitem__, default=None)
        if busiest is None or waits[busiest] < MIN_TRANSFER_WAIT_MS:
            return []
        self._next_request_ms = now_ms + REQUEST_INTERVAL_MS
        return [SendPeer(busiest, RequestWork(own.free_slots))]
