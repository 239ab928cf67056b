"""Tests of the deadline."""

from twisted.internet.base import DelayedCall
from twisted.internet.testing import MemoryReactorClock

from hibiscusstack.http.deadline import Deadline


class _Watch:
    """Collects when a deadline expired."""

    def __init__(self) -> None:
        self.reactor = MemoryReactorClock()
        self.expired: list[float] = []
        self.deadline = Deadline(self.reactor, self.note)

    def note(self) -> None:
        self.expired.append(self.reactor.seconds())

    def run(self, steps: int) -> None:
        self.reactor.pump([0.5] * steps)


def test_expires_once():
    watch = _Watch()
    watch.deadline.set(1_000)
    watch.run(10)
    assert watch.expired == [1.0]
    assert not watch.reactor.getDelayedCalls()


def test_later_time_replaces_an_earlier_one():
    watch = _Watch()
    watch.deadline.set(1_000)
    watch.run(1)
    watch.deadline.set(2_000)
    watch.run(10)
    assert watch.expired == [2.5]


def test_earlier_time_replaces_a_later_one():
    watch = _Watch()
    watch.deadline.set(3_000)
    watch.deadline.set(1_000)
    watch.run(10)
    assert watch.expired == [1.0]


def test_cleared_deadline_does_not_expire_and_can_be_set_again():
    watch = _Watch()
    watch.deadline.set(1_000)
    watch.deadline.clear()
    watch.run(1)
    watch.deadline.set(1_000)
    watch.run(1)
    assert watch.expired == []
    watch.run(1)
    assert watch.expired == [1.5]


def test_cancelled_deadline_leaves_no_call():
    watch = _Watch()
    watch.deadline.set(1_000)
    watch.deadline.cancel()
    watch.deadline.cancel()
    assert not watch.reactor.getDelayedCalls()
    watch.run(4)
    assert watch.expired == []


# A connection that was idle waits for an answer: its deadline moves to an earlier time.
def test_an_earlier_time_costs_no_search_of_the_pending_calls(monkeypatch):
    def move(self, delay_s):
        raise AssertionError("a pending call was moved")

    monkeypatch.setattr(DelayedCall, "reset", move)
    watch = _Watch()
    for _ in range(100):
        watch.deadline.set(10_000)
        watch.deadline.set(1_000)
    assert len(watch.reactor.getDelayedCalls()) == 1
    watch.run(4)
    assert watch.expired == [1.0]
