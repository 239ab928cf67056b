"""Writes the heads of HTTP/1.1 messages."""

__all__ = ["encode_head"]

import re
from collections.abc import Sequence

from hibiscusstack.http.parsing import TOKEN

_FRAMING = frozenset({"content-length", "transfer-encoding"})
_NOT_IN_LINE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


def encode_head(
    first_line: str,
    headers: Sequence[tuple[str, str]],
    extra_headers: Sequence[tuple[str, str]] = (),
) -> bytes:
    r"""Return a whole head with its empty line.

    ``extra_headers`` come from outside this package, so they are checked.

    >>> encode_head("GET / HTTP/1.1", [("Host", "a")])
    b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
    """
    for name, value in extra_headers:
        if TOKEN.fullmatch(name) is None or _NOT_IN_LINE.search(value):
            raise ValueError(f"malformed header {name!r}")
        if name.lower() in _FRAMING:
            raise ValueError(f"header {name!r} is set by the body alone")
    lines = [first_line]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"{name}: {value}" for name, value in extra_headers]
    lines.append("\r\n")
    return "\r\n".join(lines).encode("latin-1")
