"""Who claims the next term, and when."""

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.election import (
    CLAIM_STAGGER_MS,
    CLAIM_TIMEOUT_MS,
    Election,
    Term,
)

A, B, C = (HostName("dc", name, 1) for name in "abc")
PATIENCE_MS = 200
OLD_TERM = Term(4, HostName("dc", "d", 1))


def first_claim_ms(
    election, peers, hears=False, until_ms=1_000, *, from_ms=0, offered=None
):
    for now_ms in range(from_ms, from_ms + until_ms, 10):
        if election.should_claim(now_ms, hears, peers, offered):
            return now_ms - from_ms
    return None


def candidate(own=A, term=OLD_TERM, end=5):
    election = Election(own, PATIENCE_MS)
    if end is not None:
        election.note_end(end)
    if term is not None:
        election.note_term(term)
    return election


def test_nobody_claims_before_the_log_was_read():
    assert first_claim_ms(candidate(end=None, term=None), {}) is None


def test_the_first_term_is_claimed_at_once_by_the_first_host():
    assert first_claim_ms(candidate(A, None), {B: False}) == 0
    assert first_claim_ms(candidate(B, None), {A: False}) == CLAIM_STAGGER_MS


def test_hosts_that_sort_later_leave_the_claim_to_others():
    claims = [
        first_claim_ms(candidate(own), {A: False, B: False, C: False} | {own: False})
        for own in (A, B, C)
    ]
    assert claims == [PATIENCE_MS + rank * CLAIM_STAGGER_MS for rank in range(3)]


def test_larger_hosts_claim_first():
    offered = {A: 500, B: 2_000}
    larger, smaller = candidate(B), candidate(A)
    assert first_claim_ms(larger, {A: False}, offered=offered) == PATIENCE_MS
    later_ms = PATIENCE_MS + CLAIM_STAGGER_MS
    assert first_claim_ms(smaller, {B: False}, offered=offered) == later_ms


def test_one_peer_that_hears_the_holder_is_enough_to_wait():
    election = candidate()
    assert first_claim_ms(election, {B: True}) is None
    assert first_claim_ms(election, {B: False}, from_ms=1_000) == PATIENCE_MS


def test_a_claim_without_an_answer_is_made_again():
    election = candidate()
    assert first_claim_ms(election, {}) == PATIENCE_MS
    again_ms = first_claim_ms(election, {}, until_ms=2_000, from_ms=PATIENCE_MS + 10)
    assert again_ms == CLAIM_TIMEOUT_MS - 10
    election.claim_failed()
    assert election.should_claim(5_000, False, {})


def test_older_terms_change_nothing_and_a_holder_that_resigned_claims_anew():
    election = candidate(A, Term(7, A))
    assert not election.note_term(Term(6, B)) and not election.note_term(Term(7, B))
    assert election.is_holder and first_claim_ms(election, {}) is None
    election.resign()
    assert not election.is_holder
    assert first_claim_ms(election, {}) == PATIENCE_MS
    assert election.note_term(Term(8, A)) and election.is_holder and election.end == 9
