"""Where a client takes its ids from."""

__all__ = ["IdSource"]

from collections.abc import Sequence

from twisted.internet.defer import Deferred, DeferredLock, gatherResults

from hibiscusstack.caller.attempts import EntryClient
from hibiscusstack.caller.client_settings import ClientSettings
from hibiscusstack.caller.entries import EntryRotation
from hibiscusstack.caller.id_pool import HeldId, IdPool
from hibiscusstack.caller.service import IssuedIds
from hibiscusstack.clock import Clock
from hibiscusstack.exceptions import RequestRefusedError, UnavailableError

Fault = RequestRefusedError | UnavailableError


class IdSource:
    """Ids held ahead, refilled by a batch from every entry host that answers.

    Each id goes back to the host that issued it, so ids of all of them, taken in
    turn, spread the jobs evenly and need no forwarding.
    """

    def __init__(
        self, entries: EntryRotation, clock: Clock, settings: ClientSettings
    ) -> None:
        self._entries = entries
        self._clock = clock
        self._settings = settings
        self._pool = IdPool(clock, settings.max_ids)
        self._refill = DeferredLock()

    def add(self, issued: IssuedIds, source: str, requested_ms: int) -> None:
        """Hold ids that ``source`` gave in answer to a request of ``requested_ms``."""
        self._pool.add(issued.ids, source, issued.valid_ms, requested_ms)

    def discard_from(self, source: str) -> None:
        """Forget the ids of one source, as their owner may be gone or draining."""
        self._pool.discard_from(source)

    async def take(self) -> HeldId:
        """Return an id that nobody else gets, of a host that works if possible.

        Raises ``UnavailableError`` or ``RequestRefusedError`` if none can be had.
        """
        held = self._pool.take(self._entries.is_avoided)
        if held is not None:
            return held
        async with self._refill:
            return self._pool.take(self._entries.is_avoided) or await self._renew()

    async def fetch(self, count: int) -> IssuedIds:
        """Return fresh ids past the pool; raises as :meth:`take` does."""
        error: Exception = UnavailableError("entry hosts", "none issued ids")
        for entry in self._entries.choose_all():
            issued = await self._ask(entry, count)
            if isinstance(issued, IssuedIds):
                return issued
            error = issued
        raise error

    async def _renew(self) -> HeldId:
        entries = self._entries.choose_all()
        faults = await self._fill_from(entries)
        held = self._pool.take(self._entries.is_avoided) or self._pool.take()
        if held is not None:
            return held
        raise (faults or [UnavailableError("entry hosts", "no id was issued")])[-1]

    async def _fill_from(self, entries: Sequence[EntryClient]) -> list[Fault]:
        """Ask every host for its part of a batch and return what went wrong."""
        count = -(-self._settings.id_batch // len(entries))
        requested_ms = self._clock.now_ms()
        answers = await gatherResults(
            [Deferred.fromCoroutine(self._ask(entry, count)) for entry in entries]
        )
        faults = []
        for entry, issued in zip(entries, answers, strict=True):
            if isinstance(issued, IssuedIds):
                self.add(issued, entry.url, requested_ms)
            else:
                faults.append(issued)
        return faults

    async def _ask(self, entry: EntryClient, count: int) -> IssuedIds | Fault:
        try:
            return await entry.fetch_ids(count, self._settings.id_timeout_ms)
        except (RequestRefusedError, UnavailableError) as fault:
            self._entries.suspect(entry)
            return fault
