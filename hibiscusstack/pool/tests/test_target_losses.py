"""Losses of targets, and the tasks that are held responsible for them."""

import attrs
import pytest

from hibiscusstack.clock import ManualClock
from hibiscusstack.pool.target_losses import (
    MAX_LOSSES,
    MAX_STORED_LOSSES,
    LossEvidence,
    TargetLoss,
    TargetLosses,
    has_crashed_targets,
)

STARTED, SILENT, REFUSING, REPLACED = LossEvidence


def loss(target, *tasks, evidence=REFUSING, instance=5):
    return TargetLoss(target, instance, frozenset(tasks), evidence)


def names(losses):
    return {each.target for each in losses}


# Guards against an innocent task that is given up, because it was lost with a culprit,
# and then with a target that crashed for another reason.
@pytest.mark.parametrize("evidence", [REFUSING, REPLACED])
def test_a_task_is_given_up_after_two_crashes_at_which_it_was_alone(evidence):
    shared = loss("t1", "j.0.0.0", "k.0.0.0", evidence=evidence)
    alone = [loss(name, "j.0.0.0", evidence=evidence) for name in ("t2", "t3")]
    assert not has_crashed_targets([shared, loss("t4", "j.0.0.0", "l.0.0.0")])
    assert not has_crashed_targets([shared, alone[0]])
    assert has_crashed_targets(alone)
    assert has_crashed_targets([shared, *alone])


def test_three_crashes_are_required_if_targets_were_lost_together():
    alone = loss("t1", "j.0.0.0")
    together = [attrs.evolve(loss(t, "j.0.0.0"), is_single=False) for t in ("t2", "t3")]
    assert not has_crashed_targets([alone, together[0]])
    assert has_crashed_targets([alone, *together])


def test_a_task_is_isolated_after_a_crash_or_a_second_loss():
    losses = TargetLosses(ManualClock(0))
    losses.note(loss("t1", "j.0.0.0", evidence=SILENT))
    assert not losses.must_isolate("j.0.0.0")
    losses.note(loss("t2", "j.0.0.0", evidence=SILENT))
    assert losses.must_isolate("j.0.0.0")
    losses.note(loss("t3", "k.0.0.0", evidence=REFUSING))
    assert losses.must_isolate("k.0.0.0")


def test_a_careful_decision_requires_three_crashes():
    losses = [loss(f"t{number}", "j.0.0.0") for number in range(3)]
    assert not has_crashed_targets(losses[:2], is_careful=True)
    assert has_crashed_targets(losses, is_careful=True)


# Guards against a sixth start of a task of a stored job, of whose crashes a lost
# coordinator knew one.
def test_a_task_of_a_stored_job_is_given_up_after_any_loss_and_two_crashes_alone():
    others = loss("t1", "j.0.0.0", "k.0.0.0"), loss("t1", "j.0.0.0", evidence=STARTED)
    crashes = [
        attrs.evolve(loss(target, "j.0.0.0"), is_single=False)
        for target in ("t2", "t3")
    ]
    assert not has_crashed_targets(crashes, is_stored=True)
    for other in others:
        assert not has_crashed_targets([other, crashes[0]], is_stored=True)
        assert has_crashed_targets([other, *crashes], is_stored=True)
        assert not has_crashed_targets(
            [other, *crashes], is_stored=True, is_careful=True
        )


# Guards against further starts after a third crash, of which the rule allows two, while
# runs lapse as coordinators change.
def test_a_task_of_a_stored_job_is_given_up_after_three_crashes_beside_others():
    crashes = [loss(f"t{n}", "j.0.0.0", f"k{n}.0.0.0") for n in range(3)]
    assert not has_crashed_targets(crashes[:2], is_stored=True)
    assert has_crashed_targets(crashes, is_stored=True)
    assert not has_crashed_targets(crashes, is_stored=True, is_careful=True)
    assert not has_crashed_targets(crashes)


def test_silence_is_no_crash_but_bounds_the_starts():
    losses = [loss(f"t{n}", "j.0.0.0", evidence=SILENT) for n in range(MAX_LOSSES)]
    assert not has_crashed_targets(losses[:-1])
    assert has_crashed_targets(losses)


def test_each_instance_counts_once_with_its_strongest_evidence():
    losses = TargetLosses(ManualClock(0))
    losses.note(loss("t1", "j.0.0.0", evidence=REFUSING))
    losses.note(loss("t1", "j.0.0.0", evidence=SILENT))
    (known,) = losses.losses_of("j.0.0.0")
    assert known.evidence is REFUSING
    losses.note(loss("t1", "j.0.0.0", instance=6))
    assert len(losses.losses_of("j.0.0.0")) == 2


def test_a_recorded_start_is_replaced_by_the_tasks_that_were_lost():
    losses = TargetLosses(ManualClock(0), is_recorded=True)
    losses.note(loss("t1", "j.0.0.0", evidence=STARTED))
    assert [each.key for each in losses.losses_of("j.0.0.0")] == [("t1", 5)]
    losses.unsaved.clear()
    losses.note(loss("t1", "k.0.0.0", evidence=REFUSING))
    assert losses.losses_of("j.0.0.0") == [] and list(losses.unsaved) == [("t1", 5)]
    assert [each.evidence for each in losses.losses_of("k.0.0.0")] == [REFUSING]


