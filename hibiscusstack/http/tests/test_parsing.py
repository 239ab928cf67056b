"""Tests of the parser."""

import pytest

from hibiscusstack.http.parsing import (
    ChunkedBody,
    EndlessBody,
    MalformedMessageError,
    SizedBody,
    answer_body,
    has_token,
    parse_answer_head,
    parse_request_head,
    request_body,
    take_head,
)

CHUNKED = b"4;a=b\r\nwiki\r\n3\r\nped\r\n0\r\nTrailer: x\r\n\r\n"


def refused(function, *args) -> int:
    with pytest.raises(MalformedMessageError) as caught:
        function(*args)
    return caught.value.status


def post(*lines: str):
    text = "\r\n".join(["POST / HTTP/1.1", "Host: a", *lines])
    return parse_request_head(text.encode("latin-1"))


def test_request_head_is_parsed():
    head = parse_request_head(b"GET /a?b HTTP/1.0\r\nX-A:  1 \r\nx-a: 2")
    assert (head.method, head.target, head.minor_version) == ("GET", "/a?b", 0)
    assert head.headers == {"x-a": "1, 2"}


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"GET  / HTTP/1.1\r\nHost: a", 400),
        (b"GET / HTTP/1.1 \r\nHost: a", 400),
        (b"GET /\x80 HTTP/1.1\r\nHost: a", 400),
        (b"G(T / HTTP/1.1\r\nHost: a", 400),
        (b"GET / http/1.1\r\nHost: a", 400),
        (b"GET /", 400),
        (b"", 400),
        (b"GET / HTTP/2.0\r\nHost: a", 505),
        (b"GET / HTTP/1.2\r\nHost: a", 505),
        (b"GET / HTTP/0.9", 505),
        (b"GET / HTTP/1.1", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX : b", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\n: b", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\n folded", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: \x00", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: b\rc", 400),
        (b"GET / HTTP/1.1\r\nHost: a\nX: b", 400),
    ],
)
def test_bad_request_head_is_refused(head, status):
    assert refused(parse_request_head, head) == status


@pytest.mark.parametrize(
    ("lines", "status"),
    [
        ([], 411),
        (["Content-Length: 1", "Content-Length: 2"], 400),
        (["Content-Length: 1", "Content-Length: 1"], 400),
        (["Content-Length: +1"], 400),
        (["Content-Length: 1_0"], 400),
        (["Content-Length: \xb2"], 400),
        (["Content-Length: "], 400),
        (["Content-Length: " + "9" * 19], 400),
        (["Content-Length: 101"], 413),
        (["Content-Length: 1", "Transfer-Encoding: chunked"], 400),
        (["Transfer-Encoding: gzip"], 501),
        (["Transfer-Encoding: gzip, chunked"], 501),
        (["Transfer-Encoding: chunked", "Transfer-Encoding: chunked"], 501),
    ],
)
def test_bad_length_is_refused(lines, status):
    assert refused(request_body, post(*lines), 100, 100) == status


def test_chunked_request_of_version_1_0_is_refused():
    head = parse_request_head(b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked")
    assert refused(request_body, head, 100, 100) == 400


def test_request_without_length_has_no_body():
    head = parse_request_head(b"GET / HTTP/1.1\r\nHost: a")
    assert request_body(head, 100, 100).take(bytearray()) == b""


def test_head_is_taken_once_it_is_whole():
    buffer = bytearray(b"GET / HTTP/1.1\r\nHost: a\r\n\r")
    assert take_head(buffer, 100) is None
    buffer += b"\nrest"
    assert take_head(buffer, 100) == b"GET / HTTP/1.1\r\nHost: a"
    assert buffer == b"rest"


def test_head_too_large_is_refused():
    assert refused(take_head, bytearray(b"a" * 20), 20) == 431
    assert refused(take_head, bytearray(b"a" * 20 + b"\r\n\r\n"), 20) == 431
    assert take_head(bytearray(b"a" * 16 + b"\r\n\r\n"), 20) == b"a" * 16


def test_bare_line_feed_is_refused_before_the_head_is_whole():
    assert refused(take_head, bytearray(b"GET / HTTP/1.1\n\n"), 100) == 400


def test_chunked_body_in_single_bytes():
    body = ChunkedBody(7, 100)
    buffer = bytearray()
    outcomes = []
    for byte in CHUNKED:
        buffer.append(byte)
        outcomes.append(body.take(buffer))
    assert outcomes[-1] == b"wikiped"
    assert set(outcomes[:-1]) == {None}
    assert not buffer


def test_chunked_body_leaves_what_follows():
    buffer = bytearray(CHUNKED + b"GET")
    assert ChunkedBody(7, 100).take(buffer) == b"wikiped"
    assert buffer == b"GET"


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (b"8\r\n", 413),
        (b"4\r\nwiki\r\n4\r\n", 413),
        (b"f" * 15 + b"\r\n", 413),
        (b"f" * 16 + b"\r\n", 400),
        (b"x\r\n", 400),
        (b"\r\n", 400),
        (b"-1\r\n", 400),
        (b"4\r\nwikiXX", 400),
        (b"4\nwiki\r\n", 400),
        (b"4;" + b"a" * 2000, 400),
        (b"0\r\n" + b"a" * 200, 400),
        (b"0\r\n" + b"a: b\r\n" * 50, 400),
    ],
)
def test_bad_chunks_are_refused(text, status):
    assert refused(ChunkedBody(7, 100).take, bytearray(text)) == status


def test_sized_body_waits_for_all_of_it():
    body = SizedBody(3)
    buffer = bytearray(b"ab")
    assert body.take(buffer) is None
    buffer += b"cd"
    assert body.take(buffer) == b"abc"
    assert buffer == b"d"


def test_sized_body_that_fills_the_buffer():
    buffer = bytearray(b"abc")
    assert SizedBody(3).take(buffer) == b"abc"
    assert not buffer


def test_endless_body_is_bounded():
    body = EndlessBody(3)
    buffer = bytearray(b"abc")
    assert body.take(buffer) is None
    assert body.end() == b"abc"
    assert refused(body.take, bytearray(b"d")) == 413


@pytest.mark.parametrize(
    "head",
    [b"HTTP/1.1 2000 OK", b"HTTP/2.0 200 OK", b"HTTP/1.1 099 OK", b"ICY 200 OK", b""],
)
def test_bad_status_line_is_refused(head):
    assert refused(parse_answer_head, head) == 400


@pytest.mark.parametrize(
    ("text", "method", "kind"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5", "GET", SizedBody),
        (b"HTTP/1.1 200\r\nTransfer-Encoding: Chunked", "GET", ChunkedBody),
        (b"HTTP/1.1 200 OK", "GET", EndlessBody),
        (b"HTTP/1.1 200 OK", "HEAD", SizedBody),
        (b"HTTP/1.1 204 No Content", "GET", SizedBody),
        (b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5", "GET", SizedBody),
    ],
)
def test_body_of_an_answer(text, method, kind):
    body = answer_body(parse_answer_head(text), method, 100, 100)
    assert type(body) is kind


def test_tokens_are_found_in_lists_only_as_a_whole():
    assert has_token({"connection": "keep-alive,CLOSE"}, "connection", "close")
    assert not has_token({"connection": "closed"}, "connection", "close")
    assert not has_token({}, "connection", "close")
