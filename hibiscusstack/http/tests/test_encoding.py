"""Tests of the writing of heads."""

import pytest

from hibiscusstack.http.encoding import encode_head


@pytest.mark.parametrize(
    "header",
    [
        ("X", "a\r\nY: b"),
        ("X", "a\nb"),
        ("X", "\x00"),
        ("X: a\r\nY", "b"),
        ("", "a"),
        ("Content-Length", "1"),
        ("transfer-encoding", "chunked"),
        ("X", "\u20ac"),
    ],
)
def test_header_that_breaks_the_message_is_refused(header):
    with pytest.raises(ValueError):
        encode_head("GET / HTTP/1.1", [], [header])


def test_headers_keep_their_order():
    text = encode_head("A", [("B", "1")], [("C", "2"), ("C", "3")])
    assert text == b"A\r\nB: 1\r\nC: 2\r\nC: 3\r\n\r\n"
