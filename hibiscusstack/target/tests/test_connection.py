"""Tests of one exchange of a request and a response on a connection."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from hibiscusstack.target.connection import ExchangeFailed, HttpConnection, HttpResponse
from hibiscusstack.target.tests.network import ServerEnd

OK = b"HTTP/1.1 200 OK\r\n"


def exchange_with(*pieces: bytes):
    """Return the outcome of one exchange whose response arrives in ``pieces``."""
    connection = HttpConnection(Clock(), lambda _: None)
    server_end = ServerEnd(connection)
    outcomes = []
    connection.exchange(b"request", 1_000).addCallback(outcomes.append)
    for piece in pieces:
        if server_end.is_closed_by_client:
            break
        server_end.send(piece)
    assert len(outcomes) <= 1
    return outcomes[0] if outcomes else None


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (OK + b"Content-Length: 2\r\n\r\n{}", HttpResponse(200, b"{}", True)),
        (OK + b"Content-Length: 0\r\n\r\n", HttpResponse(200, b"", True)),
        (
            OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
            HttpResponse(200, b"{}", True),
        ),
        (
            OK + b"Connection: close\r\nContent-Length: 2\r\n\r\n{}",
            HttpResponse(200, b"{}", False),
        ),
        (
            b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n{}",
            HttpResponse(200, b"{}", False),
        ),
        (
            b"HTTP/1.1 100 Continue\r\n\r\n" + OK + b"Content-Length: 1\r\n\r\n1",
            HttpResponse(200, b"1", True),
        ),
        (OK + b"Content-Length: 1\r\n\r\n1HTTP", HttpResponse(200, b"1", False)),
    ],
)
def test_a_complete_response_is_read_however_it_is_split(data, expected):
    assert exchange_with(data) == expected
    if expected.keep_alive:
        assert exchange_with(*[data[i : i + 1] for i in range(len(data))]) == expected


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 abc OK\r\n\r\n",
        b"HTTP/x 200 OK\r\n\r\n",
        OK + b"no colon\r\n\r\n",
        OK + b"Content-Length: -1\r\n\r\n",
        OK + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n1",
        OK + b"Transfer-Encoding: gzip\r\n\r\n",
        OK + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        OK + b"Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n",
        OK + b"X: " + b"a" * 20_000,
        OK + b"X: a\r\n" * 5_000,
        b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000,
        OK + b"Content-Length: 2000000\r\n\r\n" + b"a" * 1_100_000,
    ],
)
def test_a_malformed_or_oversized_response_fails_the_exchange(data):
    assert isinstance(exchange_with(data), ExchangeFailed)
    pieces = [data[i : i + 1_000] for i in range(0, len(data), 1_000)]
    assert isinstance(exchange_with(*pieces), ExchangeFailed)


def test_a_response_without_a_length_fails_the_exchange():
    connection = HttpConnection(Clock(), lambda _: None)
    server_end = ServerEnd(connection)
    outcomes = []
    connection.exchange(b"request", 1_000).addCallback(outcomes.append)
    server_end.send(OK + b"\r\n{}")
    server_end.close()
    assert isinstance(outcomes[0], ExchangeFailed)


def test_an_incomplete_response_fails_the_exchange_when_the_connection_closes():
    connection = HttpConnection(Clock(), lambda _: None)
    server_end = ServerEnd(connection)
    outcomes = []
    connection.exchange(b"request", 1_000).addCallback(outcomes.append)
    server_end.send(OK + b"Content-Length: 9\r\n\r\n{")
    server_end.close()
    assert isinstance(outcomes[0], ExchangeFailed)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.binary(max_size=60), max_size=8), st.booleans())
def test_arbitrary_bytes_raise_no_exception(pieces, with_head):
    head = [OK, b"Content-Length: 20\r\n"] if with_head else []
    outcome = exchange_with(*head, *pieces)
    assert outcome is None or isinstance(outcome, HttpResponse | ExchangeFailed)
