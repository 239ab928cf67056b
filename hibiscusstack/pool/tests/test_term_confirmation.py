"""Tests of the reads that tell whether a later term has begun."""

import pytest
from twisted.internet.defer import Deferred

from hibiscusstack.clock import ManualClock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.exceptions import UnavailableError
from hibiscusstack.pool.election import Election
from hibiscusstack.pool.host_records import TERM_KEY
from hibiscusstack.pool.interfaces import KeyedPage, KeyedRecord
from hibiscusstack.pool.term_confirmation import RETRY_DELAY_MS, TermConfirmation

END = 7


class Log:
    """Keeps the reads, to be answered by the test."""

    def __init__(self):
        self.reads = []

    def read_from(self, topic, offset, wait_ms):
        """Keep a read."""
        assert (topic, offset, wait_ms) == ("hosts", END, 0)
        self.reads.append(Deferred())
        return self.reads[-1]


def make_confirmation():
    log, clock = Log(), ManualClock(1_000)
    election = Election(HostName("x", "a", 1), 200)
    election.record_log_end(END)
    return log, clock, TermConfirmation(log, clock, election)


def page_of(*keys, has_more=False):
    records = tuple(
        KeyedRecord(END + place, key, b"") for place, key in enumerate(keys)
    )
    return KeyedPage(records, END + len(keys), has_more)


@pytest.mark.parametrize("keys", [(), ("host/x/b",)])
def test_a_read_without_a_later_term_confirms_the_time_of_its_request(keys):
    log, clock, confirmation = make_confirmation()
    confirmation.request()
    clock.advance(30)
    confirmation.request()
    (read,) = log.reads
    read.callback(page_of(*keys))
    assert confirmation.confirmed_ms == 1_000


@pytest.mark.parametrize(
    "result",
    [
        page_of("host/x/b", TERM_KEY),
        page_of("host/x/b", has_more=True),
        UnavailableError("log", "reset"),
    ],
)
def test_other_reads_confirm_nothing_and_are_repeated_after_a_delay(result):
    log, clock, confirmation = make_confirmation()
    confirmation.request()
    answer = log.reads[0]
    answer.callback(result) if isinstance(result, KeyedPage) else answer.errback(result)
    confirmation.request()
    assert confirmation.confirmed_ms is None and len(log.reads) == 1
    clock.advance(RETRY_DELAY_MS)
    confirmation.request()
    assert len(log.reads) == 2
