"""Where a client takes its ids from."""

__all__ = ["IdSource"]

from twisted.internet.defer import DeferredLock

from hibiscusstack.caller.client_settings import ClientSettings
from hibiscusstack.caller.entries import EntryRotation
from hibiscusstack.caller.id_pool import IdPool
from hibiscusstack.caller.service import IssuedIds
from hibiscusstack.clock import Clock
from hibiscusstack.exceptions import RequestRefusedError, UnavailableError


class IdSource:
    """Ids held ahead, refilled by batches from whichever entry host answers."""

    def __init__(
        self, entries: EntryRotation, clock: Clock, settings: ClientSettings
    ) -> None:
        self._entries = entries
        self._clock = clock
        self._settings = settings
        self._pool = IdPool(clock, settings.max_ids)
        self._refill = DeferredLock()

    def add(self, issued: IssuedIds, requested_ms: int) -> None:
        """Hold ids that came with an answer to a request of ``requested_ms``."""
        self._pool.add(issued.ids, issued.valid_ms, requested_ms)

    def discard_all(self) -> None:
        """Forget the ids held, as their owner may be gone or draining."""
        self._pool.discard_all()

    async def take(self) -> str:
        """Return an id that nobody else gets.

        Raises ``UnavailableError`` or ``RequestRefusedError`` if none can be had.
        """
        job_id = self._pool.take()
        if job_id is not None:
            return job_id
        async with self._refill:
            return self._pool.take() or await self._fetch_batch()

    async def fetch(self, count: int) -> IssuedIds:
        """Return fresh ids past the pool; raises as :meth:`take` does."""
        error: Exception = UnavailableError("entry hosts", "none issued ids")
        for entry in self._entries.choose_all():
            try:
                return await entry.fetch_ids(count, self._settings.id_timeout_ms)
            except (RequestRefusedError, UnavailableError) as fault:
                self._entries.suspect(entry)
                error = fault
        raise error

    async def _fetch_batch(self) -> str:
        requested_ms = self._clock.now_ms()
        issued = await self.fetch(self._settings.id_batch)
        self.add(issued, requested_ms)
        job_id = self._pool.take()
        if job_id is None:
            raise UnavailableError("entry hosts", "no valid id was issued")
        return job_id
