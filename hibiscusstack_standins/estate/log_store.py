"""The platform's store as a state machine: a log of topics, and groups of readers."""

__all__ = ["LogStore", "StoreLimits", "read_page"]

from base64 import b64encode
from collections import Counter, defaultdict

import attrs

from hibiscusstack.exceptions import DecodeError, InvalidInputError
from hibiscusstack_standins.estate.fields import read_text, read_texts, read_whole
from hibiscusstack_standins.estate.groups import Group
from hibiscusstack_standins.estate.messages import Answer, Request
from hibiscusstack_standins.estate.partition import Partition
from hibiscusstack_standins.estate.rates import RateLimit
from hibiscusstack_standins.estate.records import frame, split_keyed, unframe

_KEYED = "keyed."
_SINGLE_PART = frozenset({"keyed.op", "keyed.servers", "keyed.status"})
_READ_ONLY = frozenset({"keyed.op", "keyed.servers"})
_MAX_TOPICS = 100
_MAX_STORED_BYTES = 400_000_000
_MAX_QUEUED_MS = 2_000
_MAX_WAIT_MS = 30_000
_PAGE_ITEMS = 500
_PAGE_BYTES = 1 << 20
_OFFSET_BYTES = 8
_JOIN_PRICE = 0.1
_READS = frozenset({"/log-read", "/log-newest", "/log-owners"})


@attrs.frozen
class StoreLimits:
    """The store's figures in the settings, under ``platform``."""

    writes_per_s: float = 600
    reads_per_s: float = 2_000
    parts: int = 24
    append_ms: float = 1.0
    part_mb_s: float = 20.0
    read_mb_s: float = 80.0
    record_bytes: int = 262_144
    call_bytes: int = 2_097_152
    keep_s: float = 300
    part_mb: float = 200
    ttl_min_ms: int = 1_000


def read_page(body: bytes) -> tuple[int, int, list[bytes]]:
    r"""Return the end, the first retained offset and the records of a raw page.

    >>> read_page(bytes(7) + b"\x02" + bytes(8) + frame([b"a", b"b"]))
    (2, 0, [b'a', b'b'])
    """
    end, first = body[:_OFFSET_BYTES], body[_OFFSET_BYTES : 2 * _OFFSET_BYTES]
    records = unframe(body[2 * _OFFSET_BYTES :])
    return int.from_bytes(end, "big"), int.from_bytes(first, "big"), records


