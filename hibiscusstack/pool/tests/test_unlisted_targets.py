"""Tests of how long targets that vanished matter."""

from hibiscusstack.pool.unlisted_targets import UNLISTED_RETENTION_MS, UnlistedTargets

QUIET_MS = 1_000


def unlisted(*names):
    """Return targets that left the list at 0 ms, with one that is listed."""
    targets = UnlistedTargets(QUIET_MS)
    targets.replace_listed(["here", *names], 0)
    targets.replace_listed(["here"], 0)
    return targets


def test_a_target_that_is_listed_again_matters_no_more():
    targets = unlisted("a", "b")
    targets.replace_listed(["here", "b"], 10)
    targets.replace_listed([], 20)
    assert targets.names() == ["a", "b", "here"]


def test_a_name_is_kept_at_any_age_while_a_host_may_order_it():
    targets = unlisted("a")
    for now_ms in (UNLISTED_RETENTION_MS + 1, 10 * UNLISTED_RETENTION_MS):
        assert not targets.record_agreement(False, now_ms)
    assert targets.names() == ["a"]


def test_a_name_is_forgotten_when_all_hosts_have_been_united_for_long():
    targets = unlisted("a")
    now_ms = UNLISTED_RETENTION_MS + 1
    assert not targets.record_agreement(True, now_ms)
    assert not targets.record_agreement(True, now_ms + QUIET_MS - 1) and targets
    assert targets.record_agreement(True, now_ms + QUIET_MS) and not targets


def test_a_host_that_is_unheard_in_between_begins_the_wait_anew():
    targets = unlisted("a")
    now_ms = UNLISTED_RETENTION_MS + 1
    targets.record_agreement(True, now_ms)
    targets.record_agreement(False, now_ms + QUIET_MS - 1)
    assert not targets.record_agreement(True, now_ms + QUIET_MS)
    assert not targets.record_agreement(True, now_ms + 2 * QUIET_MS - 1) and targets
    assert targets.record_agreement(True, now_ms + 2 * QUIET_MS)


def test_a_target_that_left_lately_is_kept_though_no_lease_of_others_is_left():
    targets = unlisted("a")
    targets.record_agreement(True, 0)
    assert targets.record_agreement(True, UNLISTED_RETENTION_MS) and targets
    assert targets.record_agreement(True, UNLISTED_RETENTION_MS + 1) and not targets
