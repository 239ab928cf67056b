"""Tests of when a coordinator hands over to a larger host."""

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.handover import STABLE_OFFER_MS, Handover, claim_rank

A, B, C = (HostName("dc", name, 1) for name in "abc")


def test_hosts_rank_by_cpu_and_then_by_name():
    offered = {A: 500, B: 2_000, C: 500}
    assert [claim_rank(host, offered) for host in (B, A, C)] == [0, 1, 2]


def test_host_without_an_offer_ranks_last():
    assert claim_rank(A, {A: 0, B: 500, C: 500}) == 2


def test_handover_is_due_after_a_stable_offer_of_a_much_larger_host():
    handover = Handover(500)
    assert not handover.is_due(0, {A: 2_000})
    assert not handover.is_due(STABLE_OFFER_MS - 1, {A: 2_000})
    assert handover.is_due(STABLE_OFFER_MS, {A: 2_000})


def test_interrupted_offer_restarts_the_wait():
    handover = Handover(500)
    handover.is_due(0, {A: 2_000})
    handover.is_due(1_000, {A: 0})
    handover.is_due(2_000, {A: 2_000})
    assert not handover.is_due(STABLE_OFFER_MS + 1_999, {A: 2_000})
    assert handover.is_due(STABLE_OFFER_MS + 2_000, {A: 2_000})


def test_no_handover_to_a_slightly_larger_host():
    handover = Handover(1_000)
    handover.is_due(0, {A: 1_400, B: 1_000})
    assert not handover.is_due(10 * STABLE_OFFER_MS, {A: 1_400, B: 1_000})


def test_no_handover_if_the_cpu_of_this_host_is_unknown():
    handover = Handover(0)
    handover.is_due(0, {A: 1_400})
    assert not handover.is_due(10 * STABLE_OFFER_MS, {A: 1_400})
