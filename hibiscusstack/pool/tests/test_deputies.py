"""Tests of the choice of deputies and of their fencing tokens."""

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
REMOTE = HostName("y", "d", 1)
REGISTERED = [("x", "a"), ("x", "b"), ("x", "c"), ("y", "d")]


@pytest.mark.parametrize(
    "registration_offset", [0, 1, 7, (1 << REGISTRATION_OFFSET_BITS) - 2, 1 << 40]
)
def test_deputy_token_is_between_two_terms(registration_offset):
    assert term_token(4) < deputy_token(4, registration_offset) < term_token(5)


def test_later_registration_has_the_higher_token():
    assert deputy_token(4, 7) < deputy_token(4, 8)


@pytest.mark.parametrize(
    ("own", "connected", "deputy"),
    [
        (A, [B], A),
        (B, [A], A),
        (B, [C], B),
        (C, [A, B], A),
        (A, [], None),
        (A, [B, REMOTE], None),
        (REMOTE, [], REMOTE),
    ],
)
def test_deputy_is_the_first_host_of_a_majority(own, connected, deputy):
    assert choose_deputy(own, REGISTERED, connected) == deputy


def test_half_of_a_data_centre_is_no_majority():
    assert choose_deputy(A, [*REGISTERED, ("x", "e")], [B]) is None


def test_connected_hosts_count_without_a_registration():
    registered = [("x", "b"), ("x", "c"), ("y", "d")]
    assert choose_deputy(A, registered, [B]) == A
    assert choose_deputy(A, registered, []) is None


def test_single_data_centre_has_no_deputy():
    assert choose_deputy(A, REGISTERED[:3], [B, C]) is None


def test_two_runs_of_a_host_count_once():
    assert choose_deputy(A, REGISTERED, [HostName("x", "a", 2)]) is None


TOKENS = {A: 12, B: 11, REMOTE: 13}


@pytest.mark.parametrize(
    ("reachable_hosts", "highest_general_token", "deputy"),
    [
        ([A, B, REMOTE], 0, B),
        ([A, B, C], 10, B),
        ([A, B, REMOTE], 11, A),
        ([A, B, REMOTE], 12, REMOTE),
        ([A, B, REMOTE], 13, None),
        ([A, REMOTE], 0, None),
        ([C, HostName("x", "e", 1), HostName("x", "f", 1)], 0, None),
    ],
)
def test_general_deputy_has_the_lowest_token_above_the_highest_known(
    reachable_hosts, highest_general_token, deputy
):
    assert (
        choose_general_deputy(
            reachable_hosts, REGISTERED, TOKENS, highest_general_token
        )
        == deputy
    )


def test_another_run_of_a_registered_host_has_no_token_and_counts_once():
    other_run = HostName("x", "a", 2)
    assert choose_general_deputy([A, other_run], REGISTERED, TOKENS, 0) is None
    assert (
        choose_general_deputy([other_run, C, REMOTE], REGISTERED, TOKENS, 0) == REMOTE
    )
