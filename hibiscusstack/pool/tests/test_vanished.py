"""Tests of how long targets that vanished matter."""

from hibiscusstack.pool.vanished import LEAVING_MS, VanishedTargets

QUIET_MS = 1_000


def vanished(*names):
    """Return targets that left the list at 0 ms, with one that is listed."""
    targets = VanishedTargets(QUIET_MS)
    targets.replace_listed(["here", *names], 0)
    targets.replace_listed(["here"], 0)
    return targets


def test_a_target_that_is_listed_again_matters_no_more():
    targets = vanished("a", "b")
    targets.replace_listed(["here", "b"], 10)
    targets.replace_listed([], 20)
    assert targets.names() == ["a", "b", "here"]


def test_a_name_is_kept_at_any_age_while_a_host_may_order_it():
    targets = vanished("a")
    for now_ms in (LEAVING_MS + 1, 10 * LEAVING_MS):
        assert not targets.note_hosts(False, now_ms)
    assert targets.names() == ["a"]


def test_a_name_is_forgotten_when_all_hosts_have_been_united_for_long():
    targets = vanished("a")
    now_ms = LEAVING_MS + 1
    assert not targets.note_hosts(True, now_ms)
    assert not targets.note_hosts(True, now_ms + QUIET_MS - 1) and targets
    assert targets.note_hosts(True, now_ms + QUIET_MS) and not targets


def test_a_host_that_is_unheard_in_between_begins_the_wait_anew():
    targets = vanished("a")
    now_ms = LEAVING_MS + 1
    targets.note_hosts(True, now_ms)
    targets.note_hosts(False, now_ms + QUIET_MS - 1)
    assert not targets.note_hosts(True, now_ms + QUIET_MS)
    assert not targets.note_hosts(True, now_ms + 2 * QUIET_MS - 1) and targets
    assert targets.note_hosts(True, now_ms + 2 * QUIET_MS)


def test_a_target_that_left_lately_is_kept_though_no_lease_of_others_is_left():
    targets = vanished("a")
    targets.note_hosts(True, 0)
    assert targets.note_hosts(True, LEAVING_MS) and targets
    assert targets.note_hosts(True, LEAVING_MS + 1) and not targets
