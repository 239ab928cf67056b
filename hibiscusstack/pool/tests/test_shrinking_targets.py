"""Targets whose capacity shrinks and grows while they run.

Guards against starts that bring a target over the capacity that it reports, counting
what is being stopped.
"""

import attrs
import pytest

from hibiscusstack.pool.jobs import Resources
from hibiscusstack.pool.tests.coordinator_harness import (
    OWNER,
    CoordinatorHarness,
    make_job,
    make_target,
)
from hibiscusstack.pool.tests.fleet import WORKER_CPU_MILLI, Fleet
from hibiscusstack_standins.estate.runs import Capacity
from hibiscusstack_standins.estate.store_service import Outage

SMALL = Resources(1_000, 512)
# A host in touch learns of a change within ``contact_ms`` and one heartbeat.
LEARN_MS = 4_500
SEEDS = range(4)


def resize(harness, capacity):
    """List the only target with another capacity."""
    harness.coordinator.replace_targets([make_target(capacity=capacity)])


def test_nothing_starts_until_what_runs_fits_the_smaller_capacity():
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    harness.submit(make_job("j", 4))
    runs = [(order.task, order.run) for _, order in harness.starts]
    for sent in list(harness.starts):
        harness.reply_to_start(sent=sent)
    resize(harness, SMALL)
    harness.submit(make_job("next"))
    for number in (1, 2):
        harness.report_run_end("t1", runs.pop(), number=number, active=runs)
        assert len(harness.starts) == 4
    harness.report_run_end("t1", runs.pop(), number=3, active=runs)
    assert [order.task for _, order in harness.starts[4:]] == ["next.0.0.0"]


def test_a_run_that_is_being_stopped_counts_after_the_capacity_has_shrunk():
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    first = harness.submit(make_job("j", 2))
    for sent in list(harness.starts):
        harness.reply_to_start(sent=sent)
    runs = [(order.task, order.run) for _, order in harness.starts]
    resize(harness, SMALL)
    harness.coordinator.cancel(OWNER, first)
    harness.submit(make_job("next"))
    for sent in list(harness.stops):
        harness.reply_to_stop(sent)
    assert len(harness.stops) == 2 and len(harness.starts) == 2
    harness.report_run_end("t1", runs[0], "stopped", active=runs[1:])
    assert len(harness.starts) == 3


def test_the_capacity_that_grows_again_is_used():
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    resize(harness, SMALL)
    harness.submit(make_job("j", 4))
    assert len(harness.starts) == 2
    resize(harness, make_target().capacity)
    assert len(harness.starts) == 4


# Guards against a start beside a run whose needs aren't known, such as that of a late
# order, which still uses capacity while it is being stopped.
def test_nothing_starts_beside_a_run_whose_needs_are_not_known():
    harness = CoordinatorHarness("t1")
    harness.complete_takeover("t1")
    late = ("unknown.0.0.0", 1)
    harness.reply_to_hold("t1", [late])
    harness.submit()
    assert harness.starts == []
    harness.reply_to_stop()
    harness.report_run_end("t1", late, "stopped")
    assert len(harness.starts) == 1


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("disruption", ["none", "log", "coordinator"])
def test_no_target_is_brought_over_a_capacity_that_has_shrunk(seed, disruption):
    fleet = Fleet(seed, workers=5)
    capacities = [WORKER_CPU_MILLI, 1_000, 500]
    shrunk_ms = dict.fromkeys(fleet.workers, 0)
    for number in range(5):
        name = fleet.random.choice(list(fleet.workers))
        worker, cpu = fleet.workers[name], fleet.random.choice(capacities)
        if cpu < worker.plan.capacity.cpu:
            shrunk_ms[name] = fleet.now_ms
        capacity = attrs.evolve(worker.plan.capacity, cpu=cpu)
        worker.resize(fleet.now_ms, Capacity(**attrs.asdict(capacity)))
        if disruption == "log" and number == 2:
            fleet.store.set_outages(fleet.now_ms, [Outage("silent")])
        if disruption == "coordinator" and number in (1, 3):
            lost = fleet.coordinator()
            fleet.kill(lost)
            fleet.start(lost)
        for _ in range(40):
            fleet.submit_jobs(1, work_ms=200)
            fleet.run(150)
        if disruption == "log" and number == 2:
            fleet.store.set_outages(fleet.now_ms, [])
            shrunk_ms = {n: max(ms, fleet.now_ms) for n, ms in shrunk_ms.items()}
    fleet.run(3_000)
    overfull = [
        start
        for name in fleet.workers
        for start in fleet.starts_on(name)
        if start.is_overfull and start.at_ms > shrunk_ms[name] + LEARN_MS
    ]
    assert overfull == []
    assert {each.rule for each in fleet.violations()} <= {"LIMIT"}
