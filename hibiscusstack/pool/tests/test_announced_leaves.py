"""Targets that announce their end and leave while stored tasks run there.

Guards against review case 12: planned leaves counted as losses of targets, and the job
of a task that had seen four of them was shown as failed.
"""

import pytest

from hibiscusstack.pool.tests.test_crashing_tasks import (
    MAX_CRASHES,
    NEEDS,
    CrashFleet,
    max_starts,
)
from hibiscusstack_standins.estate.jobs import Step

LEAVES = 6
REMAINING_MS = 800
SEEDS = range(3)
every_seed = pytest.mark.parametrize("seed", SEEDS)


def run_until_started(fleet, caller, limit_ms=8_000):
    """Let time pass until a task of a job runs; return its target, if any does."""
    end_ms = fleet.now_ms + limit_ms
    while fleet.now_ms < end_ms:
        for name, worker in fleet.workers.items():
            if any(task.startswith(caller.job.id) for task, _ in worker.running()):
                return name
        fleet.run(10)
    return ""


def let_leave(fleet, name, remaining_ms=REMAINING_MS):
    """Let a target announce that it leaves, and another one join."""
    fleet.registry.drain(fleet.now_ms, name, remaining_ms)
    fleet.join(f"{name}n")


def leave_in_series(fleet, caller, leaves=LEAVES, is_coordinator_killed=False):
    """Let the target of a task leave again and again; return how many have left."""
    for count in range(leaves):
        name = run_until_started(fleet, caller)
        if not name:
            return count
        fleet.run(200)
        let_leave(fleet, name)
        fleet.run(REMAINING_MS - 100)
        lost = fleet.coordinator() if is_coordinator_killed else ""
        if lost:
            fleet.kill(lost)
        fleet.run(1_500)
        if lost:
            fleet.start(lost)
    return leaves


# Guards against leaves that count as losses, whatever the task can save of its work.
@every_seed
@pytest.mark.parametrize("is_checkpointing", [True, False])
@pytest.mark.parametrize("is_stored", [True, False])
def test_a_task_outlives_any_number_of_announced_leaves(
    seed, is_checkpointing, is_stored
):
    fleet = CrashFleet(seed)
    fleet.wait_ms = 60_000
    step = Step(work_ms=9_000, checkpointing=is_checkpointing, **NEEDS)
    caller = fleet.submit(step, is_stored=is_stored)
    assert leave_in_series(fleet, caller) == LEAVES
    fleet.recover_and_verify(20_000)
    fleet.run(5_000)
    state = fleet.state_of(caller) if is_stored else caller.state
    assert state == "completed"


# Guards against leaves that a successor counts, as it reads of the starts alone.
@every_seed
@pytest.mark.parametrize("has_crash", [True, False])
def test_leaves_count_for_nothing_while_coordinators_are_lost(seed, has_crash):
    fleet = CrashFleet(seed, hosts=4)
    first, later = (
        Step(work_ms=work_ms, after=after, **NEEDS)
        for work_ms, after in ((300, ()), (9_000, (0,)))
    )
    caller = fleet.submit(first, later, is_stored=True)
    fleet.run(1_500)
    if has_crash:
        fleet.workers[run_until_started(fleet, caller)].crash(fleet.now_ms)
        fleet.run(1_000)
    assert leave_in_series(fleet, caller, is_coordinator_killed=True) == LEAVES
    fleet.recover_and_verify(20_000)
    fleet.run(8_000)
    assert fleet.state_of(caller) == "completed"


# Guards against a crash that is forgiven because its target had announced its end.
@every_seed
def test_crashes_of_targets_that_are_leaving_count(seed):
    fleet = CrashFleet(seed, workers=12)
    step = Step(work_ms=2_000, crashing=(0,), crash_delay_ms=900, **NEEDS)
    caller = fleet.submit(step, is_stored=True)
    for _ in range(12):
        name = run_until_started(fleet, caller, 4_000)
        if name:
            let_leave(fleet, name, remaining_ms=6_000)
        while name and fleet.workers[name].is_up:
            fleet.run(10)
    assert max_starts(fleet, caller) <= MAX_CRASHES
    assert fleet.state_of(caller) == "failed"
    assert fleet.violations() == []
