"""Tests of the appends that register a host and claim terms, with failures."""

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from hibiscusstack.clock import ManualClock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.exceptions import UnavailableError
from hibiscusstack.pool.claiming import (
    CLAIM_RETRY_MS,
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
    """A log whose results the test supplies."""

    def __init__(self):
        self.calls, self.answered = [], None

    def append(self, topic, key, value, at=None):
        """Record the call."""
        self.calls.append((key, value, at))
        self.answered = Deferred()
        return self.answered


def make_claimer(clock=None):
    election, log, taken = Election(A, 200), Log(), []
    election.record_log_end(5)
    clock = clock or ManualClock(10_000)
    return log, election, TermClaimer(log, clock, A, election, taken.append), taken


def test_registration_is_retried_until_it_is_confirmed():
    clock, log = Clock(), Log()
    registration = HostRegistration(clock, log, RECORD)
    registration.append()
    log.answered.errback(OUTAGE)
    assert registration.offset is None
    clock.advance(REGISTRATION_RETRY_MS / 1000)
    log.answered.callback(Appended(9))
    clock.advance(10)
    assert registration.offset == 9 and len(log.calls) == 2
    key, value, at = log.calls[-1]
    assert (key, at) == (host_key(A), None)
    assert decode_host(KeyedRecord(9, key, value)) == RECORD


def test_claim_is_conditional_on_the_end_and_returns_the_term():
    log, election, claimer, taken = make_claimer()
    claimer.claim()
    claimer.claim()
    ((key, value, at),) = log.calls
    assert (key, at) == (TERM_KEY, 5)
    assert decode_term(KeyedRecord(5, key, value)) == A
    log.answered.callback(Appended(5))
    assert taken == [Term(5, A)] and election.log_end_offset == 6


@pytest.mark.parametrize("is_refused", [False, True])
def test_next_claim_is_allowed_after_a_refused_or_failed_one(is_refused):
    clock = ManualClock(1_000)
    log, election, claimer, taken = make_claimer(clock)
    assert election.should_claim(1_000, False, {})
    assert not election.should_claim(CLAIM_TIMEOUT_MS + 999, False, {})
    claimer.claim()
    if is_refused:
        log.answered.callback(AppendRefused(6))
        election.record_log_end(6)
    else:
        log.answered.errback(OUTAGE)
        clock.advance(CLAIM_RETRY_MS)
    assert taken == [] and election.should_claim(1_010, False, {})
    claimer.claim()
    assert len(log.calls) == 2


# Guards against a claim in each tick until the record that refuses it has been read.
def test_a_refused_claim_is_repeated_only_after_the_log_was_read_to_its_end():
    clock = ManualClock(10_000)
    log, election, claimer, taken = make_claimer(clock)
    claimer.claim()
    log.answered.callback(AppendRefused(7))
    for end in (5, 6):
        election.record_log_end(end)
        assert election.should_claim(clock.now_ms(), False, {})
        claimer.claim()
        clock.advance(10)
    assert len(log.calls) == 1
    election.record_log_end(7)
    assert election.should_claim(clock.now_ms(), False, {})
    claimer.claim()
    log.answered.callback(Appended(7))
    assert [at for *_, at in log.calls] == [5, 7] and taken == [Term(7, A)]


# Guards against a claim in each tick while every call of the log fails at once.
def test_claims_that_fail_are_retried_after_a_pause():
    clock = ManualClock(10_000)
    log, election, claimer, _ = make_claimer(clock)
    for _ in range(10):
        if election.should_claim(clock.now_ms(), False, {}):
            claimer.claim()
        if log.answered is not None and not log.answered.called:
            log.answered.errback(OUTAGE)
        clock.advance(10)
    assert len(log.calls) == 1
    clock.advance(CLAIM_RETRY_MS)
    assert election.should_claim(clock.now_ms(), False, {})
    claimer.claim()
    assert len(log.calls) == 2
