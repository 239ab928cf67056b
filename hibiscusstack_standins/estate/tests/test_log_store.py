"""Tests of the store's topics: offsets, conditions, producers, keys and limits."""

from base64 import b64decode

import pytest

from hibiscusstack_standins.estate.log_store import LogStore, StoreLimits, read_page
from hibiscusstack_standins.estate.messages import Answer, Request
from hibiscusstack_standins.estate.records import frame, frame_keyed


def append(store, *records, at_time=0, caller="edge", topic="t", part=0, **query):
    query = {"topic": topic, "part": part, **query}
    request = Request("/log-append", frame(list(records)), query, caller=caller)
    return store.handle(at_time, request)


def read(store, start, at_time=0, topic="t", part=0, **query):
    query = {"topic": topic, "part": part, "from": start, **query}
    return store.handle(at_time, Request("/log-read", query=query, method="GET"))


def newest(store, topic="keyed.t", **query):
    query = {"topic": topic, "part": 0, **query}
    return store.handle(0, Request("/log-newest", query=query, method="GET")).body


def test_records_are_numbered_from_zero_without_gaps():
    store = LogStore()
    assert append(store, b"a", b"b").body == {"offset": 0, "end": 2}
    assert append(store, b"c").body == {"offset": 2, "end": 3}
    assert append(store, b"x", part=1).body == {"offset": 0, "end": 1}
    assert read_page(read(store, 1).body) == (3, 0, [b"b", b"c"])
    assert read_page(read(store, 3).body) == (3, 0, [])


def test_an_append_at_another_end_is_refused():
    store = LogStore()
    assert append(store, b"a", at=0).status == 200
    assert append(store, b"b", at=0) == Answer(412, {"end": 1})
    assert append(store, b"b", at=1).status == 200


def test_a_repeat_of_the_last_five_gets_its_first_answer():
    store = LogStore()
    producer = {"producer": "p", "epoch": 1}
    answers = [append(store, b"a", seq=n, **producer) for n in range(6)]
    for n in range(1, 6):
        assert append(store, b"a", seq=n, at=n, **producer) == answers[n]
    expected = Answer(409, {"reason": "seq", "seq": 6})
    assert append(store, b"a", seq=0, **producer) == expected
    assert append(store, b"a", seq=7, **producer) == expected
    assert read_page(read(store, 0).body)[0] == 6


def test_a_lower_epoch_is_fenced_and_a_higher_one_starts_anywhere():
    store = LogStore()
    assert append(store, b"a", producer="p", epoch=2, seq=40).status == 200
    assert append(store, b"a", producer="p", epoch=1, seq=41) == Answer(
        409, {"reason": "fenced"}
    )
    assert append(store, b"a", producer="p", epoch=3, seq=7).status == 200
    assert append(store, b"a", producer="p", epoch=2, seq=41, part=1).status == 200


def test_an_empty_body_sets_the_epoch():
    store = LogStore()
    append(store, b"a", producer="p", epoch=1, seq=0)
    answer = append(store, producer="p", epoch=2)
    assert answer.body == {"offset": 1, "end": 1}
    assert append(store, b"a", producer="p", epoch=1, seq=1).status == 409
    assert append(store, producer="p", epoch=1).status == 409
    assert append(store, b"a", producer="p", epoch=2, seq=9).status == 200


def test_a_refused_condition_uses_no_sequence_number():
    store = LogStore()
    assert append(store, b"a", producer="p", epoch=1, seq=0, at=3).status == 412
    assert append(store, b"a", producer="p", epoch=1, seq=0, at=0).status == 200


def test_old_records_expire():
    store = LogStore(StoreLimits(keep_s=2))
    append(store, b"a", at_time=0)
    append(store, b"b", at_time=1_500)
    assert read(store, 0, at_time=1_999).status == 200
    assert read(store, 0, at_time=2_000) == Answer(410, {"first": 1})
    assert read_page(read(store, 1, at_time=2_000).body) == (2, 1, [b"b"])


def test_a_partition_that_is_too_large_drops_its_oldest():
    store = LogStore(StoreLimits(part_mb=0.001))
    append(store, bytes(600), bytes(600))
    assert read(store, 0) == Answer(410, {"first": 1})


