"""Who stands in for the coordinator, and with which token."""

import pytest

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.deputies import (
    REGISTRATION_OFFSET_BITS,
    choose_deputy,
    choose_general_deputy,
    deputy_token,
    term_token,
)

A, B, C = (HostName("x", name, 1) for name in "abc")
FAR = HostName("y", "d", 1)
LISTED = [("x", "a"), ("x", "b"), ("x", "c"), ("y", "d")]


@pytest.mark.parametrize(
    "listing", [0, 1, 7, (1 << REGISTRATION_OFFSET_BITS) - 2, 1 << 40]
)
def test_the_token_of_a_deputy_is_between_two_terms(listing):
    assert term_token(4) < deputy_token(4, listing) < term_token(5)


def test_a_host_that_is_listed_later_has_the_higher_token():
    assert deputy_token(4, 7) < deputy_token(4, 8)


@pytest.mark.parametrize(
    ("own", "connected", "deputy"),
    [
        (A, [B], A),
        (B, [A], A),
        (B, [C], B),
        (C, [A, B], A),
        (A, [], None),
        (A, [B, FAR], None),
        (FAR, [], FAR),
    ],
)
def test_the_first_of_more_than_half_stands_in(own, connected, deputy):
    assert choose_deputy(own, LISTED, connected) == deputy


def test_half_of_a_data_centre_is_not_enough():
    assert choose_deputy(A, [*LISTED, ("x", "e")], [B]) is None


def test_hosts_that_are_heard_count_though_they_are_not_listed():
    listed = [("x", "b"), ("x", "c"), ("y", "d")]
    assert choose_deputy(A, listed, [B]) == A
    assert choose_deputy(A, listed, []) is None


def test_a_site_of_one_data_centre_has_no_deputy():
    assert choose_deputy(A, LISTED[:3], [B, C]) is None


def test_another_run_of_a_host_counts_once():
    assert choose_deputy(A, LISTED, [HostName("x", "a", 2)]) is None


TOKENS = {A: 12, B: 11, FAR: 13}


@pytest.mark.parametrize(
    ("members", "highest_token", "deputy"),
    [
        ([A, B, FAR], 0, B),
        ([A, B, C], 10, B),
        ([A, B, FAR], 11, A),
        ([A, B, FAR], 12, FAR),
        ([A, B, FAR], 13, None),
        ([A, FAR], 0, None),
        ([C, HostName("x", "e", 1), HostName("x", "f", 1)], 0, None),
    ],
)
def test_the_lowest_token_that_is_still_obeyed_stands_in_for_all(
    members, highest_token, deputy
):
    assert choose_general_deputy(members, LISTED, TOKENS, highest_token) == deputy


def test_other_runs_of_a_host_count_once_and_have_no_token():
    again = HostName("x", "a", 2)
    assert choose_general_deputy([A, again], LISTED, TOKENS, 0) is None
    assert choose_general_deputy([again, C, FAR], LISTED, TOKENS, 0) == FAR