class LogStore:
    """Answers calls at once, each carried out as a whole or not at all.

    Callers in ``trusted`` (the operator and the workers) may write what the system
    may only read. ``calls`` counts the calls of the others by path, since refused
    calls are priced as well.
    """

    def __init__(
        self,
        limits: StoreLimits | None = None,
        trusted: frozenset[str] = frozenset({"operator"}),
    ) -> None:
        self.limits = limits or StoreLimits()
        self.calls: Counter[str] = Counter()
        self.groups: defaultdict[str, Group] = defaultdict(Group)
        self._trusted = trusted
        self._topics: dict[str, list[Partition]] = {}
        self._writes = RateLimit(self.limits.writes_per_s)
        self._reads = RateLimit(self.limits.reads_per_s)
        self._reading_until_ms = 0.0
        self._operations = {
            "/log-append": self._append,
            "/log-read": self._read,
            "/log-trim": self._trim,
            "/log-newest": self._newest,
            "/log-join": self._join,
            "/log-leave": self._leave,
            "/log-commit": self._commit,
            "/log-owners": self._owners,
        }

    def handle(self, now_ms: int, request: Request) -> Answer:
        """Charge a call against the rates, carry it out and return its answer."""
        return self.charge(now_ms, request) or self.perform(now_ms, request)

    def charge(self, now_ms: int, request: Request) -> Answer | None:
        """Count a call, and return the refusal of one beyond the rates."""
        if request.caller in self._trusted:
            return None
        self.calls[request.path] += 1
        limit = self._reads if request.path in _READS else self._writes
        price = _JOIN_PRICE if request.path == "/log-join" else 1
        return None if limit.take(now_ms, price) else Answer(429)

    def perform(self, now_ms: int, request: Request) -> Answer:
        """Carry out a call, whatever the rates."""
        operation = self._operations.get(request.path)
        if operation is None:
            return Answer(404)
        try:
            return operation(now_ms, request)
        except InvalidInputError as fault:
            return Answer(400, {"detail": str(fault)})

    def put(self, now_ms: int, topic: str, record: bytes) -> int:
        """Append a record as the platform itself; return its offset."""
        return self._partition(now_ms, topic, 0).append(now_ms, [record])

    def forget_history(self, now_ms: int, topics: frozenset[str] | None = None) -> None:
        """Delete all records, of all topics or some; the newest of each key stays."""
        for topic in self._topics if topics is None else topics:
            for part in range(len(self._topics.get(topic, ()))):
                partition = self._partition(now_ms, topic, part)
                partition.trim(partition.end)

    def expire_members(self, now_ms: int) -> None:
        """Let silent members of all groups go."""
        for group in self.groups.values():
            group.expire(now_ms)

    def _append(self, now_ms: int, request: Request) -> Answer:
        query = request.query
        topic, part = read_text(query, "topic"), read_whole(query, "part")
        if topic in _READ_ONLY and request.caller not in self._trusted:
            return Answer(403)
        records = self._read_records(topic, request.body)
        partition = self._partition(now_ms, topic, part)
        producer = _read_producer(query)
        refusal = self._reason_against(partition, query, producer, records)
        if refusal is not None:
            return refusal
        if not records:
            return _answer_empty(partition, producer)
        delay_ms = self._queue(partition, now_ms, sum(map(len, records)))
        if delay_ms is None:
            return Answer(503)
        offset = partition.append(now_ms, records)
        body = {"offset": offset, "end": partition.end}
        answer = Answer(200, body, delay_ms)
        if producer is not None:
            partition.producers.appended(*producer, Answer(200, body))
        return answer

    def _reason_against(
        self,
        partition: Partition,
        query: dict,
        producer: tuple[str, int, int] | None,
        records: list[bytes],
    ) -> Answer | None:
        if producer is not None and records:
            judged = partition.producers.judge(*producer)
            if judged is not None:
                return judged
        if "at" in query and read_whole(query, "at") != partition.end:
            return Answer(412, {"end": partition.end})
        if self._stored_bytes() + sum(map(len, records)) > _MAX_STORED_BYTES:
            return Answer(507)
        return None

    def _read_records(self, topic: str, body: bytes | dict) -> list[bytes]:
        records = unframe(body if isinstance(body, bytes) else b"")
        sizes = [len(record) for record in records]
        if max(sizes, default=0) > self.limits.record_bytes:
            raise DecodeError("record", f"{self.limits.record_bytes} bytes", max(sizes))
        if sum(sizes) > self.limits.call_bytes:
            raise DecodeError("body", f"{self.limits.call_bytes} bytes", sum(sizes))
        if topic.startswith(_KEYED):
            for record in records:
                split_keyed(record)
        return records

    def _queue(self, partition: Partition, now_ms: int, size: int) -> int | None:
        waits_ms = max(0.0, partition.busy_until_ms - now_ms)
        if waits_ms > _MAX_QUEUED_MS:
            return None
        takes_ms = self.limits.append_ms + size / (self.limits.part_mb_s * 1000)
        partition.busy_until_ms = now_ms + waits_ms + takes_ms
        return round(waits_ms + takes_ms)

    def _read(self, now_ms: int, request: Request) -> Answer:
        query = request.query
        start = read_whole(query, "from")
        most_bytes = read_whole(query, "max_kb", 1024) * 1024
        if read_whole(query, "wait_ms", 0) > _MAX_WAIT_MS:
            raise InvalidInputError("wait_ms", f"at most {_MAX_WAIT_MS}", query)
        partition = self._named(now_ms, query)
        if start < partition.first:
            return Answer(410, {"first": partition.first})
        bounds = (partition.end, partition.first)
        head = b"".join(bound.to_bytes(_OFFSET_BYTES, "big") for bound in bounds)
        data = head + frame(partition.read(start, most_bytes))
        return Answer(200, data, self._transfer(now_ms, len(data)))

    def _transfer(self, now_ms: int, size: int) -> int:
        started_ms = max(self._reading_until_ms, now_ms)
        self._reading_until_ms = started_ms + size / (self.limits.read_mb_s * 1000)
        return round(self._reading_until_ms - now_ms)

    def _trim(self, now_ms: int, request: Request) -> Answer:
        fields = _fields_of(request)
        is_trusted = request.caller in self._trusted
        if read_text(fields, "topic") in _READ_ONLY and not is_trusted:
            return Answer(403)
        self._named(now_ms, fields).trim(read_whole(fields, "before"))
        return Answer(200)

    def _newest(self, now_ms: int, request: Request) -> Answer:
        query = request.query
        if not read_text(query, "topic").startswith(_KEYED):
            raise InvalidInputError("topic", "a keyed topic", query["topic"])
        partition = self._named(now_ms, query)
        after = query.get("after")
        rows, has_more = partition.newest(after, _PAGE_ITEMS, _PAGE_BYTES)
        items = [
            {"key": key, "value": b64encode(value).decode(), "offset": offset}
            for key, value, offset in rows
        ]
        size = sum(len(item["value"]) for item in items)
        body = {"items": items, "has_more": has_more, "end": partition.end}
        return Answer(200, body, self._transfer(now_ms, size))

    def _join(self, now_ms: int, request: Request) -> Answer:
        fields = _fields_of(request)
        name, member = read_text(fields, "group"), read_text(fields, "member")
        ttl_ms = read_whole(fields, "ttl_ms")
        if ttl_ms < self.limits.ttl_min_ms:
            raise InvalidInputError(
                "ttl_ms", f"at least {self.limits.ttl_min_ms}", ttl_ms
            )
        topics = {
            topic: self._part_count(topic) for topic in read_texts(fields, "topics")
        }
        generation = read_whole(fields, "generation", 0)
        self.expire_members(now_ms)
        group = self.groups[name]
        rows = group.join(now_ms, member, topics, ttl_ms, generation)
        return Answer(200, {"generation": group.generation, "parts": rows})

    def _leave(self, now_ms: int, request: Request) -> Answer:
        fields = _fields_of(request)
        self.expire_members(now_ms)
        self.groups[read_text(fields, "group")].leave(read_text(fields, "member"))
        return Answer(200)

    def _commit(self, now_ms: int, request: Request) -> Answer:
        fields = _fields_of(request)
        part = (read_text(fields, "topic"), read_whole(fields, "part"))
        generation = read_whole(fields, "generation")
        offset = read_whole(fields, "offset")
        group = self.groups[read_text(fields, "group")]
        self.expire_members(now_ms)
        member = read_text(fields, "member")
        is_held = group.commit(now_ms, member, generation, part, offset)
        return Answer(200 if is_held else 409)

    def _owners(self, now_ms: int, request: Request) -> Answer:
        self.expire_members(now_ms)
        group = self.groups[read_text(_fields_of(request), "group")]
        return Answer(200, {"owners": group.owners()})

    def _named(self, now_ms: int, fields: dict) -> Partition:
        topic, part = read_text(fields, "topic"), read_whole(fields, "part")
        return self._partition(now_ms, topic, part)

    def _partition(self, now_ms: int, topic: str, part: int) -> Partition:
        count = self._part_count(topic)
        if part >= count:
            raise InvalidInputError("part", f"below {count}", part)
        if topic not in self._topics:
            if len(self._topics) >= _MAX_TOPICS:
                raise InvalidInputError("topic", f"one of {_MAX_TOPICS}", topic)
            is_keyed = topic.startswith(_KEYED)
            self._topics[topic] = [Partition(is_keyed) for _ in range(count)]
        partition = self._topics[topic][part]
        keep_ms, most_bytes = self.limits.keep_s * 1000, self.limits.part_mb * 1e6
        partition.expire(now_ms, keep_ms, most_bytes)
        return partition

    def _part_count(self, topic: str) -> int:
        return 1 if topic in _SINGLE_PART else self.limits.parts

    def _stored_bytes(self) -> int:
        return sum(p.stored_bytes for parts in self._topics.values() for p in parts)


def _fields_of(request: Request) -> dict:
    body = request.body if isinstance(request.body, dict) else {}
    return {**request.query, **body}


def _read_producer(query: dict) -> tuple[str, int, int] | None:
    if "producer" not in query:
        return None
    epoch, seq = read_whole(query, "epoch"), read_whole(query, "seq", 0)
    return read_text(query, "producer"), epoch, seq


def _answer_empty(
    partition: Partition, producer: tuple[str, int, int] | None
) -> Answer:
    if producer is not None:
        refusal = partition.producers.set_epoch(*producer[:2])
        if refusal is not None:
            return refusal
    return Answer(200, {"offset": partition.end, "end": partition.end})
