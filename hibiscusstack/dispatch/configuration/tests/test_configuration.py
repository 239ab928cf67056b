"""Tests of the configuration chain and its records."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusstack.dispatch.configuration.chain import (
    Accepted,
    ConfigurationChain,
    IgnoreCause,
    Ignored,
)
from hibiscusstack.dispatch.configuration.records import (
    Change,
    Checkpoint,
    Replacement,
    format_record,
    parse_record,
)
from hibiscusstack.dispatch.configuration.tests.configuration_fleet import change_text

RACING_CHANGES = [
    change_text(0, "a"),
    change_text(1, "b"),
    change_text(1, "c"),
    change_text(2, "d"),
]


def apply_all(chain, texts, first_offset=1):
    for offset, text in enumerate(texts, 1):
        if offset >= first_offset:
            chain.apply(offset, text, first_offset)
    return chain


def checkpoint_text(version, after, body):
    return format_record(Checkpoint(version, after, body))


@pytest.mark.parametrize(
    "record",
    [
        Change(3, "op", "n", "é"),
        Checkpoint(2, 5, ""),
        Replacement("op", "n", "[service]"),
    ],
)
def test_records_round_trip(record):
    assert parse_record(format_record(record)).ok == record


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[]",
        "nul",
        "[" * 100_000,
        '{"format":1}',
        '{"format":true,"kind":"change"}',
        '{"format":1,"kind":"other"}',
        '{"format":1,"kind":["change"]}',
        change_text(0, "a").replace('"parent":0', '"parent":0.0'),
        change_text(0, "a").replace('"parent":0', '"parent":-1'),
        change_text(0, "a").replace('"parent":0', '"parent":"0"'),
        change_text(0, "a").replace('"parent":0', '"parent":' + "9" * 5_000),
        change_text(0, "a").replace('"nonce":"a"', '"nonce":""'),
        change_text(0, "a").replace("body-a", "\\ud800"),
        change_text(0, "a").replace("}", ',"more":1}'),
        change_text(0, "a", "x" * 300_000),
        checkpoint_text(6, 5, "later than proven"),
    ],
)
def test_a_malformed_record_is_ignored_and_the_next_one_is_applied(text):
    chain = ConfigurationChain()
    assert chain.apply(1, text) == Ignored(1, IgnoreCause.MALFORMED)
    assert isinstance(chain.apply(2, change_text(0, "b")), Accepted)


@settings(derandomize=True)
@given(st.text() | st.from_regex(r'\{"format":1,"kind":"ch.*"\}'))
def test_parsing_any_text_returns_a_record_or_a_cause(text):
    assert parse_record(text).is_ok() or parse_record(text).error.cause


def test_one_of_two_concurrent_changes_is_accepted():
    chain = apply_all(ConfigurationChain(), RACING_CHANGES)
    assert [version.nonce for version in chain.history()] == ["a", "b", "d"]


def test_a_reader_that_missed_records_applies_nothing_without_a_checkpoint():
    chain = apply_all(ConfigurationChain(), RACING_CHANGES, first_offset=2)
    assert chain.version.offset == 0
    assert chain.next_offset() == 5


def test_a_change_after_a_gap_is_ignored():
    # Version 2 came into force within the gap, so the change at 3 is not accepted.
    chain = apply_all(ConfigurationChain(), RACING_CHANGES[:1])
    assert chain.apply(3, RACING_CHANGES[2], 3) == Ignored(
        3, IgnoreCause.MISSED_RECORDS
    )


def test_earlier_records_that_the_log_still_has_are_read_first():
    chain = ConfigurationChain()
    chain.apply(3, RACING_CHANGES[2], 1)
    assert chain.next_offset() == 1


def test_a_checkpoint_closes_a_gap_and_the_records_after_it_are_replayed():
    texts = [*RACING_CHANGES[:3], checkpoint_text(2, 2, "body-b"), RACING_CHANGES[3]]
    chain = apply_all(ConfigurationChain(), texts, first_offset=3)
    assert chain.version.body == "body-b"
    assert chain.next_offset() == 3
    apply_all(chain, texts, first_offset=3)
    assert (chain.version.offset, chain.version.nonce) == (5, "d")
    assert chain.next_offset() == 6


def test_a_checkpoint_that_does_not_cover_the_dropped_records_is_ignored():
    texts = [*RACING_CHANGES[:2], RACING_CHANGES[2], checkpoint_text(1, 1, "body-a")]
    chain = apply_all(ConfigurationChain(), texts, first_offset=3)
    assert chain.version.offset == 0


def test_a_checkpoint_of_an_old_version_changes_nothing():
    chain = apply_all(
        ConfigurationChain(), [*RACING_CHANGES, checkpoint_text(1, 1, "body-a")]
    )
    assert chain.version.nonce == "d"


def test_a_checkpoint_of_an_old_version_from_a_peer_is_ignored():
    chain = apply_all(ConfigurationChain(), RACING_CHANGES)
    chain.apply_accepted(9, checkpoint_text(2, 9, "body-b"))
    assert chain.version.offset == 4


def test_a_checkpoint_of_a_version_not_accepted_here_is_a_contradiction():
    chain = apply_all(ConfigurationChain(), RACING_CHANGES[:3])
    applied = chain.apply_accepted(9, checkpoint_text(3, 9, "body-c"))
    assert applied == Ignored(9, IgnoreCause.CONTRADICTION)
    assert chain.version.offset == 2


def test_a_replacement_is_accepted_after_any_version_and_closes_a_gap():
    replacement = format_record(Replacement("op", "r", "new"))
    chain = apply_all(
        ConfigurationChain(), [*RACING_CHANGES[:3], replacement], first_offset=3
    )
    assert (chain.version.offset, chain.version.body) == (4, "new")


def test_peers_catch_up_by_linked_changes_or_by_a_checkpoint():
    ahead = apply_all(ConfigurationChain(), RACING_CHANGES)
    behind = apply_all(ConfigurationChain(), RACING_CHANGES[:1])
    page = ahead.page_after(1)
    assert [offset for offset, _ in page.records] == [2, 4]
    for offset, text in page.records:
        behind.apply_accepted(offset, text)
    assert behind.version == ahead.version
    checkpoint_page = ahead.page_after(3)
    assert parse_record(checkpoint_page.records[0][1]).ok == Checkpoint(4, 4, "body-d")


def test_a_change_from_a_peer_without_its_parent_is_ignored():
    behind = apply_all(ConfigurationChain(), RACING_CHANGES[:1])
    applied = behind.apply_accepted(4, RACING_CHANGES[3])
    assert applied == Ignored(4, IgnoreCause.MISSED_RECORDS)


def test_history_is_bounded():
    chain = ConfigurationChain()
    for offset in range(1, 200):
        chain.apply(offset, change_text(offset - 1, f"n{offset}"))
    assert len(chain.history()) == 64
