"""Log appends of a host: its own registration and its claims of terms."""

__all__ = ["HOSTS_TOPIC", "HostRegistration", "TermClaimer"]

from collections.abc import Callable

from eliot import log_message
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from hibiscusstack.clock import Clock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.election import Election, Term
from hibiscusstack.pool.host_records import (
    TERM_KEY,
    HostRecord,
    encode_host,
    encode_term,
    host_key,
)
from hibiscusstack.pool.interfaces import Appended, AppendRefused, KeyedLog

HOSTS_TOPIC = "hosts"
REGISTRATION_RETRY_MS = 500
CLAIM_RETRY_MS = 100


class HostRegistration:
    """Registers one run of a host in the log.

    ``offset`` is the offset of its record, None until the append has succeeded.
    """

    def __init__(
        self, reactor: IReactorTime, log: KeyedLog, record: HostRecord
    ) -> None:
        self.offset: int | None = None
        self._reactor = reactor
        self._log = log
        self._record = record

    def append(self) -> None:
        """Append the record, and retry until the append is confirmed."""
        key, value = host_key(self._record.name), encode_host(self._record)
        appended = self._log.append(HOSTS_TOPIC, key, value)
        appended.addCallbacks(self._appended, self._failed)

    def _appended(self, result: Appended) -> None:
        self.offset = result.offset

    def _failed(self, failure: Failure) -> None:
        log_message("pool:listing_failed", cause=failure.getErrorMessage())
        self._reactor.callLater(REGISTRATION_RETRY_MS / 1000, self.append)


class TermClaimer:
    """Claims terms for one host, one claim at a time.

    ``on_term_won`` is called with each term that was won. After an append that failed,
    no claim is made for ``CLAIM_RETRY_MS``, and after one that was refused none until
    this host has read the log up to its end, since it would be refused as well.
    """

    def __init__(
        self,
        log: KeyedLog,
        clock: Clock,
        own: HostName,
        election: Election,
        on_term_won: Callable[[Term], None],
    ) -> None:
        self._log = log
        self._clock = clock
        self._next_claim_ms = 0.0
        self._min_end = 0
        self._own = own
        self._election = election
        self._on_term_won = on_term_won
        self._is_claiming = False

    def claim(self) -> None:
        """Claim the next term, unless a claim is in flight or has just failed.

        The append succeeds only if the end offset of the topic is still the one up to
        which this host has read.
        """
        if self._is_claiming:
            return
        end = self._election.log_end_offset
        if self._clock.now_ms() < self._next_claim_ms or end < self._min_end:
            self._election.claim_failed()
            return
        self._is_claiming = True
        log_message("pool:claiming", at=end)
        value = encode_term(self._own)
        claimed = self._log.append(HOSTS_TOPIC, TERM_KEY, value, at=end)
        claimed.addBoth(self._claim_ended)
        claimed.addCallbacks(self._claim_answered, self._claim_failed)

    def _claim_ended(self, result: object) -> object:
        self._is_claiming = False
        return result

    def _claim_answered(self, result: Appended | AppendRefused) -> None:
        if isinstance(result, Appended):
            # The append was conditional on the end, so nothing is in between.
            self._election.record_log_end(result.offset + 1)
            self._on_term_won(Term(result.offset, self._own))
        else:
            self._min_end = result.end
            self._election.claim_failed()

    def _claim_failed(self, failure: Failure) -> None:
        log_message("pool:claim_failed", cause=failure.getErrorMessage())
        self._next_claim_ms = self._clock.now_ms() + CLAIM_RETRY_MS
        self._election.claim_failed()
