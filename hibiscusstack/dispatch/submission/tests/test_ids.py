"""Tests of submission ids and their claims."""

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusstack.clock import ManualClock
from hibiscusstack.dispatch.answers import Reason
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.dispatch.submission.ids import (
    WINDOW_IDS,
    Claim,
    IdExpired,
    IdIssuer,
    IdMalformed,
    IdNotIssued,
    IdOfOtherCaller,
    IdOfOtherOwner,
    parse_issued_id,
    reason_of_refusal,
)
from hibiscusstack.exceptions import InvalidInputError

OWNER = HostName("kathmandu-1", "host.7", 0x1F)


def make_issuer(clock=None, owner=OWNER, secret=b"s" * 16):
    return IdIssuer(
        owner, clock or ManualClock(), secret, lifetime_ms=1_000, grace_ms=500
    )


def mint_one(issuer):
    return parse_issued_id(issuer.mint(1)[0]).ok


def test_an_id_round_trips_and_needs_no_quoting_in_a_url():
    text = make_issuer().mint(3)[2]
    issued = parse_issued_id(text).ok
    assert (issued.owner, issued.sequence, issued.expires_ms) == (OWNER, 2, 1_000)
    assert set(text) <= set("abcdefghijklmnopqrstuvwxyz0123456789-._~")


def test_the_first_claim_of_an_id_is_fresh_and_later_ones_are_duplicates():
    issuer = make_issuer()
    issued = mint_one(issuer)
    claims = [issuer.claim(issued, "guard").ok for _ in range(3)]
    assert claims == [Claim.FRESH, Claim.JOINED, Claim.JOINED]


def test_another_caller_is_refused_as_if_the_id_was_never_issued():
    issuer = make_issuer()
    issued = mint_one(issuer)
    issuer.claim(issued, "guard")
    refusal = issuer.claim(issued, "other").error
    assert refusal == IdOfOtherCaller(0)
    assert reason_of_refusal(refusal) is Reason.ID_NOT_ISSUED


def test_ids_of_another_owner_or_incarnation_are_refused():
    theirs = mint_one(make_issuer())
    restarted = make_issuer(owner=attrs.evolve(OWNER, incarnation=0x20))
    assert restarted.claim(theirs, "guard").error == IdOfOtherOwner(OWNER)


@pytest.mark.parametrize(
    "change", [{"sequence": 1}, {"expires_ms": 1_001}, {"mac": "0" * 16}]
)
def test_a_forged_id_is_refused_as_never_issued(change):
    issuer = make_issuer()
    issued = mint_one(issuer)
    issuer.mint(5)
    forged = attrs.evolve(issued, **change)
    assert issuer.claim(forged, "guard").error == IdNotIssued(forged.sequence)


def test_an_id_with_a_later_sequence_number_is_refused_as_never_issued():
    ahead = make_issuer()
    ahead.mint(9)
    issued = mint_one(ahead)
    assert make_issuer().claim(issued, "guard").error == IdNotIssued(9)


def test_an_expired_id_is_proven_unclaimed_during_the_grace_period_only():
    clock = ManualClock()
    issuer = make_issuer(clock)
    issued = mint_one(issuer)
    clock.advance(1_000)
    assert issuer.claim(issued, "guard").error == IdExpired(0, True)
    clock.advance(500)
    assert issuer.claim(issued, "guard").error == IdExpired(0, False)


def test_a_claim_is_kept_through_the_grace_period_and_then_refused():
    clock = ManualClock()
    issuer = make_issuer(clock)
    issued = mint_one(issuer)
    issuer.claim(issued, "guard")
    clock.advance(1_499)
    assert issuer.claim(issued, "guard").ok is Claim.JOINED
    clock.advance(1)
    assert issuer.claim(issued, "guard").error == IdExpired(0, False)


def test_windows_are_dropped_after_expiry_and_unclaimed_ids_take_none():
    clock = ManualClock()
    issuer = make_issuer(clock)
    for _ in range(100):
        for text in issuer.mint(WINDOW_IDS):
            issued = parse_issued_id(text).ok
        issuer.claim(issued, "guard")
        clock.advance(100)
    # Ids expire after 1,000 ms and their claims are kept for 500 ms more.
    assert issuer.count_windows() == 15


def test_the_checksum_detects_any_single_mistyped_character():
    text = make_issuer().mint(1)[0]
    for position, right in enumerate(text):
        for wrong in "0a~Z":
            if wrong != right:
                mistyped = text[:position] + wrong + text[position + 1 :]
                assert parse_issued_id(mistyped).is_error()


@settings(derandomize=True)
@given(st.text())
def test_any_other_text_is_malformed(text):
    assert parse_issued_id(text).error == IdMalformed(text[:400])


def test_invalid_arguments_are_refused():
    with pytest.raises(InvalidInputError):
        make_issuer(owner=HostName("dc~1", "h", 1))
    with pytest.raises(InvalidInputError):
        make_issuer(secret=b"short")
    with pytest.raises(InvalidInputError):
        make_issuer().mint(0)
