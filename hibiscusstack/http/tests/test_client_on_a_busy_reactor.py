"""Tests of timeouts while the reactor is late: own lag is not silence of the peer.

The reactor model works like an event loop with too little processor time. In each pass
it calls the timers that are due, before it writes what is buffered and reads what has
arrived, and then it is busy for a while.
"""

import pytest

from hibiscusstack.http.client import AnswerLost, HttpAnswer, HttpClient, NotSent
from hibiscusstack.http.tests.network import Reactor

ADDRESS = "10.0.0.1:80"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
TIMEOUT_MS = 60


class BusyLoop:
    """A client on a reactor that is busy for ``busy_ms`` in each pass.

    The peer accepts and answers at once, unless it ``is_silent``. What it sends is read
    in the pass after the one that reached it.
    """

    def __init__(self, busy_ms: float, is_silent: bool = False) -> None:
        self.reactor = Reactor()
        self.client = HttpClient(self.reactor)
        self.outcomes: list[tuple[float, object]] = []
        self._busy_ms = busy_ms
        self._is_silent = is_silent
        self._transports = []
        self._arrived: list[tuple[object, bytes]] = []
        self._accepted = 0

    def request(self) -> None:
        """Send one request."""
        outcome = self.client.request(ADDRESS, "GET", "/", timeout_ms=TIMEOUT_MS)
        outcome.addCallback(
            lambda value: self.outcomes.append((self.reactor.seconds() * 1000, value))
        )

    def run_pass(self) -> None:
        """Call due timers, exchange bytes with the peer, then be busy."""
        self._call_due_timers()
        arrived, self._arrived = self._arrived, []
        for transport, data in arrived:
            if transport.connected and not transport.disconnecting:
                transport.receive(data)
        while self._accepted < self.reactor.attempts():
            if not self._is_silent or self._accepted == 0:
                self._transports.append(self.reactor.accept(self._accepted))
            self._accepted += 1
        for transport in self._transports:
            if transport.take() and not self._is_silent:
                self._arrived.append((transport, OK))
        # The timers that become due meanwhile are called in the next pass.
        self.reactor.rightNow += self._busy_ms / 1000

    def _call_due_timers(self) -> None:
        """Call the timers that are due now, but none that is set by one of them."""
        now_s = self.reactor.seconds()
        for call in [c for c in self.reactor.calls if c.getTime() <= now_s]:
            if call.active():
                self.reactor.calls.remove(call)
                call.called = 1
                call.func(*call.args, **call.kw)

    def run(self, passes: int) -> None:
        """Run some passes."""
        for _ in range(passes):
            self.run_pass()


@pytest.mark.parametrize("busy_ms", [5, 30, 70, 250, 900])
def test_an_answer_that_arrived_counts_however_late_it_is_read(busy_ms):
    loop = BusyLoop(busy_ms)
    for _ in range(5):
        loop.request()
        loop.run(5)
    assert [value.status for _, value in loop.outcomes] == [200] * 5
    assert loop.client.connections_opened == 1


@pytest.mark.parametrize("busy_ms", [5, 70, 250])
def test_a_silent_peer_is_noticed_soon_after_the_timeout(busy_ms):
    loop = BusyLoop(busy_ms, is_silent=True)
    loop.request()
    loop.run(40)
    ((ended_ms, value),) = loop.outcomes
    assert isinstance(value, AnswerLost | NotSent)
    assert ended_ms <= TIMEOUT_MS + 5 * busy_ms


def test_answers_are_not_mixed_up_by_a_late_timeout():
    loop = BusyLoop(70)
    loop.request()
    loop.request()
    loop.run(10)
    assert [value for _, value in loop.outcomes] == [
        HttpAnswer(200, {"content-length": "2"}, b"ok")
    ] * 2
