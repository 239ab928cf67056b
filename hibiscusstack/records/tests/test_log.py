"""Tests of the log client against an in-memory stand-in for the platform."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from treq.testing import StringStubbingResource, StubTreq
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from hibiscusstack.exceptions import DecodeError, UnavailableError
from hibiscusstack.records import LogClient, LogPage, PlatformHttp
from hibiscusstack.records.log import decode_page
from hibiscusstack_standins.platform import platform_application

BASE = "http://10.0.0.9:80"


class LogHarness:
    """A log client connected to an in-process stand-in for the platform."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.treq = StubTreq(platform_application(self.clock).resource())
        http = PlatformHttp(self.clock, BASE, 3_000, self.treq)
        self.log = LogClient(http)

    def set_faults(self, **faults) -> None:
        """Set the platform's faults to exactly these."""
        answered = self.treq.post(f"{BASE}/control/faults", json=faults)
        assert outcome_of(answered, self.treq.flush).code == 200

    def outcome(self, deferred: Deferred):
        """Run the pending HTTP exchange and return the value or the exception."""
        return outcome_of(deferred, self.treq.flush)


def outcome_of(deferred, flush=lambda: None):
    """Return the value or the exception of a deferred, ``None`` if it has not fired."""
    fired = []
    deferred.addCallbacks(fired.append, lambda failure: fired.append(failure.value))
    flush()
    return fired[0] if fired else None


def make_client_with_answer(status: int, body: bytes) -> LogClient:
    """Return a client of a platform that always gives this answer."""
    stub = StringStubbingResource(lambda *_: (status, {}, body))
    return LogClient(PlatformHttp(Clock(), BASE, 3_000, StubTreq(stub)))


@pytest.fixture
def harness() -> LogHarness:
    return LogHarness()


def test_appended_records_are_read_in_order(harness):
    offsets = [
        harness.outcome(harness.log.append("a b", text)) for text in ("x", "ÿ\n")
    ]
    assert offsets == [1, 2]
    page = harness.outcome(harness.log.read("a b", 1))
    assert page == LogPage(((1, "x"), (2, "ÿ\n")), 1, 3)
    assert harness.outcome(harness.log.read("a b", 2, limit=5)).records == ((2, "ÿ\n"),)
    assert harness.outcome(harness.log.read("other", 1)) == LogPage((), 1, 1)


def test_expired_records_are_visible_in_first_offset(harness):
    for number in range(5):
        harness.outcome(harness.log.append("s", str(number)))
    harness.set_faults(retained_records=2)
    page = harness.outcome(harness.log.read("s", 1))
    assert page == LogPage(((4, "3"), (5, "4")), 4, 6)


def test_outage_raises_unavailable_error(harness):
    harness.set_faults(log_outage="refuse")
    assert isinstance(harness.outcome(harness.log.append("s", "x")), UnavailableError)
    assert isinstance(harness.outcome(harness.log.read("s", 1)), UnavailableError)


def test_hanging_log_raises_unavailable_error_after_the_timeout(harness):
    harness.set_faults(log_outage="hang")
    outcomes = []
    read = harness.log.read("s", 1)
    read.addErrback(lambda failure: outcomes.append(failure.value))
    harness.clock.advance(2.9)
    assert outcomes == []
    harness.clock.advance(0.2)
    assert isinstance(outcomes[0], UnavailableError)


def test_append_with_a_lost_answer_fails_but_takes_effect(harness):
    harness.set_faults(lose_append_answer=True)
    outcomes = []
    append = harness.log.append("s", "x")
    append.addErrback(lambda failure: outcomes.append(failure.value))
    harness.clock.advance(3.1)
    harness.treq.flush()
    assert isinstance(outcomes[0], UnavailableError)
    harness.set_faults()
    assert harness.outcome(harness.log.read("s", 1)).records == ((1, "x"),)


@pytest.mark.parametrize(
    ("status", "body"),
    [
        (200, b'{"offset": 1}'),
        (307, b""),
        (201, b'{"offset": 0}'),
        (201, b'{"offset": true}'),
        (201, b"[1]"),
        (201, b"\xff"),
        (201, b"[" * 100_000),
        (201, b""),
    ],
)
def test_unexpected_answer_to_an_append_raises_unavailable_error(status, body):
    outcome = outcome_of(make_client_with_answer(status, body).append("s", "x"))
    assert isinstance(outcome, UnavailableError)


def test_oversized_answer_raises_unavailable_error():
    page = b'{"records": [], "first_offset": 1, "next_offset": 1}'
    assert outcome_of(make_client_with_answer(200, page).read("s", 1)) == LogPage(
        (), 1, 1
    )
    outcome = outcome_of(
        make_client_with_answer(200, page + b" " * (17 << 20)).read("s", 1)
    )
    assert isinstance(outcome, UnavailableError)


def test_redirect_is_not_followed():
    paths = []

    def answer(method, url, *_):
        paths.append(url)
        return 302, {b"location": b"http://10.0.0.8/elsewhere"}, b""

    http = PlatformHttp(Clock(), BASE, 3_000, StubTreq(StringStubbingResource(answer)))
    outcome = outcome_of(LogClient(http).read("s", 1))
    assert isinstance(outcome, UnavailableError)
    assert len(paths) == 1


@pytest.mark.parametrize(
    ("offsets", "first", "following"),
    [([1, 3], 1, 4), ([2, 1], 1, 3), ([0], 1, 2), ([1], 1, 1), ([1], 2, 3)],
)
def test_page_with_non_consecutive_offsets_is_rejected(offsets, first, following):
    records = [{"offset": offset, "text": "x"} for offset in offsets]
    body = {"records": records, "first_offset": first, "next_offset": following}
    with pytest.raises(DecodeError):
        decode_page(body, 1, 100)


def test_page_longer_than_the_limit_is_rejected():
    records = [{"offset": offset, "text": "x"} for offset in (1, 2)]
    body = {"records": records, "first_offset": 1, "next_offset": 3}
    with pytest.raises(DecodeError):
        decode_page(body, 1, 1)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.dictionaries(
        st.sampled_from(["records", "first_offset", "next_offset"]),
        st.integers(-1, 3)
        | st.text(max_size=2)
        | st.lists(
            st.dictionaries(st.sampled_from(["offset", "text"]), st.integers(0, 3))
            | st.none(),
            max_size=3,
        ),
    )
)
def test_any_page_decodes_or_is_a_decode_error(body):
    try:
        page = decode_page(json.loads(json.dumps(body)), 1, 10)
    except DecodeError:
        return
    assert isinstance(page, LogPage)