def test_a_trim_deletes_what_is_before_it():
    store = LogStore()
    append(store, b"a", b"b")
    body = {"topic": "t", "part": 0, "before": 1}
    assert store.handle(0, Request("/log-trim", body)).status == 200
    assert read(store, 0) == Answer(410, {"first": 1})


def test_a_read_is_cut_at_its_size_but_gives_a_record():
    store = LogStore()
    append(store, bytes(700), bytes(700), bytes(700))
    assert len(read_page(read(store, 0, max_kb=1).body)[2]) == 1
    assert len(read_page(read(store, 0, max_kb=0).body)[2]) == 1
    assert len(read_page(read(store, 0, max_kb=2).body)[2]) == 2


def test_the_newest_of_each_key_outlives_its_record():
    store = LogStore()
    records = [("a", b"1"), ("b", b"2"), ("a", b"3"), ("c", b"4"), ("b", b"")]
    for key, value in records:
        append(store, frame_keyed(key, value), topic="keyed.t")
    store.forget_history(0)
    body = newest(store)
    values = {item["key"]: b64decode(item["value"]) for item in body["items"]}
    assert values == {"a": b"3", "c": b"4"}
    assert [item["offset"] for item in body["items"]] == [2, 3]
    assert (body["has_more"], body["end"]) == (False, 5)
    assert read(store, 0, topic="keyed.t") == Answer(410, {"first": 5})


def test_keys_come_in_pages():
    store = LogStore()
    names = [f"k{number:04}" for number in range(1_100)]
    append(store, *(frame_keyed(name, b"v") for name in names), topic="keyed.t")
    seen, page = [], {"has_more": True}
    while page["has_more"]:
        page = newest(store, **({"after": seen[-1]} if seen else {}))
        seen += [item["key"] for item in page["items"]]
    assert seen == names


@pytest.mark.parametrize("topic", ["keyed.op", "keyed.servers"])
def test_the_system_may_not_write_what_others_say(topic):
    store = LogStore()
    record = frame_keyed("x", b"v")
    assert append(store, record, topic=topic).status == 403
    assert append(store, record, topic=topic, caller="operator").status == 200
    body = {"topic": topic, "part": 0, "before": 1}
    assert store.handle(0, Request("/log-trim", body, caller="edge")).status == 403
    assert append(store, record, topic="keyed.status").status == 200
    assert append(store, record, topic=topic, part=1, caller="operator").status == 400


def test_calls_beyond_the_rates_are_refused_and_counted():
    store = LogStore(StoreLimits(writes_per_s=2, reads_per_s=1))
    assert [append(store, b"a").status for _ in range(3)] == [200, 200, 429]
    assert [read(store, 0).status for _ in range(2)] == [200, 429]
    assert append(store, b"a", caller="operator").status == 200
    assert append(store, b"a", at_time=500).status == 200
    assert store.calls == {"/log-append": 4, "/log-read": 2}


def test_a_partition_appends_one_at_a_time():
    store = LogStore(StoreLimits(append_ms=1_500))
    assert append(store, b"a").delay_ms == 1_500
    assert append(store, b"a").delay_ms == 3_000
    assert append(store, b"a").status == 503
    assert append(store, b"a", part=1).delay_ms == 1_500


def test_records_that_are_cut_short_or_too_long_are_refused():
    store = LogStore(StoreLimits(record_bytes=10, call_bytes=15))
    broken = Request("/log-append", b"\0\0\0\5ab", {"topic": "t", "part": 0})
    assert store.handle(0, broken).status == 400
    assert append(store, bytes(11)).status == 400
    assert append(store, bytes(8), bytes(8)).status == 400
    assert append(store, b"", topic="keyed.t").status == 400
    assert read_page(read(store, 0).body)[0] == 0


def test_a_full_store_refuses():
    limits = StoreLimits(record_bytes=200_000_000, call_bytes=400_000_000, part_mb=400)
    store = LogStore(limits)
    assert append(store, bytes(200_000_000), bytes(200_000_000)).status == 200
    assert append(store, b"a", part=1).status == 507


def test_unknown_paths_and_parts_are_refused():
    store = LogStore()
    assert store.handle(0, Request("/log-else")).status == 404
    assert append(store, b"a", part=24).status == 400
    assert append(store, b"a", part="x").status == 400
