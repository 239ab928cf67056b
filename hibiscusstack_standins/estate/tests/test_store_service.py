"""Tests of the store's waits, outages and lost answers."""

import pytest

from hibiscusstack.exceptions import InvalidInputError
from hibiscusstack_standins.estate.log_store import LogStore, read_page
from hibiscusstack_standins.estate.messages import Answer, Request, Unanswered
from hibiscusstack_standins.estate.records import frame
from hibiscusstack_standins.estate.store_service import (
    LostAnswers,
    Outage,
    StoreService,
)


def append_of(record=b"a", caller="edge", **query):
    query = {"topic": "t", "part": 0, **query}
    return Request("/log-append", frame([record]), query, caller=caller)


def read_of(start, wait_ms=0, caller="edge"):
    query = {"topic": "t", "part": 0, "from": start, "wait_ms": wait_ms}
    return Request("/log-read", query=query, caller=caller, method="GET")


def records_in(service):
    return read_page(service.store.perform(0, read_of(0)).body)[2]


def test_a_read_waits_for_a_record():
    service = StoreService(LogStore())
    service.submit(0, 1, read_of(0, wait_ms=1_000))
    assert service.advance(500) == []
    service.submit(600, 2, append_of())
    (ticket, answer) = service.advance(600)[0]
    assert (ticket, read_page(answer.body)) == (1, (1, 0, [b"a"]))
    assert [ticket for ticket, _ in service.advance(601)] == [2]


def test_a_waiting_read_ends_with_its_time():
    service = StoreService(LogStore())
    service.submit(0, 1, read_of(0, wait_ms=1_000))
    assert service.next_due_ms() == 1_000
    (ticket, answer) = service.advance(1_000)[0]
    assert (ticket, read_page(answer.body)) == (1, (0, 0, []))
    assert service.next_due_ms() is None


@pytest.mark.parametrize(
    ("kind", "outcome"),
    [
        ("busy", Answer(503)),
        ("rejecting", Answer(429)),
        ("reset", Unanswered("reset")),
        ("silent", Unanswered("silent")),
    ],
)
def test_an_outage_concerns_its_callers_and_does_nothing(kind, outcome):
    service = StoreService(LogStore())
    service.set_outages(0, [Outage(kind, frozenset({"edge"}))])
    service.submit(0, 1, append_of(caller="edge"))
    assert service.advance(0) == [(1, outcome)]
    assert records_in(service) == []
    assert service.store.calls == {"/log-append": 1}
    service.submit(0, 2, append_of(caller="other"))
    assert service.advance(1)[0][1].status == 200


def test_an_outage_ends_waiting_reads():
    service = StoreService(LogStore())
    service.submit(0, 1, read_of(0, wait_ms=1_000))
    service.set_outages(10, [Outage("reset")])
    assert service.advance(10) == [(1, Unanswered("reset"))]


def test_an_unknown_outage_is_refused():
    with pytest.raises(InvalidInputError):
        Outage("tired")


def test_a_lost_answer_belongs_to_a_call_that_was_done():
    service = StoreService(LogStore())
    service.lost_answers = LostAnswers(share=1.0)
    service.submit(0, 1, append_of(at=0))
    assert service.advance(0) == [(1, Unanswered("silent"))]
    assert records_in(service) == [b"a"]


def test_a_call_done_late_needs_its_condition_to_hold_still():
    for is_overtaken in (False, True):
        service = StoreService(LogStore(), seed=3)
        service.lost_answers = LostAnswers(share=1.0, late_share=1.0)
        service.submit(0, 1, append_of(b"late", at=0))
        assert service.advance(0) == [(1, Unanswered("silent"))]
        assert records_in(service) == []
        service.lost_answers = None
        if is_overtaken:
            service.submit(500, 2, append_of(b"new", at=0))
        due_ms = max(service.next_due_ms(), 1_000)
        service.advance(due_ms)
        service.advance(6_000)
        assert records_in(service) == ([b"new"] if is_overtaken else [b"late"])


@pytest.mark.parametrize("pauses", [True, False])
def test_members_expire_or_pause_while_the_store_is_down(pauses):
    service = StoreService(LogStore(), pauses_members=pauses)
    body = {"group": "g", "member": "a", "topics": ["t"], "ttl_ms": 1_000}
    service.submit(0, 1, Request("/log-join", body))
    service.set_outages(500, [Outage("busy")])
    service.advance(5_000)
    service.set_outages(5_000, [])
    service.advance(5_000)
    assert bool(service.store.groups["g"].owners()) is pauses
    service.advance(5_500)
    assert service.store.groups["g"].owners() == []


def test_a_slow_store_answers_later():
    service = StoreService(LogStore())
    service.slow_ms = 300
    service.submit(0, 1, append_of())
    assert service.advance(300) == []
    assert [ticket for ticket, _ in service.advance(301)] == [1]
