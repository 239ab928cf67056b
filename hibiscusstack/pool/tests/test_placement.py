"""Tests of the choice of a target for a task."""

import attrs

from hibiscusstack.pool.active_jobs import ActiveJob
from hibiscusstack.pool.capacity_index import FreeCapacityIndex
from hibiscusstack.pool.jobs import Resources, Step
from hibiscusstack.pool.placement import choose_target
from hibiscusstack.pool.target_state import Run, RunState, TakeoverPhase, TargetState
from hibiscusstack.pool.tests.coordinator_harness import make_job, make_target
from hibiscusstack.pool.timing import CoordinatorTiming


def make_target_state(name, cpu_milli=2_000, **fields):
    listing = make_target(name, capacity=Resources(cpu_milli, 512), **fields)
    return TargetState(
        listing, CoordinatorTiming(), clock_offset_ms=0, phase=TakeoverPhase.HELD
    )


def make_job_and_task(**step):
    """Return a job of two similar tasks, and the first task."""
    job = make_job("j", 2)
    steps = (attrs.evolve(job.steps[0], **step),)
    active = ActiveJob(attrs.evolve(job, steps=steps), 0, False)
    return active, active.ready[0]


def choose(targets, job_and_task=None):
    index = FreeCapacityIndex()
    for target in targets:
        index.add(target)
    found = choose_target(*(job_and_task or make_job_and_task()), index, 0)
    return found.listing.name if found else None


def add_run(target, job, number=0):
    """Add a run of a task to a target."""
    task = job.tasks[0, number]
    needs = task.step.needs
    target.add(Run(f"t{number}", 1, job, task, needs, RunState.RUNNING, 0))


def test_target_with_least_free_cpu_is_chosen():
    assert (
        choose(
            [
                make_target_state("a"),
                make_target_state("b", 500),
                make_target_state("c", 800),
            ]
        )
        == "b"
    )


def test_no_target_is_chosen_without_capacity_pool_or_clock_reading():
    assert choose([]) is None
    assert choose([make_target_state("a", 499)]) is None
    assert choose([make_target_state("a", pool="other")]) is None
    unread = make_target_state("a")
    unread.clock_offset_ms = None
    assert choose([unread]) is None


def test_memory_and_accelerators_count_too():
    assert (
        choose([make_target_state("a")], make_job_and_task(needs=Resources(1, 513)))
        is None
    )
    assert (
        choose([make_target_state("a")], make_job_and_task(needs=Resources(1, 1, 1)))
        is None
    )


def test_a_label_that_is_required_has_to_be_there():
    labelled = make_target_state("b", labels=frozenset({"fast"}))
    assert (
        choose(
            [make_target_state("a", 500), labelled], make_job_and_task(requires="fast")
        )
        == "b"
    )
    assert choose([make_target_state("a")], make_job_and_task(requires="fast")) is None


def test_the_rack_of_the_data_is_better_and_not_required():
    near = make_target_state("b", labels=frozenset({"r1"}))
    assert (
        choose([make_target_state("a", 500), near], make_job_and_task(data_rack="r1"))
        == "b"
    )
    assert choose([make_target_state("a")], make_job_and_task(data_rack="r1")) == "a"


def test_avoided_target_is_used_only_if_no_other_fits():
    job, task = make_job_and_task(data_rack="r1")
    task.avoided_targets.add("b")
    near = make_target_state("b", labels=frozenset({"r1"}))
    assert choose([make_target_state("a"), near], (job, task)) == "a"
    assert choose([near], (job, task)) == "b"


def test_target_with_recent_failure_comes_after_others():
    failed = make_target_state("a", 500)
    failed.health.note_failure(0)
    assert choose([failed, make_target_state("b")]) == "b"


def test_a_target_on_trial_gets_one_run_at_a_time():
    target = make_target_state("a")
    target.health.note_fault(0)
    job, task = make_job_and_task()
    assert choose([target], (job, task)) == "a"
    add_run(target, job, 1)
    assert choose([target], (job, task)) is None


def test_anti_affinity_limits_tasks_of_a_step_per_target():
    job, task = make_job_and_task(anti_affinity=1)
    target = make_target_state("a")
    add_run(target, make_job_and_task()[0], 1)
    assert choose([target], (job, task)) == "a"
    add_run(target, job)
    assert choose([target], (job, task)) is None
    assert choose([target, make_target_state("b")], (job, task)) == "b"


def test_a_step_without_needs_fits_anywhere():
    job = make_job("j")
    job = attrs.evolve(job, steps=(Step(1, Resources()),))
    active = ActiveJob(job, 0, False)
    assert choose([make_target_state("a", 0)], (active, active.ready[0])) == "a"
