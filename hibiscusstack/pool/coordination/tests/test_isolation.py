"""Tasks that may crash their target run alone, and hold up nothing else."""

import attrs
import pytest

from hibiscusstack.clock import ManualClock
from hibiscusstack.pool.active_jobs import ActiveJob
from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.orders import NotReached, ReplyLost
from hibiscusstack.pool.target_losses import LossEvidence, TargetLoss, TargetLosses
from hibiscusstack.pool.tests.coordinator_harness import (
    CoordinatorHarness,
    make_job,
    make_target,
)

MAX_LEASE_MS = 650
REFUSED = NotReached("refused", is_refused=True)


def lose(harness, name):
    """Let a target refuse connections until its lease has expired."""
    harness.fail_hold(name, ReplyLost("reset"))
    harness.fail_hold(name, REFUSED)
    for _ in range(MAX_LEASE_MS // 50):
        harness.pass_time(50)
        harness.fail_hold(name, REFUSED)
    harness.pass_time(10)


def test_a_task_that_was_lost_with_its_target_runs_alone():
    harness = CoordinatorHarness("t1", "t2")
    harness.complete_takeover("t1", "t2")
    harness.submit_and_start("t1", make_job("suspect"))
    lose(harness, "t1")
    assert harness.started_runs()[1:] == [("t2", "suspect.0.0.0", 2)]
    harness.reply_to_start()
    harness.submit(make_job("other"))
    assert len(harness.starts) == 2
    harness.report_run_end("t2", ("suspect.0.0.0", 2))
    assert harness.started_runs()[2:] == [("t2", "other.0.0.0", 1)]


def test_a_target_is_reserved_for_a_suspect_while_others_take_new_runs():
    harness = CoordinatorHarness("t1", "t2", "t3")
    harness.complete_takeover("t1", "t2", "t3")
    harness.submit_and_start("t1", make_job("suspect"))
    (step,) = make_job("long", 8).steps
    long_step = attrs.evolve(step, estimate_ms=5_000)
    harness.state("t1").paused_until_ms = 1e9
    harness.submit(attrs.evolve(make_job("long", 8), steps=(long_step,)))
    runs = {"t2": [], "t3": []}
    for sent in harness.starts[1:]:
        harness.reply_to_start(sent=sent)
        runs[sent[0].name].append((sent[1].task, sent[1].run))
    assert [len(found) for found in runs.values()] == [4, 4]
    lose(harness, "t1")
    harness.submit(make_job("other"))
    now_ms = harness.clock.now_ms()
    (reserved,) = [n for n in runs if harness.state(n).reserved_until_ms > now_ms]
    (free,) = runs.keys() - {reserved}
    assert len(harness.starts) == 9
    for name in (reserved, free):
        ended = runs[name].pop()
        harness.report_run_end(name, ended, active=runs[name])
    assert harness.started_runs()[9:] == [(free, "other.0.0.0", 1)]
    for number, ended in enumerate(runs[reserved], start=2):
        left = runs[reserved][number - 1 :]
        harness.report_run_end(reserved, ended, number=number, active=left)
    assert harness.started_runs()[10:] == [(reserved, "suspect.0.0.0", 2)]


def test_a_second_crash_of_a_task_that_ran_alone_fails_its_job():
    harness = CoordinatorHarness("t1", "t2", "t3")
    harness.complete_takeover("t1", "t2", "t3")
    harness.submit_and_start("t1", make_job("culprit"))
    lose(harness, "t1")
    second = harness.starts[-1][0].name
    harness.reply_to_start()
    lose(harness, second)
    assert harness.ends() == [JobEnd.FAILED]
    assert harness.answers[0].cause == (
        f"given up: task culprit.0.0.0 crashed targets t1, {second}"
    )
    # The job is answered alike when it is submitted again.
    harness.submit(make_job("culprit"))
    assert harness.ends() == 2 * [JobEnd.FAILED]
    assert len(harness.starts) == 2


def test_targets_that_leave_are_not_counted_as_crashes():
    names = ("t1", "t2", "t3")
    harness = CoordinatorHarness(*names)
    harness.complete_takeover(*names)
    harness.submit_and_start("t1", make_job())
    for number in range(2):
        name = harness.starts[-1][0].name
        harness.reply_to_start()
        harness.coordinator.replace_targets(
            make_target(each, is_leaving=each in names[: number + 1]) for each in names
        )
        lose(harness, name)
    assert harness.answers == [] and len(harness.starts) == 3


# Guards against a crash that is taken for the end that its target had announced.
def test_a_target_that_is_lost_before_its_announced_end_has_crashed():
    names = ("t1", "t2", "t3")
    harness = CoordinatorHarness(*names)
    harness.complete_takeover(*names)
    harness.submit_and_start("t1", make_job())
    leaves_after_ms = harness.clock.now_ms() + 60_000
    for number in range(2):
        name = harness.starts[-1][0].name
        harness.reply_to_start()
        leaving = names[: number + 1]
        harness.coordinator.replace_targets(
            make_target(
                each, is_leaving=each in leaving, leaves_after_ms=leaves_after_ms
            )
            for each in names
        )
        lose(harness, name)
    assert harness.ends() == [JobEnd.FAILED]


def test_a_target_that_is_only_silent_is_not_counted_as_a_crash():
    harness = CoordinatorHarness("t1", "t2", "t3")
    harness.complete_takeover("t1", "t2", "t3")
    harness.submit_and_start("t1", make_job())
    for _ in range(2):
        name = harness.starts[-1][0].name
        harness.reply_to_start()
        harness.fail_hold(name, ReplyLost("timeout"))
        harness.pass_time(MAX_LEASE_MS + 20)
    assert harness.answers == [] and len(harness.starts) == 3


def test_no_suspect_starts_before_its_loss_is_recorded():
    harness = CoordinatorHarness("t1", "t2")
    losses = TargetLosses(harness.clock, is_recorded=True)
    harness = CoordinatorHarness(losses=losses)
    harness.coordinator.replace_targets([make_target("t1")])
    harness.complete_takeover("t1")
    losses.note(TargetLoss("t0", 5, frozenset(["j.0.0.0"]), LossEvidence.REFUSING))
    harness.submit()
    assert harness.starts == []
    losses.unsaved.clear()
    harness.pass_time(10)
    # The start is recorded as well before it is made.
    assert harness.starts == [] and list(losses.unsaved) == [("t1", 5)]
    losses.unsaved.clear()
    harness.pass_time(10)
    assert len(harness.starts) == 1
    harness.reply_to_start()
    harness.reply_to_hold("t1", [("j.0.0.0", 1)])
    assert losses.loss(("t1", 5)) is not None
    harness.report_run_end("t1", ("j.0.0.0", 1))
    assert losses.loss(("t1", 5)) is None


def test_losses_read_from_the_log_make_suspects_of_known_jobs():
    losses = TargetLosses(CoordinatorHarness().clock)
    harness = CoordinatorHarness("t1", losses=losses)
    harness.submit(make_job("j", 2))
    losses.apply(TargetLoss("t0", 5, frozenset(["j.0.0.1"]), LossEvidence.REFUSING))
    harness.coordinator.losses_changed()
    harness.complete_takeover("t1")
    assert [order.task for _, order in harness.starts] == ["j.0.0.0"]
    harness.reply_to_start()
    harness.report_run_end("t1", ("j.0.0.0", 1))
    assert [order.task for _, order in harness.starts] == ["j.0.0.0", "j.0.0.1"]


# Guards against an innocent task that is held responsible for a target at which its
# start was recorded, but not made.
def test_a_start_that_was_recorded_and_not_made_counts_for_nothing():
    losses = TargetLosses(ManualClock(10_000), is_recorded=True)
    harness = CoordinatorHarness("t1", "t2", losses=losses)
    harness.complete_takeover("t1")
    losses.apply(TargetLoss("t0", 5, frozenset(["j.0.0.0"]), LossEvidence.REFUSING))
    harness.submit()
    assert harness.starts == [] and losses.loss(("t1", 5)) is not None
    harness.fail_hold("t1", ReplyLost("reset"))
    harness.complete_takeover("t2")
    losses.unsaved.clear()
    harness.pass_time(10)
    assert losses.loss(("t1", 5)) is None and losses.loss(("t2", 5)) is not None
    losses.unsaved.clear()
    harness.pass_time(10)
    assert [name for name, *_ in harness.started_runs()] == ["t2"]


def test_a_loss_stays_when_the_lost_target_is_replaced_later():
    losses = TargetLosses(ManualClock(10_000))
    harness = CoordinatorHarness("t1", losses=losses)
    harness.complete_takeover("t1")
    harness.submit_and_start("t1")
    lose(harness, "t1")
    assert losses.losses_of("j.0.0.0")
    moved = make_target("t1", instance_started_ms=6, address="t1:2")
    harness.coordinator.replace_targets([moved])
    assert [each.key for each in losses.losses_of("j.0.0.0")] == [("t1", 5)]


# Guards against starts that nobody counts, because the log is away when the coordinator
# is lost.
@pytest.mark.parametrize("losses_count", [1, 2])
def test_only_a_task_that_was_lost_once_starts_while_the_log_is_away(losses_count):
    clock = ManualClock(10_000)
    losses = TargetLosses(clock, is_recorded=True)
    harness = CoordinatorHarness("t1", losses=losses)
    harness.complete_takeover("t1")
    for number in range(losses_count):
        tasks = frozenset(["j.0.0.0", "k.0.0.0"])
        losses.note(TargetLoss(f"t{number + 5}", 5, tasks, LossEvidence.REFUSING))
    harness.submit()
    for _ in range(60):
        clock.advance(10)
        harness.pass_time(10)
    assert len(harness.starts) == (1 if losses_count == 1 else 0)
    losses.unsaved.clear()
    harness.pass_time(20)
    losses.unsaved.clear()
    harness.pass_time(20)
    assert len(harness.starts) == 1


# Guards against a successor that drops the start of its predecessor, after which the
# target crashed.
def test_a_start_recorded_by_an_earlier_coordinator_counts():
    losses = TargetLosses(ManualClock(10_000))
    harness = CoordinatorHarness("t1", "t2", losses=losses)
    losses.apply(TargetLoss("t0", 5, frozenset(["j.0.0.0"]), LossEvidence.REFUSING))
    losses.apply(TargetLoss("t1", 5, frozenset(["j.0.0.0"]), LossEvidence.STARTED))
    harness.complete_takeover("t2")
    harness.fail_hold("t1", ReplyLost("reset"))
    harness.submit()
    assert [name for name, *_ in harness.started_runs()] == ["t2"]
    harness.coordinator.replace_targets([make_target("t2")])
    harness.pass_time(3_000)
    assert {each.target for each in losses.losses_of("j.0.0.0")} == {"t0", "t1", "t2"}


class PendingLosses(TargetLosses):
    """Losses of which none is in the log."""

    def __init__(self, clock):
        super().__init__(clock, is_recorded=True)


def make_pending_harness(*names):
    harness = CoordinatorHarness(*names)
    harness.coordinator._state.losses = PendingLosses(harness.clock)
    harness.complete_takeover(*names)
    return harness


# Guards against crashes of a stored job's task that are lost with their coordinator.
@pytest.mark.parametrize("is_stored", [True, False])
def test_only_a_task_with_a_caller_starts_again_without_the_log(is_stored):
    harness = make_pending_harness("t1", "t2")
    harness.submit_and_start("t1", make_job("suspect"))
    harness.coordinator._state.jobs["suspect"].is_stored = is_stored
    lose(harness, "t1")
    harness.pass_time(1_000)
    assert len(harness.starts) == (1 if is_stored else 2)


# Guards against the record of a crash that is withdrawn with the start of another task.
def test_a_start_that_was_not_made_withdraws_no_loss_noted_since():
    losses = TargetLosses(ManualClock(0), is_recorded=True)
    for evidence, tasks, is_kept in (
        (LossEvidence.STARTED, ["a"], False),
        (LossEvidence.STARTED, ["a", "b"], True),
        (LossEvidence.REFUSING, ["a"], True),
    ):
        losses.apply(TargetLoss("t1", 5, frozenset(tasks), evidence))
        losses.withdraw_start(("t1", 5), "a")
        assert (losses.loss(("t1", 5)) is not None) is is_kept
        losses.discard(("t1", 5))


def test_a_report_before_a_recorded_start_is_made_withdraws_nothing():
    harness = make_pending_harness("t1", "t2")
    losses = harness.coordinator._state.losses
    harness.submit_and_start("t1", make_job("suspect"))
    harness.coordinator._state.jobs["suspect"].is_stored = True
    lose(harness, "t1")
    losses.unsaved.clear()
    harness.pass_time(10)
    (pending,) = losses.unsaved
    harness.reply_to_hold("t2")
    assert losses.loss(pending).evidence is LossEvidence.STARTED


class EndsJournal:
    """A journal that keeps how jobs have ended."""

    is_recovering = False

    def __init__(self):
        self.ends = {}

    def admit_job(self, job_id):
        """Admit nothing."""

    def task_started(self, job_id):
        """Record nothing."""

    def may_lack_job(self, job_id):
        """Return whether a job is unknown that may have run."""
        return False

    def is_unsaved(self, job_id):
        """Return whether anything is not saved."""
        return False

    def job_ended(self, job_id, end):
        """Keep the end."""
        self.ends[job_id] = end


# Guards against starts without a bound after the crashes that the rule allows: runs of
# a culprit that lapse show no crash, as while coordinators change again and again.
@pytest.mark.parametrize(("crashes", "starts"), [(2, 2), (1, 5)])
def test_runs_that_lapse_count_once_a_task_has_crashed_two_targets(crashes, starts):
    names = ["t1", "t2", "t3", "t4"]
    losses = TargetLosses(ManualClock(0))
    for number in range(crashes):
        tasks = frozenset(["j.0.0.0", f"k{number}.0.0.0"])
        losses.apply(TargetLoss(f"x{number}", 5, tasks, LossEvidence.REFUSING))
    harness = CoordinatorHarness(*names, losses=losses)
    journal = harness.coordinator.journal = EndsJournal()
    harness.complete_takeover(*names)
    job = ActiveJob(make_job(), harness.clock.now_ms(), False, is_stored=True)
    harness.coordinator.add_stored_job(job)
    harness.coordinator.start_stored_jobs()
    for number in range(1, 5):
        if "j" in journal.ends:
            break
        target, order = harness.starts[-1]
        harness.reply_to_start()
        ended = (order.task, order.run)
        harness.report_run_end(target.name, ended, "lapsed", number)
        harness.pass_time(20)
        harness.reply_to_hold(target.name)
        harness.pass_time(100)
    assert journal.ends == ({"j": JobEnd.FAILED} if crashes == 2 else {})
    assert len(harness.starts) == starts
