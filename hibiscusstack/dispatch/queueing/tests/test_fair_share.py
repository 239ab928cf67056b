"""Tests of the fair-share queue."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusstack.dispatch.tests.builders import (
    OWNER,
    TARGET,
    make_entry,
    make_policy,
    make_queue,
)

SLOTS = TARGET.slots


def push_batches(queue, count, first_batch=1, **fields):
    for number in range(count):
        queue.push(make_entry(first_batch + number, **fields))


def run_queue(queue, duration_ms, refill=lambda queue, now_ms: None, run_time_ms=100):
    """Run queued tasks on one target; return the starts by class and team."""
    started = Counter()
    running = []
    for now_ms in range(0, duration_ms, 10):
        refill(queue, now_ms)
        for end_ms, entry in [each for each in running if each[0] <= now_ms]:
            queue.record_run(entry, run_time_ms)
            running.remove((end_ms, entry))
        while len(running) < SLOTS:
            entry = queue.pop(TARGET, now_ms)
            if entry is None:
                break
            started[entry.class_name, entry.team] += 1
            running.append((now_ms + run_time_ms, entry))
    return started


def count_class(started, class_name):
    return sum(count for (name, _), count in started.items() if name == class_name)


@pytest.mark.parametrize("flooding", ["urgent", "least"])
def test_flood_leaves_others_their_guaranteed_part(flooding):
    queue = make_queue()
    push_batches(queue, 4_000, class_name=flooding)
    push_batches(queue, 4_000, first_batch=10_000, class_name="middle")
    started = run_queue(queue, 20_000)
    total = started.total()
    assert count_class(started, "middle") >= 0.25 * total * 0.95
    spare_class = "urgent" if flooding == "urgent" else "middle"
    assert count_class(started, spare_class) >= 0.7 * total


def test_declared_times_give_no_advantage():
    queue = make_queue()
    push_batches(queue, 3_000, class_name="urgent", run_time_ms=100)
    push_batches(queue, 3_000, first_batch=10_000, class_name="middle", run_time_ms=10)
    started = run_queue(queue, 20_000)
    assert count_class(started, "middle") <= 0.3 * started.total()


def test_teams_share_by_weight():
    text = "[team big]\nquota_part = 3\n[team small]\nquota_part = 1\n"
    queue = make_queue(text)
    push_batches(queue, 2_000, class_name="default", team="big")
    push_batches(queue, 2_000, first_batch=10_000, class_name="default", team="small")
    started = run_queue(queue, 10_000)
    ratio = started["default", "big"] / started["default", "small"]
    assert 2.8 <= ratio <= 3.2


def test_team_without_waiting_tasks_gains_no_advantage():
    queue = make_queue("")
    push_batches(queue, 2_000, team="busy")

    def refill(queue, now_ms):
        if now_ms == 5_000:
            push_batches(queue, 1_000, first_batch=10_000, team="late")

    started = run_queue(queue, 10_000, refill)
    assert started["middle", "late"] <= 0.3 * started.total()


def test_max_running_limits_a_team():
    queue = make_queue("[team small]\nmax_running = 2\n")
    push_batches(queue, 10, team="small")
    assert [queue.pop(TARGET, 0) is not None for _ in range(3)] == [True, True, False]
    push_batches(queue, 1, first_batch=100, team="other")
    assert queue.pop(TARGET, 0).team == "other"


def test_batches_start_in_order_with_their_longest_task_first():
    queue = make_queue()
    for batch in (1, 2):
        queue.push(make_entry(batch, 0, run_time_ms=50))
        queue.push(make_entry(batch, 1, run_time_ms=500))
    popped = [queue.pop(TARGET, 0) for _ in range(4)]
    found = [(entry.batch, entry.task.index) for entry in popped]
    assert found == [(1, 1), (1, 0), (2, 1), (2, 0)]


def test_pop_returns_only_tasks_for_the_target():
    queue = make_queue()
    queue.push(make_entry(1, targets=frozenset({"w2"})))
    assert queue.pop(TARGET, 0) is None
    assert len(queue) == 1


def test_only_batches_that_miss_their_deadline_expire():
    queue = make_queue()
    queue.push(make_entry(1, deadline_ms=1_000, run_time_ms=100))
    queue.push(make_entry(2, deadline_ms=1_000, run_time_ms=1_000))
    assert [entry.batch for entry in queue.expire(500)] == [2]
    assert queue.expire(949) == []
    assert [entry.batch for entry in queue.expire(950)] == [1]
    assert queue.queued_ms() == 0


def test_task_that_did_not_run_is_not_charged():
    queue = make_queue()
    queue.push(make_entry(1))
    entry = queue.pop(TARGET, 0)
    queue.record_run(entry, 0)
    queue.push(entry)
    assert queue.queued_ms() == 100
    assert queue.pop(TARGET, 0) is entry


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["push", "pop", "remove", "expire", "again"]),
        st.integers(1, 5),
        st.sampled_from(["urgent", "middle", "least"]),
        st.sampled_from(
            [frozenset({"w1"}), frozenset({"w2"}), frozenset({"w1", "w2"})]
        ),
    ),
    max_size=60,
)


@given(OPERATIONS)
@settings(max_examples=150, deadline=None, derandomize=True)
def test_every_task_leaves_the_queue_once(operations):
    queue = make_queue()
    waiting, running, index = {}, [], 0
    for step, (operation, number, class_name, targets) in enumerate(operations):
        batch = number + 10 * ["urgent", "middle", "least"].index(class_name)
        batch += 100 * ("w1" in targets) + 200 * ("w2" in targets)
        out = []
        if operation == "push":
            index += 1
            deadline_ms = 1_000 + 100 * batch
            entry = make_entry(
                batch, index, class_name, targets=targets, deadline_ms=deadline_ms
            )
            queue.push(entry)
            waiting[entry.task_id] = entry
        elif operation == "pop":
            popped = queue.pop(TARGET, step)
            expected = any("w1" in each.targets for each in waiting.values())
            assert (popped is not None) == expected
            out = [popped] if popped else []
            running += out
        elif operation == "remove":
            out = queue.remove_batch(OWNER, batch)
            expected = {i for i, each in waiting.items() if each.batch == batch}
            assert {each.task_id for each in out} == expected
        elif operation == "expire":
            out = queue.expire(1_000 + 100 * batch)
        elif running:
            entry = running.pop()
            queue.push(entry)
            waiting[entry.task_id] = entry
        for entry in out:
            del waiting[entry.task_id]
        assert len(queue) == len(waiting)
        assert queue.queued_ms() == 100 * len(waiting)


def test_new_policy_applies_at_once():
    current_policy = make_policy()
    queue = make_queue()
    queue._current_policy = current_policy
    push_batches(queue, 10, class_name="least")
    push_batches(queue, 10, first_batch=100, class_name="middle")
    assert queue.pop(TARGET, 0).class_name == "middle"
    swapped = "[class least]\nurgency = 40\nguaranteed_part = 0.5"
    current_policy.policy = make_policy(swapped).policy
    assert queue.pop(TARGET, 0).class_name == "least"


def test_snapshots_count_waiting_tasks_by_class_and_team():
    queue = make_queue()
    assert queue.snapshots() == []
    push_batches(queue, 3, class_name="urgent", team="a")
    push_batches(queue, 2, first_batch=10, class_name="urgent", team="b")
    push_batches(queue, 1, first_batch=20, class_name="least", team="a")
    queue.remove_batch(OWNER, 1)
    shown = [(each.class_name, each.team, each.tasks) for each in queue.snapshots()]
    assert shown == [("least", "a", 1), ("urgent", "a", 2), ("urgent", "b", 2)]
    assert sum(each.queued_ms for each in queue.snapshots()) == queue.queued_ms()
    assert queue.pop(TARGET, 0) is not None
    assert sum(each.tasks for each in queue.snapshots()) == len(queue)
