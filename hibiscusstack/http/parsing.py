"""A strict parser of HTTP/1.1 messages, shared by the client and the server.

It takes what it understands from the front of a buffer and leaves the rest.
"""

__all__ = [
    "AnswerHead",
    "Body",
    "ChunkedBody",
    "EndlessBody",
    "METHODS_WITH_BODY",
    "MalformedMessageError",
    "RequestHead",
    "SizedBody",
    "TARGET",
    "TOKEN",
    "answer_body",
    "has_token",
    "parse_answer_head",
    "parse_request_head",
    "request_body",
    "take_head",
]

import re
from typing import Protocol

import attrs

TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
TARGET = re.compile(r"[\x21-\x7e]+")
METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})

_NOT_IN_HEAD = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|\r(?!\n)|(?<!\r)\n")
_REQUEST_LINE = re.compile(
    r"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) ([\x21-\x7e]+) HTTP/([0-9])\.([0-9])"
)
_STATUS_LINE = re.compile(r"HTTP/1\.([01]) ([1-5][0-9]{2})(?: .*)?")
_LENGTH = re.compile(r"[0-9]{1,18}")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?")
_MAX_CHUNK_LINE_BYTES = 1024
# A chunk has two parts, its size and its data.
_MAX_PARTS_PER_CALL = 4_000


class MalformedMessageError(ValueError):
    """A message that is refused; ``status`` is what a server answers to it."""

    def __init__(self, status: int, cause: str) -> None:
        super().__init__(cause)
        self.status = status
        self.cause = cause


@attrs.frozen
class RequestHead:
    """The request line and the headers, their names in lower case."""

    method: str
    target: str
    minor_version: int
    headers: dict[str, str]


@attrs.frozen
class AnswerHead:
    """The status line and the headers, their names in lower case."""

    status: int
    minor_version: int
    headers: dict[str, str]


class Body(Protocol):
    """A body that is being received.

    ``held_bytes`` are those that were consumed so far, or that the head has announced.
    With ``has_more`` a call of :meth:`take` has left a part of the buffer for the next
    one, to bound its time.
    """

    held_bytes: int
    has_more: bool

    def take(self, buffer: bytearray) -> bytes | None:
        """Consume from ``buffer``; return the whole body once it is complete."""


class SizedBody:
    """A body whose size the head states.

    >>> SizedBody(3).take(bytearray(b"abcd"))
    b'abc'
    """

    __slots__ = ("_size",)
    has_more = False

    def __init__(self, size: int) -> None:
        self._size = size

    @property
    def held_bytes(self) -> int:
        """The announced size."""
        return self._size

    def take(self, buffer: bytearray) -> bytes | None:
        """Return the body once ``buffer`` holds all of it."""
        size = self._size
        if len(buffer) < size:
            return None
        if len(buffer) == size:
            body = bytes(buffer)
            buffer.clear()
            return body
        with memoryview(buffer) as view:
            body = bytes(view[:size])
        del buffer[:size]
        return body


class EndlessBody:
    """A body that ends with its connection."""

    __slots__ = ("_max_bytes", "_received")
    has_more = False

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._received = bytearray()

    @property
    def held_bytes(self) -> int:
        """The bytes consumed so far."""
        return len(self._received)

    def take(self, buffer: bytearray) -> None:
        """Consume all of ``buffer``."""
        self._received += buffer
        buffer.clear()
        if len(self._received) > self._max_bytes:
            raise MalformedMessageError(413, "body too large")

    def end(self) -> bytes:
        """Return the body, as the connection has ended."""
        return bytes(self._received)


