"""Which target gets a task."""

import attrs

from hibiscusstack.pool.active_jobs import ActiveJob
from hibiscusstack.pool.capacity_index import FreeCapacityIndex
from hibiscusstack.pool.jobs import Resources, Step
from hibiscusstack.pool.placement import choose_target
from hibiscusstack.pool.target_state import Run, RunState, TakeoverPhase, TargetState
from hibiscusstack.pool.tests.coordinator_harness import make_job, make_target
from hibiscusstack.pool.timing import CoordinatorTiming


def held(name, cpu_milli=2_000, **fields):
    listing = make_target(name, capacity=Resources(cpu_milli, 512), **fields)
    return TargetState(
        listing, CoordinatorTiming(), clock_offset_ms=0, phase=TakeoverPhase.HELD
    )


def task_of(**step):
    """Return a job of two tasks alike, and the first of them."""
    job = make_job("j", 2)
    steps = (attrs.evolve(job.steps[0], **step),)
    active = ActiveJob(attrs.evolve(job, steps=steps), 0, False)
    return active, active.ready[0]


def choose(targets, job_and_task=None):
    room = FreeCapacityIndex()
    for target in targets:
        room.add(target)
    found = choose_target(*(job_and_task or task_of()), room, 0)
    return found.listing.name if found else None


def put(target, job, number=0):
    """Let a task of a job run at a target."""
    task = job.tasks[0, number]
    needs = task.step.needs
    target.add(Run(f"t{number}", 1, job, task, needs, RunState.RUNNING, 0))


def test_the_target_with_the_least_room_left_is_filled():
    assert choose([held("a"), held("b", 500), held("c", 800)]) == "b"


def test_a_task_goes_nowhere_without_room_pool_or_clock():
    assert choose([]) is None
    assert choose([held("a", 499)]) is None
    assert choose([held("a", pool="other")]) is None
    unread = held("a")
    unread.clock_offset_ms = None
    assert choose([unread]) is None


def test_memory_and_accelerators_count_too():
    assert choose([held("a")], task_of(needs=Resources(1, 513))) is None
    assert choose([held("a")], task_of(needs=Resources(1, 1, 1))) is None


def test_a_label_that_is_required_has_to_be_there():
    labelled = held("b", labels=frozenset({"fast"}))
    assert choose([held("a", 500), labelled], task_of(requires="fast")) == "b"
    assert choose([held("a")], task_of(requires="fast")) is None


def test_the_rack_of_the_data_is_better_and_not_required():
    near = held("b", labels=frozenset({"r1"}))
    assert choose([held("a", 500), near], task_of(data_rack="r1")) == "b"
    assert choose([held("a")], task_of(data_rack="r1")) == "a"


def test_a_barred_target_is_the_last_resort():
    job, task = task_of(data_rack="r1")
    task.avoided_targets.add("b")
    near = held("b", labels=frozenset({"r1"}))
    assert choose([held("a"), near], (job, task)) == "a"
    assert choose([near], (job, task)) == "b"


def test_a_target_that_failed_lately_comes_after_others():
    failed = held("a", 500)
    failed.health.note_failure(0)
    assert choose([failed, held("b")]) == "b"


def test_a_target_on_trial_gets_one_run_at_a_time():
    target = held("a")
    target.health.note_fault(0)
    job, task = task_of()
    assert choose([target], (job, task)) == "a"
    put(target, job, 1)
    assert choose([target], (job, task)) is None


def test_tasks_of_a_step_that_keep_apart_are_counted_by_target():
    job, task = task_of(anti_affinity=1)
    target = held("a")
    put(target, task_of()[0], 1)
    assert choose([target], (job, task)) == "a"
    put(target, job)
    assert choose([target], (job, task)) is None
    assert choose([target, held("b")], (job, task)) == "b"


def test_a_step_without_needs_fits_anywhere():
    job = make_job("j")
    job = attrs.evolve(job, steps=(Step(1, Resources()),))
    active = ActiveJob(job, 0, False)
    assert choose([held("a", 0)], (active, active.ready[0])) == "a"
