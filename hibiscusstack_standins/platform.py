"""A stand-in of the platform: its log, its live list, and their faults."""

__all__ = ["LiveListStore", "LogStore", "platform_application"]

import attrs
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.web.http import CACHED, Request

from hibiscusstack.exceptions import InvalidInputError
from hibiscusstack_standins.faults import PlatformFaults, faults_from_json
from hibiscusstack_standins.serving import answer_json, answer_problem, read_json

_MAX_RECORDS_PER_PAGE = 1000


class LogStore:
    """Streams of records in memory; offsets start at 1."""

    def __init__(self) -> None:
        self._streams: dict[str, list[str]] = {}
        self._expired: dict[str, int] = {}

    def append(self, stream: str, text: str) -> int:
        """Append one record and return its offset."""
        records = self._streams.setdefault(stream, [])
        records.append(text)
        return len(records) + self._expired.get(stream, 0)

    def expire(self, stream: str, retained_records: int) -> None:
        """Drop all but the newest records of a stream."""
        records = self._streams.get(stream, [])
        dropped = max(0, len(records) - retained_records)
        del records[:dropped]
        self._expired[stream] = self._expired.get(stream, 0) + dropped

    def read(self, stream: str, from_offset: int, limit: int) -> dict:
        """Return a page of records as the protocol's JSON."""
        records = self._streams.get(stream, [])
        first = self._expired.get(stream, 0) + 1
        start = max(from_offset, first)
        texts = records[start - first : start - first + limit]
        return {
            "records": [
                {"offset": start + index, "text": text}
                for index, text in enumerate(texts)
            ],
            "first_offset": first,
            "next_offset": first + len(records),
        }


@attrs.frozen
class _ListVersion:
    set_at_s: float
    version: int
    hosts: dict[str, dict]


class LiveListStore:
    """The live list with its past versions, so that it can lag."""

    def __init__(self, reactor: IReactorTime) -> None:
        self._reactor = reactor
        self._versions = [_ListVersion(reactor.seconds(), 0, {})]

    def update(self, hosts: list[dict], removed: list[str]) -> int:
        """Add or replace ``hosts`` by name, drop ``removed``; return the version."""
        newest = self._versions[-1]
        entries = newest.hosts | {host["name"]: host for host in hosts}
        kept = {n: entry for n, entry in entries.items() if n not in removed}
        version = _ListVersion(self._reactor.seconds(), newest.version + 1, kept)
        self._versions.append(version)
        return version.version

    def read(self, lag_ms: int = 0) -> dict:
        """Return the list as it was ``lag_ms`` ago, as the protocol's JSON."""
        seen_s = self._reactor.seconds() - lag_ms / 1000
        seen = [v for v in self._versions if v.set_at_s <= seen_s]
        shown = (seen or self._versions[:1])[-1]
        return {"version": shown.version, "hosts": list(shown.hosts.values())}


class _Platform:
    def __init__(self, reactor: IReactorTime) -> None:
        self.reactor = reactor
        self.log = LogStore()
        self.live_list = LiveListStore(reactor)
        self.faults = PlatformFaults()

    def set_faults(self, request: Request) -> int:
        self.faults = faults_from_json(PlatformFaults, read_json(request))
        return answer_json(request, 200, {})

    def update_hosts(self, request: Request) -> int:
        body = read_json(request)
        if not isinstance(body, dict):
            raise InvalidInputError("body", "an object", body)
        version = self.live_list.update(body.get("hosts", []), body.get("remove", []))
        return answer_json(request, 200, {"version": version})

    def show_hosts(self, request: Request) -> bytes | int | Deferred:
        if self.faults.list_outage:
            return _fail(request, self.faults.list_outage)
        shown = self.live_list.read(self.faults.list_lag_ms)
        etag = f'"{shown["version"]}"'.encode()
        if request.setETag(etag) is CACHED:
            return b""
        return answer_json(request, 200, shown)

    def append(self, request: Request, stream: str) -> int | Deferred:
        if self.faults.log_outage:
            return _fail(request, self.faults.log_outage)
        body = read_json(request)
        text = body.get("text") if isinstance(body, dict) else None
        if not isinstance(text, str):
            raise InvalidInputError("text", "a string", text)
        offset = self.log.append(stream, text)
        if self.faults.lose_append_answer:
            request.loseConnection()
            return Deferred()
        return self._delayed(request, 201, {"offset": offset})

    def read(self, request: Request, stream: str) -> int | Deferred:
        if self.faults.log_outage:
            return _fail(request, self.faults.log_outage)
        if self.faults.retained_records:
            self.log.expire(stream, self.faults.retained_records)
        from_offset = _number_from(request, b"from", 1)
        limit = min(_number_from(request, b"limit", 100), _MAX_RECORDS_PER_PAGE)
        return self._delayed(request, 200, self.log.read(stream, from_offset, limit))

    def _delayed(self, request: Request, status: int, body: dict) -> int | Deferred:
        delay_s = self.faults.log_delay_ms / 1000
        if not delay_s:
            return answer_json(request, status, body)
        return deferLater(self.reactor, delay_s, answer_json, request, status, body)


def platform_application(reactor: IReactorTime) -> Klein:
    """Return the HTTP application of a platform with an empty log and live list."""
    app = Klein()
    platform = _Platform(reactor)

    @app.handle_errors(InvalidInputError)
    def bad_request(request: Request, _failure: object) -> int:
        return answer_problem(request, 400, "bad_request")

    @app.route("/v1/hosts", methods=["GET"])
    def show_hosts(request: Request) -> bytes | int | Deferred:
        return platform.show_hosts(request)

    @app.route("/v1/streams/<stream>/records", methods=["POST"])
    def append(request: Request, stream: str) -> int | Deferred:
        return platform.append(request, stream)

    @app.route("/v1/streams/<stream>/records", methods=["GET"])
    def read(request: Request, stream: str) -> int | Deferred:
        return platform.read(request, stream)

    @app.route("/control/hosts", methods=["PUT"])
    def update_hosts(request: Request) -> int:
        return platform.update_hosts(request)

    @app.route("/control/faults", methods=["POST"])
    def set_faults(request: Request) -> int:
        return platform.set_faults(request)

    return app


def _fail(request: Request, outage: str) -> int | Deferred:
    if outage == "hang":
        return Deferred()
    return answer_problem(request, 503, "unavailable")


def _number_from(request: Request, name: bytes, default: int) -> int:
    values = request.args.get(name)
    if not values:
        return default
    if not values[0].isdigit():
        raise InvalidInputError(name.decode(), "a whole number", values[0])
    return int(values[0])
