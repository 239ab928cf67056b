"""Tests of the bounds on connections: size, time and number."""

import json
from typing import Any

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from hibiscusstack.caller.api import CallerApi
from hibiscusstack.caller.limits import ApiLimits
from hibiscusstack.caller.site import ApiSite, build_site
from hibiscusstack.caller.tests.fakes import FakeJobService

LIMITS = ApiLimits(
    max_body_bytes=1_000,
    max_header_bytes=2_000,
    max_headers=10,
    receive_timeout_ms=3_000,
    idle_timeout_ms=9_000,
    max_connections=3,
    max_receiving_bytes=1_500,
)
POST = b"POST /v1/jobs HTTP/1.1\r\nHost: h\r\n"


class HalfClosingTransport(StringTransport):
    """A transport in memory that notes a half close."""

    is_write_closed = False

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Close the writing side."""
        self.is_write_closed = True


@attrs.frozen
class Server:
    """A site on a virtual clock."""

    site: ApiSite
    service: FakeJobService
    clock: Clock

    def connect(self) -> tuple[Any, HalfClosingTransport]:
        """Open one connection."""
        channel = self.site.buildProtocol(None)
        transport = HalfClosingTransport()
        channel.makeConnection(transport)
        return channel, transport


def make_server() -> Server:
    clock = Clock()
    service = FakeJobService()
    site = build_site(CallerApi(service).app.resource(), LIMITS, clock)
    return Server(site, service, clock)


def make_post(size: int = 0, job_id: str = "j1") -> bytes:
    task = {"kind": "k", "payload": "x" * size}
    body = json.dumps({"id": job_id, "caller": "c", "tasks": [task]}).encode()
    return POST + b"Content-Length: %d\r\n\r\n" % len(body) + body


def read_problem(transport: HalfClosingTransport) -> tuple[int, str]:
    head, _, body = transport.value().partition(b"\r\n\r\n")
    status = int(head.split()[1])
    return status, json.loads(body)["type"].rpartition(":")[2]


@pytest.mark.parametrize(
    ("sent", "status", "type_name"),
    [
        (POST + b"Content-Length: 1001\r\n\r\n", 413, "body-too-large"),
        (
            POST + b"Expect: 100-continue\r\nContent-Length: 99999999\r\n\r\n",
            413,
            "body-too-large",
        ),
        (
            POST + b"Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + b"x" * 1001,
            413,
            "body-too-large",
        ),
        (POST + b"X-Long: " + b"x" * 2001, 431, "header-too-large"),
        (POST + b"X-Long: %s\r\n\r\n" % (b"x" * 1990), 431, "header-too-large"),
        (POST + b"A: b\r\n" * 20 + b"\r\n", 431, "header-too-large"),
        (b"GET /" + b"x" * 3000, 431, "header-too-large"),
        (b"\x16\x03\x01\r\n\r\n", 400, "malformed-request"),
        (POST + b"Content-Length: -5\r\n\r\n", 400, "malformed-request"),
        (POST + b"no colon\r\n\r\n", 400, "malformed-request"),
        (
            POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
            400,
            "malformed-request",
        ),
        (
            POST + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
            400,
            "malformed-request",
        ),
        (
            b"GET /v1/jobs/\xff\xfe HTTP/1.1\r\nHost: h\r\n\r\n",
            400,
            "malformed-request",
        ),
        (b"GET / HTTP/1.1\r\nHost: \xff\r\n\r\n", 400, "malformed-request"),
    ],
)
def test_bad_requests_are_refused_with_a_problem(
    sent: bytes, status: int, type_name: str
) -> None:
    server = make_server()
    channel, transport = server.connect()
    channel.dataReceived(sent)
    assert read_problem(transport) == (status, type_name)
    assert server.service.jobs == {}


pieces = st.one_of(
    st.binary(max_size=30),
    st.sampled_from([POST, b"GET /v1/jobs/j?caller=c HTTP/1.1\r\n", b"\r\n"]),
    st.sampled_from([b"Content-Length: 9\r\n", b"Transfer-Encoding: chunked\r\n"]),
    st.sampled_from([b"Host: h\r\n", b"0\r\n\r\n", b"A: b\r\n c\r\n", b"{" * 9]),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(pieces, max_size=12))
def test_any_bytes_get_problems_only_and_leave_nothing_behind(
    sent: list[bytes],
) -> None:
    server = make_server()
    channel, transport = server.connect()
    for data in sent:
        channel.dataReceived(data)
    server.clock.advance(LIMITS.receive_timeout_ms / 1000)
    for response in transport.value().split(b"HTTP/1.1 ")[1:]:
        assert response[:1] == b"4" or response.startswith(b"100 ")
    channel.connectionLost(ConnectionDone())
    assert server.service.jobs == {}
    assert server.site.body_budget.taken_bytes == 0
    assert server.site.connections == 0


def test_bytes_after_a_refusal_are_thrown_away_and_the_connection_ends() -> None:
    server = make_server()
    channel, transport = server.connect()
    channel.dataReceived(POST + b"Content-Length: 100000\r\n\r\n")
    written = transport.value()
    channel.dataReceived(b"x" * 1_000)
    channel.dataReceived(make_post())
    assert transport.value() == written
    assert transport.is_write_closed
    assert not transport.disconnected
    server.clock.advance(LIMITS.linger_ms / 1000)
    assert transport.disconnected


@pytest.mark.parametrize("start", [b"PO", POST, POST + b"Content-Length: 900\r\n\r\n"])
def test_a_slow_sender_gets_408_however_it_trickles(start: bytes) -> None:
    server = make_server()
    channel, transport = server.connect()
    channel.dataReceived(start)
    for _ in range(2):
        server.clock.advance(1)
        channel.dataReceived(b"x")
    assert transport.value() == b""
    server.clock.advance(1.1)
    assert read_problem(transport) == (408, "request-timeout")
    assert server.site.body_budget.taken_bytes <= 2


def test_a_job_that_takes_long_is_no_slow_sender() -> None:
    server = make_server()
    channel, transport = server.connect()
    channel.dataReceived(make_post())
    server.clock.advance(60)
    assert transport.value() == b""
    server.service.succeed("j1")
    assert transport.value().startswith(b"HTTP/1.1 200")


def test_a_connection_is_kept_for_further_requests() -> None:
    server = make_server()
    channel, transport = server.connect()
    for job_id in ("j1", "j2", "j3"):
        channel.dataReceived(make_post(job_id=job_id))
        server.clock.advance(5)
        server.service.succeed(job_id)
        server.clock.advance(5)
    assert transport.value().count(b"HTTP/1.1 200") == 3


def test_pipelined_requests_are_answered_in_their_order() -> None:
    server = make_server()
    channel, transport = server.connect()
    channel.dataReceived(make_post(job_id="j1") + make_post(job_id="j2"))
    server.service.succeed("j1")
    server.service.succeed("j2")
    first, second = transport.value().split(b"HTTP/1.1 200")[1:]
    assert b'"id":"j1"' in first
    assert b'"id":"j2"' in second


def test_idle_connections_are_closed() -> None:
    server = make_server()
    _, transport = server.connect()
    server.clock.advance(LIMITS.idle_timeout_ms / 1000)
    assert transport.disconnecting


def test_bodies_in_flight_share_a_budget() -> None:
    server = make_server()
    senders = [server.connect() for _ in range(2)]
    for channel, _ in senders:
        channel.dataReceived(POST + b"Content-Length: 1000\r\n\r\n" + b"x" * 900)
    assert senders[0][1].value() == b""
    assert read_problem(senders[1][1]) == (503, "too-many-waiting")
    for channel, _ in senders:
        channel.connectionLost(None)
    assert server.site.body_budget.taken_bytes == 0
    channel, transport = server.connect()
    channel.dataReceived(make_post(size=900))
    server.service.succeed("j1")
    assert transport.value().startswith(b"HTTP/1.1 200")
    assert server.site.body_budget.taken_bytes == 0


def test_connections_are_bounded() -> None:
    server = make_server()
    channels = [server.connect()[0] for _ in range(3)]
    assert server.site.buildProtocol(None) is None
    channels[0].connectionLost(None)
    assert server.site.buildProtocol(None) is not None
