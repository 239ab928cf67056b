"""Tests of the conditions under which waiting tasks may start."""

import math

import attrs
import pytest

from hibiscusstack.clock import ManualClock
from hibiscusstack.pool.capacity_index import FreeCapacityIndex
from hibiscusstack.pool.coordination.starting import start_waiting_tasks
from hibiscusstack.pool.jobs import Resources, Step
from hibiscusstack.pool.orders import FencedOut, ReplyLost, RunEnd
from hibiscusstack.pool.target_losses import LossEvidence, TargetLoss, TargetLosses
from hibiscusstack.pool.tests.coordinator_harness import (
    OWNER,
    PEER,
    CoordinatorHarness,
    RecordedNames,
    make_job,
    make_target,
)
from hibiscusstack.pool.timing import CoordinatorTiming

TIMING = CoordinatorTiming()
MAX_ORPHAN_RUN_MS = math.ceil(TIMING.max_orphan_run_ms)
STRAY_RUN = ("other.0.0.0", 2)


def leave_unanswered(harness):
    """Leave the first hold of the second target unanswered."""


def leave_clearing(harness):
    """Report a stray run at the second target."""
    harness.reply_to_hold("t2", [STRAY_RUN])


def fence(harness):
    """Report that another coordinator has fenced the second target."""
    harness.fail_hold("t2", FencedOut())


def make_silent(harness):
    """Fail a hold of the second target after its takeover was complete."""
    harness.complete_takeover("t2")
    harness.fail_hold("t2", ReplyLost("silent"))


def make_unreachable(harness):
    """Fail the first hold of the second target."""
    harness.fail_hold("t2", ReplyLost("silent"))


@pytest.mark.parametrize(
    "make_unavailable",
    [leave_unanswered, leave_clearing, fence, make_silent, make_unreachable],
)
def test_a_resubmitted_job_waits_while_its_earlier_runs_may_be_active(make_unavailable):
    harness = CoordinatorHarness("t1", "t2")
    harness.complete_takeover("t1")
    make_unavailable(harness)
    harness.submit(unheard_ms=300)
    harness.submit(make_job("new"))
    assert [order.task for _, order in harness.starts] == ["new.0.0.0"]
    harness.report_run_end("t1", ("new.0.0.0", 1))
    harness.pass_time(MAX_ORPHAN_RUN_MS - 300 - 1)
    assert len(harness.starts) == 1
    harness.pass_time(1)
    assert harness.started_runs()[1:] == [("t1", "j.0.0.0", 1)]


def test_a_resubmitted_job_waits_for_a_recorded_target_that_is_not_listed():
    harness = CoordinatorHarness("t1", records=RecordedNames(["t1", "t2"]))
    harness.complete_takeover("t1")
    harness.submit(unheard_ms=0)
    harness.pass_time(100)
    assert harness.starts == []
    harness.coordinator.replace_targets([make_target("t1"), make_target("t2")])
    harness.pass_time(100)
    assert harness.starts == []
    harness.complete_takeover("t2")
    assert len(harness.starts) == 1


def test_a_retired_target_delays_resubmitted_jobs_until_its_record_is_deleted():
    records = RecordedNames(["t1"], ["t2"])
    harness = CoordinatorHarness("t1", records=records)
    harness.complete_takeover("t1")
    harness.pass_time(60_000)
    harness.submit(unheard_ms=0)
    assert harness.starts == [] and harness.coordinator.missing_targets() == ["t2"]
    records.retired.clear()
    harness.pass_time(10)
    assert len(harness.starts) == 1 and harness.coordinator.missing_targets() == []


def test_a_resubmitted_job_starts_at_once_if_all_targets_are_held():
    harness = CoordinatorHarness("t1", "t2")
    harness.complete_takeover("t1", "t2")
    harness.submit(unheard_ms=0)
    assert len(harness.starts) == 1


def test_jobs_of_unheard_hosts_are_not_started():
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    harness.coordinator.set_unheard_owners([OWNER])
    harness.submit(make_job("one"))
    harness.submit(make_job("two"), PEER)
    assert [order.task for _, order in harness.starts] == ["two.0.0.0"]
    harness.submit(make_job("one"), PEER)
    assert len(harness.starts) == 2
    harness.submit(make_job("three"))
    harness.coordinator.set_unheard_owners([])
    harness.pass_time(10)
    assert len(harness.starts) == 3


