"""Tests of how long the names of unlisted targets are kept."""

from hibiscusstack.pool.unlisted_targets import UNLISTED_RETENTION_MS, UnlistedTargets

MAX_ORPHAN_RUN_MS = 1_000


def unlisted(*names):
    """Return ``names`` as unlisted since 0 ms, beside one target that is listed."""
    targets = UnlistedTargets(MAX_ORPHAN_RUN_MS)
    targets.replace_listed(["here", *names], 0)
    targets.replace_listed(["here"], 0)
    return targets


def test_target_that_is_listed_again_is_dropped():
    targets = unlisted("a", "b")
    targets.replace_listed(["here", "b"], 10)
    targets.replace_listed([], 20)
    assert targets.names() == ["a", "b", "here"]


def test_name_is_kept_at_any_age_while_hosts_disagree():
    targets = unlisted("a")
    for now_ms in (UNLISTED_RETENTION_MS + 1, 10 * UNLISTED_RETENTION_MS):
        assert not targets.record_agreement(False, now_ms)
    assert targets.names() == ["a"]


def test_name_is_dropped_once_hosts_have_agreed_for_long_enough():
    targets = unlisted("a")
    now_ms = UNLISTED_RETENTION_MS + 1
    assert not targets.record_agreement(True, now_ms)
    assert (
        not targets.record_agreement(True, now_ms + MAX_ORPHAN_RUN_MS - 1) and targets
    )
    assert targets.record_agreement(True, now_ms + MAX_ORPHAN_RUN_MS) and not targets


def test_interrupted_agreement_restarts_the_wait():
    targets = unlisted("a")
    now_ms = UNLISTED_RETENTION_MS + 1
    targets.record_agreement(True, now_ms)
    targets.record_agreement(False, now_ms + MAX_ORPHAN_RUN_MS - 1)
    assert not targets.record_agreement(True, now_ms + MAX_ORPHAN_RUN_MS)
    assert (
        not targets.record_agreement(True, now_ms + 2 * MAX_ORPHAN_RUN_MS - 1)
        and targets
    )
    assert targets.record_agreement(True, now_ms + 2 * MAX_ORPHAN_RUN_MS)


def test_recently_unlisted_target_is_kept_after_other_leases_expired():
    targets = unlisted("a")
    targets.record_agreement(True, 0)
    assert targets.record_agreement(True, UNLISTED_RETENTION_MS) and targets
    assert targets.record_agreement(True, UNLISTED_RETENTION_MS + 1) and not targets
