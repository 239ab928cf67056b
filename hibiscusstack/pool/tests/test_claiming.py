"""Appends that list a host and claim terms, through outages."""

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.exceptions import UnavailableError
from hibiscusstack.pool.claiming import (
    REGISTRATION_RETRY_MS,
    HostRegistration,
    TermClaimer,
)
from hibiscusstack.pool.election import CLAIM_TIMEOUT_MS, Election, Term
from hibiscusstack.pool.host_records import (
    TERM_KEY,
    HostRecord,
    decode_host,
    decode_term,
    host_key,
)
from hibiscusstack.pool.interfaces import Appended, AppendRefused, KeyedRecord

A = HostName("x", "a", 1)
RECORD = HostRecord(A, "10.0.0.1", 7400)
OUTAGE = UnavailableError("log", "down")


class Log:
    """A log whose answers the test gives."""

    def __init__(self):
        self.calls, self.answered = [], None

    def append(self, topic, key, value, at=None):
        """Keep the call."""
        self.calls.append((key, value, at))
        self.answered = Deferred()
        return self.answered


def claims():
    election, log, taken = Election(A, 200), Log(), []
    election.note_end(5)
    return log, election, TermClaimer(log, A, election, taken.append), taken


def test_a_host_lists_itself_until_that_is_done():
    clock, log = Clock(), Log()
    listing = HostRegistration(clock, log, RECORD)
    listing.append()
    log.answered.errback(OUTAGE)
    assert listing.offset is None
    clock.advance(REGISTRATION_RETRY_MS / 1000)
    log.answered.callback(Appended(9))
    clock.advance(10)
    assert listing.offset == 9 and len(log.calls) == 2
    key, value, at = log.calls[-1]
    assert (key, at) == (host_key(A), None)
    assert decode_host(KeyedRecord(9, key, value)) == RECORD


def test_a_claim_depends_on_the_end_and_yields_the_term():
    log, _, claimer, taken = claims()
    claimer.claim()
    claimer.claim()
    ((key, value, at),) = log.calls
    assert (key, at) == (TERM_KEY, 5)
    assert decode_term(KeyedRecord(5, key, value)) == A
    log.answered.callback(Appended(5))
    assert taken == [Term(5, A)]


@pytest.mark.parametrize("is_refused", [False, True])
def test_another_claim_may_follow_one_that_was_refused_or_lost(is_refused):
    log, election, claimer, taken = claims()
    assert election.should_claim(1_000, False, {})
    assert not election.should_claim(CLAIM_TIMEOUT_MS + 999, False, {})
    claimer.claim()
    if is_refused:
        log.answered.callback(AppendRefused(6))
    else:
        log.answered.errback(OUTAGE)
    assert taken == [] and election.should_claim(1_010, False, {})
    claimer.claim()
    assert len(log.calls) == 2