def test_a_job_submitted_again_waits_for_the_end_of_its_stopped_run():
    harness = CoordinatorHarness("t1", "t2")
    harness.complete_takeover("t1", "t2")
    harness.submit_and_start()
    harness.coordinator.cancel(OWNER, 1)
    harness.submit()
    harness.reply_to_stop()
    harness.pass_time(10)
    assert len(harness.starts) == 1
    harness.report_runs_twice("t1")
    assert len(harness.starts) == 2


# A successor that never listed the target would not look for its runs there.
def test_nothing_is_started_at_a_target_that_is_not_recorded():
    records = RecordedNames(["t2"])
    harness = CoordinatorHarness("t1", "t2", records=records)
    harness.complete_takeover("t1", "t2")
    harness.submit(make_job("j", 8))
    assert {name for name, _, _ in harness.started_runs()} == {"t2"}
    assert harness.coordinator.unrecorded_targets() == [make_target("t1")]
    records.usable.add("t1")
    harness.coordinator.records_changed()
    assert {name for name, _, _ in harness.started_runs()} == {"t1", "t2"}
    assert harness.coordinator.unrecorded_targets() == []


# Guards against a start by a coordinator that stood still and has been replaced: a
# reply is handled before the check that ends its role.
def test_nothing_starts_on_a_reply_that_is_handled_after_a_pause():
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    harness.submit(make_job("large", 4))
    harness.submit(make_job("waiting"))
    harness.pass_time(10)
    harness.clock.advance(3_000)
    ends = (RunEnd(n + 1, f"large.0.0.{n}", 1, "lapsed") for n in range(4))
    harness.reply_to_hold("t1", ended=tuple(ends))
    assert len(harness.starts) == 4


def make_needy_job(name, cpu_milli=500, requires="", **terms):
    """Return a job of one task with these needs."""
    step = Step(1, Resources(cpu_milli, 64), 50, requires=requires, **terms)
    return attrs.evolve(make_job(name), steps=(step,))


def count_started(harness, prefix):
    return sum(order.task.startswith(prefix) for _, order in harness.starts)


# Guards against jobs that no target can run and that stop all others.
@pytest.mark.parametrize(
    "make_unplaceable",
    [
        lambda name: make_needy_job(name, requires="lost"),
        lambda name: make_needy_job(name, cpu_milli=2_001),
        lambda name: attrs.evolve(make_job(name), pool="empty"),
    ],
)
def test_jobs_without_room_stop_no_others(make_unplaceable):
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    for number in range(100):
        harness.submit(make_unplaceable(f"lost-{number}"))
    for number in range(4):
        harness.submit(make_needy_job(f"sound-{number}"))
    harness.pass_time(10)
    assert (count_started(harness, "lost"), count_started(harness, "sound")) == (0, 4)


def test_jobs_of_one_kind_that_do_not_fit_stop_no_smaller_ones():
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    for number in range(50):
        harness.submit(make_needy_job(f"large-{number}", cpu_milli=2_040))
    harness.submit(make_needy_job("small", cpu_milli=1_999))
    harness.pass_time(300)
    assert harness.started_runs() == [("t1", "small.0.0.0", 1)]


class CountingIndex(FreeCapacityIndex):
    """An index that counts the targets that are looked at, and the queries."""

    looked_at = 0
    queries = 0

    def most_free_cpu(self, pool):
        """Return the most free CPU, and count the query."""
        self.queries += 1
        return super().most_free_cpu(pool)

    def with_free_cpu(self, pool, cpu_milli):
        """Yield the targets, and count them."""
        for target in super().with_free_cpu(pool, cpu_milli):
            self.looked_at += 1
            yield target


def use_counting_index(harness):
    """Let a coordinator use a new index that counts, and return it."""
    index = harness.coordinator._state.free_capacity = CountingIndex()
    for target in harness.coordinator.targets():
        index.add(target)
    return index


# Guards against a full coordinator that has no time left for its callers: targets that
# are paused keep their room, so each kind of job was tried on all of them.
def test_jobs_of_many_sizes_look_at_few_targets_while_those_with_room_are_paused():
    names = [f"t{number}" for number in range(40)]
    harness = CoordinatorHarness(*names)
    harness.complete_takeover(*names)
    for name in names:
        harness.state(name).paused_until_ms = math.inf
    for number in range(300):
        harness.submit(make_needy_job(f"j{number}", cpu_milli=500 + 5 * number))
    index = use_counting_index(harness)
    start_waiting_tasks(harness.coordinator._state)
    assert harness.starts == []
    assert 0 < index.looked_at <= 2 * len(names)


