"""Requests of an idle home host for queued work of a busy one."""

__all__ = ["WorkTransfer"]

from collections.abc import Mapping

from hibiscusstack.dispatch.effects import Effect, SendPeer
from hibiscusstack.dispatch.loads import HomeLoad
from hibiscusstack.dispatch.messages import HostName, RequestWork

REQUEST_INTERVAL_MS = 500
MIN_TRANSFER_WAIT_MS = 200


class WorkTransfer:
    """Requests work from the home with the longest wait while this one is idle.

    The busy home returns tasks to their owners, which place them again. A transfer
    therefore needs no agreement between homes, and no task is queued on two of them.
    A task moves at most once. Work stealing by idle hosts follows Blumofe and
    Leiserson, "Scheduling multithreaded computations by work stealing", 1999.
    """

    def __init__(self, name: HostName) -> None:
        self._name = name
        self._next_request_ms = 0

    def tick(self, loads: Mapping[HostName, HomeLoad], now_ms: int) -> list[Effect]:
        """Return a request to the busiest home of this data centre, if one is due."""
        own = loads.get(self._name)
        if own is None or now_ms < self._next_request_ms:
            return []
        if own.free_slots <= 0 or own.queued_ms > 0:
            return []
        wait_ms_by_home = {
            home: load.queued_ms / load.slots
            for home, load in loads.items()
            if home != self._name
            and home.data_centre == self._name.data_centre
            and load.slots
        }
        busiest = max(wait_ms_by_home, key=wait_ms_by_home.__getitem__, default=None)
        if busiest is None or wait_ms_by_home[busiest] < MIN_TRANSFER_WAIT_MS:
            return []
        self._next_request_ms = now_ms + REQUEST_INTERVAL_MS
        return [SendPeer(busiest, RequestWork(own.free_slots))]
