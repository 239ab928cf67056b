"""When a coordinator leaves its term to a larger host."""

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.handover import STABLE_OFFER_MS, Handover, claim_rank

A, B, C = (HostName("dc", name, 1) for name in "abc")


def test_the_largest_host_claims_first_and_of_equal_ones_the_first_by_name():
    offered = {A: 500, B: 2_000, C: 500}
    assert [claim_rank(host, offered) for host in (B, A, C)] == [0, 1, 2]


def test_a_host_that_offers_nothing_goes_last():
    assert claim_rank(A, {A: 0, B: 500, C: 500}) == 2


def test_a_term_is_left_to_a_much_larger_host_once_that_is_settled():
    handover = Handover(500)
    assert not handover.is_due(0, {A: 2_000})
    assert not handover.is_due(STABLE_OFFER_MS - 1, {A: 2_000})
    assert handover.is_due(STABLE_OFFER_MS, {A: 2_000})


def test_a_host_that_was_away_has_to_settle_again():
    handover = Handover(500)
    handover.is_due(0, {A: 2_000})
    handover.is_due(1_000, {A: 0})
    handover.is_due(2_000, {A: 2_000})
    assert not handover.is_due(STABLE_OFFER_MS + 1_999, {A: 2_000})
    assert handover.is_due(STABLE_OFFER_MS + 2_000, {A: 2_000})


def test_hosts_that_are_not_much_larger_change_nothing():
    handover = Handover(1_000)
    handover.is_due(0, {A: 1_400, B: 1_000})
    assert not handover.is_due(10 * STABLE_OFFER_MS, {A: 1_400, B: 1_000})


def test_hosts_of_unknown_size_stay_as_they_are():
    handover = Handover(0)
    handover.is_due(0, {A: 1_400})
    assert not handover.is_due(10 * STABLE_OFFER_MS, {A: 1_400})
