"""Detection of entry hosts that fall silent while requests wait at them."""

__all__ = ["SilenceWatch"]

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from hibiscusstack.caller.attempts import EntryClient
from hibiscusstack.caller.client_settings import ClientSettings
from hibiscusstack.caller.entries import EntryRotation
from hibiscusstack.exceptions import RequestRefusedError, UnavailableError

MS_PER_SECOND = 1000


class SilenceWatch:
    """Asks a host for its health while it owes answers and says nothing.

    A job may take long, so its silence alone proves nothing. A host whose health
    can't be had is suspected, and new jobs go to the others. What waits at it goes
    on to wait, as only its own answer can tell what became of it.
    """

    def __init__(
        self, reactor: IReactorTime, entries: EntryRotation, settings: ClientSettings
    ) -> None:
        self._reactor = reactor
        self._entries = entries
        self._settings = settings
        self._owed: dict[str, int] = {}
        self._timers: dict[str, IDelayedCall] = {}

    def begin(self, entry: EntryClient) -> None:
        """Note that a request has been sent to a host."""
        self._owed[entry.url] = self._owed.get(entry.url, 0) + 1
        if self._owed[entry.url] == 1:
            self._schedule(entry)

    def end(self, entry: EntryClient) -> None:
        """Note that a request has ended, with an answer or without."""
        self._owed[entry.url] -= 1
        timer = self._timers.pop(entry.url, None)
        if timer is not None:
            timer.cancel()
            self._schedule(entry)

    def _schedule(self, entry: EntryClient) -> None:
        if self._owed[entry.url]:
            delay = self._settings.silence_ms / MS_PER_SECOND
            self._timers[entry.url] = self._reactor.callLater(delay, self._probe, entry)

    def _probe(self, entry: EntryClient) -> None:
        del self._timers[entry.url]
        Deferred.fromCoroutine(self._ask_health(entry))

    async def _ask_health(self, entry: EntryClient) -> None:
        try:
            await entry.call("GET", "/healthz", self._settings.silence_ms)
        except UnavailableError:
            self._entries.suspect(entry)
        except RequestRefusedError:
            pass
        self._schedule(entry)