def test_a_loss_is_refuted_when_the_instance_answers_again():
    losses = TargetLosses(ManualClock(0), is_recorded=True)
    losses.note(loss("t1", "j.0.0.0"))
    losses.unsaved.clear()
    losses.refute(("t1", 6))
    assert losses.losses_of("j.0.0.0") and not losses.unsaved
    losses.refute(("t1", 5))
    assert losses.losses_of("j.0.0.0") == [] and list(losses.unsaved) == [("t1", 5)]


def test_losses_count_for_the_task_and_not_for_others_of_its_job():
    losses = TargetLosses(ManualClock(0))
    losses.note(loss("t1", "j.0.0.0"))
    losses.note(loss("t2", "j.0.0.0"))
    losses.note(loss("t3", "k.0.0.3", "l.0.0.0"))
    assert losses.suspects_of("j") == {"j.0.0.0"}
    assert losses.losses_of("j.0.0.1") == []
    assert names(losses.responsible_losses("j.0.0.0", is_stored=False)) == {"t1", "t2"}
    assert losses.responsible_losses("k.0.0.3", is_stored=False) == []
    assert losses.responsible_losses("j.0.0.0", is_stored=True) == []


def test_a_task_that_has_ended_at_a_target_is_no_suspect_any_more():
    losses = TargetLosses(ManualClock(0))
    losses.note(loss("t1", "j.0.0.0", "k.0.0.0"))
    losses.clear("k.0.0.0")
    assert losses.losses_of("k.0.0.0") == [] and losses.suspects_of("k") == set()
    assert losses.suspects_of("j") == {"j.0.0.0"}


def test_more_crashes_are_required_while_targets_are_lost_for_other_reasons():
    clock = ManualClock(0)
    losses = TargetLosses(clock)
    for target in ("t1", "t2"):
        losses.note(loss(target, "j.0.0.0"))
    losses.note(loss("t3", "k.0.0.0", "k.0.0.1"))
    losses.clear("k.0.0.0")
    assert losses.responsible_losses("j.0.0.0", is_stored=False)
    losses.clear("k.0.0.1")
    assert not losses.responsible_losses("j.0.0.0", is_stored=False)
    clock.advance(60_000)
    assert losses.responsible_losses("j.0.0.0", is_stored=False)


def test_a_task_waits_until_its_losses_are_recorded_but_not_for_long():
    clock = ManualClock(0)
    losses = TargetLosses(clock, is_recorded=True)
    losses.note(loss("t1", "j.0.0.0"))
    assert not losses.may_restart("j.0.0.0", 200, 1)
    assert losses.may_restart("k.0.0.0", 200, 1)
    clock.advance(200)
    assert losses.may_restart("j.0.0.0", 200, 1)
    losses.note(loss("t2", "j.0.0.0"))
    assert not losses.may_restart("j.0.0.0", 200, 2)
    clock.advance(200)
    assert losses.may_restart("j.0.0.0", 200, 2)
    assert not losses.may_restart("j.0.0.0", 200, 1)
    losses.unsaved.clear()
    assert losses.may_restart("j.0.0.0", 200, 1)


def test_a_snapshot_replaces_what_was_read_and_keeps_what_is_unsaved():
    losses = TargetLosses(ManualClock(0), is_recorded=True)
    losses.apply(loss("read", "j.0.0.0"))
    losses.apply_given_up("old", "crashes")
    losses.note(loss("noted", "j.0.0.0"))
    losses.give_up("new", "crashes")
    losses.replace_saved([loss("later", "j.0.0.0")], [("j", "cause")])
    assert names(losses.losses_of("j.0.0.0")) == {"noted", "later"}
    assert losses.given_up_cause("old") is None
    assert losses.given_up_cause("new") == "crashes"
    assert losses.given_up_cause("j") == "cause"


def test_a_loss_that_is_read_again_with_other_tasks_replaces_the_first():
    losses = TargetLosses(ManualClock(0))
    losses.apply(loss("t1", "j.0.0.0"))
    losses.apply(loss("t1", "k.0.0.0"))
    assert losses.losses_of("j.0.0.0") == [] and losses.suspects_of("j") == set()
    losses.discard(("t1", 5))
    assert losses.losses_of("k.0.0.0") == [] and losses.suspects_of("k") == set()


def test_entries_expire_by_age_and_by_number():
    clock = ManualClock(0)
    losses = TargetLosses(clock)
    losses.note(loss("t1", "j.0.0.0"))
    clock.advance(100)
    losses.note(loss("t2", "j.0.0.0"))
    losses.give_up("j", "cause")
    assert losses.expired(100, 10) == []
    assert losses.expired(99, 10) == [("t1", 5)]
    assert losses.expired(1_000, 1) == [("t1", 5), ("t2", 5)]


def test_a_task_of_a_stored_job_is_given_up_one_loss_earlier():
    losses = TargetLosses(ManualClock(0))
    for number in range(MAX_STORED_LOSSES):
        assert losses.responsible_losses("j.0.0.0", True) == []
        losses.apply(loss(f"t{number}", "j.0.0.0", evidence=SILENT))
    assert len(losses.responsible_losses("j.0.0.0", True)) == MAX_STORED_LOSSES
    assert losses.responsible_losses("j.0.0.0", False) == []
