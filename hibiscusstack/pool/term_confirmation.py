"""Whether a later term has begun, as the log tells when it is asked."""

__all__ = ["TermConfirmation"]

from twisted.python.failure import Failure

from hibiscusstack.clock import Clock
from hibiscusstack.pool.claiming import HOSTS_TOPIC
from hibiscusstack.pool.election import Election
from hibiscusstack.pool.host_records import TERM_KEY
from hibiscusstack.pool.interfaces import KeyedLog, KeyedPage

RETRY_DELAY_MS = 100


class TermConfirmation:
    """Reads the log of terms on request, without waiting for a new record.

    No later term than the newest known one had begun at ``confirmed_ms``. A read that
    finds one confirms nothing; the follower of the topic delivers its record.
    """

    def __init__(self, log: KeyedLog, clock: Clock, election: Election) -> None:
        self.confirmed_ms: float | None = None
        self._log = log
        self._clock = clock
        self._election = election
        self._is_reading = False
        self._next_read_ms = 0.0

    def request(self) -> None:
        """Read the log, unless a read is in flight or has just failed."""
        now_ms = self._clock.now_ms()
        if self._is_reading or now_ms < self._next_read_ms:
            return
        self._is_reading = True
        page = self._log.read_from(HOSTS_TOPIC, self._election.log_end_offset, 0)
        page.addCallbacks(self._handle_page, self._handle_failure, [now_ms])

    def _handle_page(self, page: KeyedPage, begun_ms: float) -> None:
        self._is_reading = False
        if page.has_more or any(record.key == TERM_KEY for record in page.records):
            self._delay_next_read()
        else:
            self.confirmed_ms = begun_ms

    def _handle_failure(self, _: Failure) -> None:
        self._is_reading = False
        self._delay_next_read()

    def _delay_next_read(self) -> None:
        self._next_read_ms = self._clock.now_ms() + RETRY_DELAY_MS
