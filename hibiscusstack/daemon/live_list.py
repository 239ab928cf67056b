"""Polls the live list of targets and dispatcher hosts from the platform."""

__all__ = ["LiveListPoller"]

from eliot import log_message
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from hibiscusstack.daemon.dispatcher import Dispatcher
from hibiscusstack.host import Mesh, PeerAddress
from hibiscusstack.records import LiveList, LiveListClient


class LiveListPoller:
    """Applies each new version of the live list; on errors the last one is kept."""

    def __init__(
        self,
        client: LiveListClient,
        dispatcher: Dispatcher,
        mesh: Mesh,
        data_centre: str,
    ) -> None:
        self._client = client
        self._dispatcher = dispatcher
        self._mesh = mesh
        self._data_centre = data_centre
        self._version: int | None = None
        self._is_request_in_flight = False
        self._is_failing = False

    def poll(self) -> Deferred[None] | None:
        """Fetch the list unless an earlier request is still in flight."""
        if self._is_request_in_flight:
            return None
        self._is_request_in_flight = True
        listed = self._client.fetch(self._version)
        listed.addCallbacks(self._apply, self._fetch_failed)
        return listed

    def _apply(self, live_list: LiveList | None) -> None:
        self._is_request_in_flight = False
        self._is_failing = False
        if live_list is None or live_list.version == self._version:
            return
        self._version = live_list.version
        own = [t for t in live_list.targets if t.data_centre == self._data_centre]
        self._mesh.replace_listed(
            PeerAddress(host.address, host.port) for host in live_list.dispatchers
        )
        self._dispatcher.replace_targets(live_list.targets)
        log_message(
            "platform:live_list",
            version=live_list.version,
            targets=len(own),
            leaving=sum(target.is_leaving for target in own),
            dispatchers=len(live_list.dispatchers),
            faults=[str(fault) for fault in live_list.faults],
        )

    def _fetch_failed(self, failure: Failure) -> None:
        self._is_request_in_flight = False
        if not self._is_failing:
            log_message(
                "platform:live_list_failed",
                level="warning",
                cause=failure.getErrorMessage(),
            )
        self._is_failing = True
