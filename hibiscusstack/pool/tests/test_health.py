"""Tests of the backoff for failing targets."""

from hibiscusstack.pool.health import BASE_BACKOFF_MS, MAX_BACKOFF_MS, TargetHealth


def test_backoff_starts_with_the_second_failure():
    health = TargetHealth()
    assert health.note_failure(1_000) == 1_000 and not health.is_on_trial
    assert health.note_failure(1_000) == 1_000 + 2 * BASE_BACKOFF_MS
    assert health.is_on_trial


def test_backoff_doubles_up_to_a_limit():
    health = TargetHealth()
    pauses = [health.note_fault(0) for _ in range(6)]
    assert pauses[:3] == [300, 600, 1_200]
    assert set(pauses[3:]) == {MAX_BACKOFF_MS}


def test_successful_run_ends_the_trial():
    health = TargetHealth()
    health.note_fault(0)
    health.note_success()
    assert health == TargetHealth()
    assert health.note_failure(1_000) == 1_000
