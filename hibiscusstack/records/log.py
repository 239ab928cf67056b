"""Client of the platform's append-only log."""

__all__ = ["LogClient", "LogPage", "decode_page"]

from typing import Any
from urllib.parse import quote

import attrs
from twisted.internet.defer import Deferred

from hibiscusstack.exceptions import DecodeError
from hibiscusstack.records.checks import require_count, require_list, require_text
from hibiscusstack.records.http import PlatformHttp

_CREATED = 201
_OK = 200


@attrs.frozen
class LogPage:
    """Consecutive records as (offset, text), and the range of their stream.

    Records below ``first_offset`` have expired; ``next_offset`` is that of the next
    record to be appended.
    """

    records: tuple[tuple[int, str], ...]
    first_offset: int
    next_offset: int


class LogClient:
    """Appends records to streams and reads them."""

    def __init__(self, http: PlatformHttp) -> None:
        self._http = http

    def append(self, stream: str, text: str) -> Deferred[int]:
        """Append a record and return its offset.

        Fails with ``UnavailableError``. The record may have been appended even so.
        """
        return self._http.request(
            "POST", _stream_path(stream), _CREATED, _decode_offset, json={"text": text}
        )

    def read(
        self, stream: str, from_offset: int, limit: int = 100
    ) -> Deferred[LogPage]:
        """Return up to ``limit`` records from ``from_offset`` on.

        Fails with ``UnavailableError``, also if the offsets are not consecutive.
        """
        params = {"from": str(from_offset), "limit": str(limit)}
        return self._http.request(
            "GET",
            _stream_path(stream),
            _OK,
            lambda body: decode_page(body, from_offset, limit),
            params=params,
        )


def decode_page(body: dict[str, Any], from_offset: int, limit: int) -> LogPage:
    """Return the page in ``body``, or raise ``DecodeError``.

    >>> body = {"records": [], "first_offset": 1, "next_offset": 1}
    >>> decode_page(body, 1, 100)
    LogPage(records=(), first_offset=1, next_offset=1)
    """
    first_offset = require_count(body, "first_offset", minimum=1)
    next_offset = require_count(body, "next_offset", minimum=first_offset)
    entries = require_list(body, "records")
    if len(entries) > limit:
        raise DecodeError("records", f"at most {limit} records", len(entries))
    expected = max(from_offset, first_offset)
    records = []
    for entry in entries:
        offset = require_count(entry, "offset")
        if offset != expected or offset >= next_offset:
            raise DecodeError("offset", f"{expected}, below {next_offset}", offset)
        records.append((offset, require_text(entry, "text")))
        expected += 1
    return LogPage(tuple(records), first_offset, next_offset)


def _decode_offset(body: dict[str, Any]) -> int:
    return require_count(body, "offset", minimum=1)


def _stream_path(stream: str) -> str:
    return f"/v1/streams/{quote(stream, safe='')}/records"
