"""Following a topic through outages and gaps."""

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from hibiscusstack.exceptions import ExpiredError, UnavailableError
from hibiscusstack.pool.interfaces import KeyedPage, KeyedRecord
from hibiscusstack.pool.topic_follower import (
    BASE_BACKOFF_MS,
    MAX_BACKOFF_MS,
    TopicFollower,
)

ONE, TWO = KeyedRecord(4, "a", b"1"), KeyedRecord(5, "a", b"2")
OUTAGE = UnavailableError("store", "refused")


class Site:
    """A follower and a log whose answers the test gives."""

    def __init__(self):
        self.clock, self.calls, self.taken, self.ends = Clock(), [], [], []
        self.follower = TopicFollower(
            self.clock,
            self,
            "t",
            lambda records, is_snapshot: self.taken.append((records, is_snapshot)),
            wait_ms=1_000,
            on_end=self.ends.append,
        )
        self.follower.start()

    def read_newest(self, topic):
        """Keep the call."""
        return self._call("newest")

    def read_from(self, topic, offset, wait_ms):
        """Keep the call."""
        assert wait_ms == 1_000
        return self._call(offset)

    def _call(self, what):
        self.answered = Deferred()
        self.calls.append(what)
        return self.answered

    def give(self, records, end):
        """Answer the last call with records."""
        self.answered.callback(KeyedPage(tuple(records), end))
        self.clock.advance(0)

    def fail(self, fault):
        """Let the last call fail."""
        self.answered.errback(fault)
        self.clock.advance(0)


def test_the_newest_records_come_first_and_then_each_that_follows():
    site = Site()
    site.give([ONE], 5)
    site.give([TWO], 6)
    site.give([], 6)
    assert site.calls == ["newest", 5, 6, 6]
    assert site.taken == [((ONE,), True), ((TWO,), False)]
    assert site.ends == [5, 6, 6]


def test_an_empty_topic_is_taken_over_as_such():
    site = Site()
    site.give([], 0)
    assert site.taken == [((), True)] and site.calls == ["newest", 0]


def test_a_gap_is_read_from_the_newest_records_on():
    site = Site()
    site.give([ONE], 5)
    site.fail(ExpiredError(9))
    assert site.calls == ["newest", 5, "newest"] and site.follower.is_log_available
    site.give([TWO], 6)
    assert site.taken[-1] == ((TWO,), True)


def test_an_outage_is_waited_out_longer_and_longer_and_then_forgotten():
    site = Site()
    site.give([ONE], 5)
    pauses = []
    for _ in range(6):
        site.fail(OUTAGE)
        assert not site.follower.is_log_available
        (call,) = site.clock.getDelayedCalls()
        pauses.append(round(1_000 * (call.getTime() - site.clock.seconds())))
        site.clock.advance(pauses[-1] / 1_000)
    assert pauses[:2] == [2 * BASE_BACKOFF_MS, 4 * BASE_BACKOFF_MS]
    assert set(pauses[2:]) == {MAX_BACKOFF_MS}
    assert set(site.calls[1:]) == {5}
    site.give([TWO], 6)
    assert site.follower.is_log_available and site.calls[-1] == 6
    site.fail(OUTAGE)
    (call,) = site.clock.getDelayedCalls()
    assert call.getTime() - site.clock.seconds() < 0.3


def test_a_follower_that_was_stopped_reads_and_takes_nothing():
    site = Site()
    site.follower.stop()
    site.give([ONE], 5)
    site.clock.advance(10)
    assert site.calls == ["newest"] and site.taken == []
    other = Site()
    other.fail(OUTAGE)
    other.follower.stop()
    other.clock.advance(10)
    assert other.calls == ["newest"]