class ChunkedBody:
    r"""A body in chunks; chunk extensions and trailers are dropped.

    >>> ChunkedBody(10, 100).take(bytearray(b"2\r\nab\r\n0\r\n\r\n"))
    b'ab'
    """

    __slots__ = (
        "_in_trailers",
        "_max_bytes",
        "_missing",
        "_received",
        "_trailer_room",
        "has_more",
    )

    def __init__(self, max_bytes: int, max_trailer_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._trailer_room = max_trailer_bytes
        self._received = bytearray()
        self._missing = 0
        self._in_trailers = False
        self.has_more = False

    @property
    def held_bytes(self) -> int:
        """The bytes of the body that were consumed so far."""
        return len(self._received)

    def take(self, buffer: bytearray) -> bytes | None:
        """Consume the chunks in ``buffer``; return the body after the last one.

        A call consumes a bounded number of chunks, however small they are.
        """
        self.has_more = False
        for _ in range(_MAX_PARTS_PER_CALL):
            if self._in_trailers:
                break
            is_taken = self._take_data(buffer) if self._missing else self._start(buffer)
            if not is_taken:
                return None
        self.has_more = not self._in_trailers
        if self.has_more:
            return None
        return bytes(self._received) if self._skip_trailers(buffer) else None

    def _start(self, buffer: bytearray) -> bool:
        line = _take_line(buffer, _MAX_CHUNK_LINE_BYTES)
        if line is None:
            return False
        match = _CHUNK_SIZE.fullmatch(line)
        if match is None:
            raise MalformedMessageError(400, "malformed chunk size")
        size = int(match[1], 16)
        if len(self._received) + size > self._max_bytes:
            raise MalformedMessageError(413, "body too large")
        self._in_trailers = size == 0
        self._missing = size + 2 if size else 0
        return True

    def _take_data(self, buffer: bytearray) -> bool:
        # The line end after the data counts as missing too and is taken at once.
        size = min(len(buffer), self._missing - 2)
        self._received += buffer[:size]
        del buffer[:size]
        self._missing -= size
        if self._missing > 2 or len(buffer) < 2:
            return False
        if not buffer.startswith(b"\r\n"):
            raise MalformedMessageError(400, "malformed chunk")
        del buffer[:2]
        self._missing = 0
        return True

    def _skip_trailers(self, buffer: bytearray) -> bool:
        while (line := _take_line(buffer, self._trailer_room)) is not None:
            if not line:
                return True
            self._trailer_room -= len(line) + 2
        return False


def take_head(buffer: bytearray, max_bytes: int) -> bytes | None:
    r"""Take a head, without its empty line, once ``buffer`` holds all of it.

    >>> take_head(bytearray(b"GET / HTTP/1.1\r\n\r\nrest"), 100)
    b'GET / HTTP/1.1'
    """
    end = buffer.find(b"\r\n\r\n")
    if end + 4 > max_bytes or (end < 0 and len(buffer) >= max_bytes):
        raise MalformedMessageError(431, "head too large")
    if end < 0:
        if buffer.count(b"\n") != buffer.count(b"\r\n"):
            raise MalformedMessageError(400, "line feed without carriage return")
        return None
    head = bytes(buffer[:end])
    del buffer[: end + 4]
    return head


def parse_request_head(head: bytes) -> RequestHead:
    r"""Parse the head of a request.

    >>> parse_request_head(b"GET /a HTTP/1.1\r\nHost: b").headers
    {'host': 'b'}
    """
    first, *lines = _split_lines(head)
    match = _REQUEST_LINE.fullmatch(first)
    if match is None:
        raise MalformedMessageError(400, "malformed request line")
    method, target, major, minor = match.groups()
    if major != "1" or minor not in "01":
        raise MalformedMessageError(505, "only HTTP/1.0 and HTTP/1.1 are spoken")
    headers = _parse_headers(lines)
    is_host_due = minor == "1"
    if (is_host_due and "host" not in headers) or "," in headers.get("host", ""):
        raise MalformedMessageError(400, "a request has exactly one Host header")
    return RequestHead(method, target, int(minor), headers)


def parse_answer_head(head: bytes) -> AnswerHead:
    r"""Parse the head of an answer.

    >>> parse_answer_head(b"HTTP/1.1 204 No Content\r\nA: b").status
    204
    """
    first, *lines = _split_lines(head)
    match = _STATUS_LINE.fullmatch(first)
    if match is None:
        raise MalformedMessageError(400, "malformed status line")
    return AnswerHead(int(match[2]), int(match[1]), _parse_headers(lines))


def request_body(head: RequestHead, max_bytes: int, max_trailer_bytes: int) -> Body:
    """Return what receives the body of a request."""
    length = head.headers.get("content-length")
    if "transfer-encoding" in head.headers:
        _check_coding(head, length)
        return ChunkedBody(max_bytes, max_trailer_bytes)
    if length is not None:
        return _sized(length, max_bytes)
    if head.method in METHODS_WITH_BODY:
        raise MalformedMessageError(411, "no length of the body")
    return SizedBody(0)


def answer_body(
    head: AnswerHead, method: str, max_bytes: int, max_trailer_bytes: int
) -> Body:
    """Return what receives the body of an answer to a request by ``method``."""
    if method == "HEAD" or head.status in (204, 304):
        return SizedBody(0)
    length = head.headers.get("content-length")
    if "transfer-encoding" in head.headers:
        _check_coding(head, length)
        return ChunkedBody(max_bytes, max_trailer_bytes)
    return EndlessBody(max_bytes) if length is None else _sized(length, max_bytes)


def has_token(headers: dict[str, str], name: str, token: str) -> bool:
    """Say whether the list in the header ``name`` contains ``token``.

    >>> has_token({"connection": "TE, Close"}, "connection", "close")
    True
    """
    value = headers.get(name)
    if value is None:
        return False
    return any(part.strip(" \t") == token for part in value.lower().split(","))


def _split_lines(head: bytes) -> list[str]:
    if _NOT_IN_HEAD.search(head):
        raise MalformedMessageError(400, "forbidden character in the head")
    return head.decode("latin-1").split("\r\n")


def _parse_headers(lines: list[str]) -> dict[str, str]:
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon or TOKEN.fullmatch(name) is None:
            raise MalformedMessageError(400, "malformed header")
        name = name.lower()
        value = value.strip(" \t")
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return headers


def _check_coding(head: RequestHead | AnswerHead, length: str | None) -> None:
    if length is not None or head.minor_version == 0:
        raise MalformedMessageError(400, "conflicting lengths of the body")
    if head.headers["transfer-encoding"].lower() != "chunked":
        raise MalformedMessageError(501, "unknown transfer coding")


def _sized(length: str, max_bytes: int) -> SizedBody:
    if _LENGTH.fullmatch(length) is None:
        raise MalformedMessageError(400, "malformed or conflicting lengths of the body")
    if int(length) > max_bytes:
        raise MalformedMessageError(413, "body too large")
    return SizedBody(int(length))


def _take_line(buffer: bytearray, max_bytes: int) -> bytes | None:
    end = buffer.find(b"\r\n", 0, max(max_bytes, 0) + 2)
    if end < 0:
        if len(buffer) > max_bytes + 1:
            raise MalformedMessageError(400, "line too long in a chunked body")
        return None
    line = bytes(buffer[:end])
    del buffer[: end + 2]
    return line