# Guards against a coordinator that is busy with suspects alone after many targets were
# lost: each of them was tried on all targets in every pass.
def test_many_waiting_suspects_look_at_few_targets():
    losses = TargetLosses(ManualClock(0))
    names = [f"t{number}" for number in range(40)]
    harness = CoordinatorHarness(*names, losses=losses)
    harness.complete_takeover(*names)
    for number in range(40):
        tasks = frozenset(f"j{number}.0.0.{index}" for index in range(4))
        losses.apply(TargetLoss(f"x{number}", 1, tasks, LossEvidence.REFUSING))
    for name in names:
        harness.state(name).paused_until_ms = math.inf
    for number in range(40):
        harness.submit(make_job(f"j{number}", 4))
    index = use_counting_index(harness)
    start_waiting_tasks(harness.coordinator._state)
    assert harness.starts == []
    # A few suspects look at all targets twice, to start and to reserve one.
    assert 0 < index.looked_at <= 2 * 6 * len(names)


# Guards against passes over all waiting jobs for replies that free no room.
def test_a_confirmed_start_is_no_reason_to_try_waiting_jobs():
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    for number in range(8):
        harness.submit(make_job(f"j{number}"))
    index = use_counting_index(harness)
    for sent in list(harness.starts):
        harness.reply_to_start(sent=sent)
    assert index.queries == 0
    harness.reply_to_hold("t1", [("j0.0.0.0", 1)])
    assert index.queries > 0


def test_a_step_without_room_stops_no_other_step_of_its_job():
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    steps = make_needy_job("j", requires="lost").steps + make_needy_job("j").steps
    harness.submit(attrs.evolve(make_job("j"), steps=steps))
    assert harness.started_runs() == [("t1", "j.0.1.0", 1)]


def test_jobs_that_waited_for_a_label_start_once_a_target_has_it():
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    harness.submit(make_needy_job("j", requires="fast"))
    harness.pass_time(10)
    fast = make_target("t2", labels=frozenset(["fast"]))
    harness.targets.append(fast)
    harness.coordinator.replace_targets(harness.targets)
    harness.complete_takeover("t2")
    assert harness.started_runs() == [("t2", "j.0.0.0", 1)]


def expire_lease(harness):
    """Leave a target silent until its lease has expired."""
    harness.fail_hold("t1", ReplyLost("silent"))
    harness.pass_time(MAX_ORPHAN_RUN_MS)


def fence_for_long(harness):
    """Let another coordinator fence a target, until its leases have expired."""
    harness.fail_hold("t1", FencedOut())
    harness.pass_time(MAX_ORPHAN_RUN_MS)


def replace_listing(harness):
    """Let a new instance of a target be listed, at another address."""
    listed = [
        make_target("t1", address="t1:2", instance_started_ms=2),
        make_target("t2"),
    ]
    harness.coordinator.replace_targets(listed)


def replace_instance(harness):
    """Let a new instance of a target answer, which may have got the start order."""
    started_ms = harness.clock.now_ms()
    harness.reply_to_hold("t1", instance_started_ms=started_ms)
    harness.reply_to_stop()
    for _ in range(2):
        harness.pass_time(10)
        harness.reply_to_hold("t1", instance_started_ms=started_ms)


# Guards against stored tasks that are started again while a successor, of which this
# coordinator doesn't know, has adopted their runs or handled their ends.
@pytest.mark.parametrize(
    "lose", [expire_lease, fence_for_long, replace_listing, replace_instance]
)
def test_a_stored_task_presumed_ended_waits_for_the_term_to_be_confirmed(lose):
    harness = CoordinatorHarness("t1", "t2")
    harness.complete_takeover("t1", "t2")
    run = harness.submit_and_start("t1", make_job("j"))
    harness.coordinator._state.jobs["j"].is_stored = True
    harness.confirms_term = False
    lose(harness)
    harness.pass_time(10)
    assert harness.coordinator.needs_term_confirmation and len(harness.starts) == 1
    lost_ms = harness.coordinator._state.presumed_end_ms
    harness.coordinator.confirm_term(lost_ms - 1)
    harness.pass_time(10)
    assert len(harness.starts) == 1
    harness.coordinator.confirm_term(lost_ms)
    harness.pass_time(10)
    assert harness.started_runs()[1:] == [("t2", run[0], 2)]
    assert not harness.coordinator.needs_term_confirmation
