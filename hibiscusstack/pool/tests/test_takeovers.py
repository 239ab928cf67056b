"""Tests of terms whose holder knows fewer targets than an earlier orderer used."""

import pytest

from hibiscusstack.pool.tests.fleet import Fleet
from hibiscusstack_standins.estate.jobs import Step
from hibiscusstack_standins.estate.store_service import Outage

SEEDS = range(4)
# Silence after which the entry of a worker lapses, with the longest time to notice it.
LAPSE_MS = 6_100
# By then a worker that reaches the store is listed again.
RETURN_MS = 2_000
CALLER_WAIT_MS = 60_000
every_seed = pytest.mark.parametrize("seed", SEEDS)
ZONES = {
    "x": ("h1", "h2", "h3", "w0", "w1"),
    "y": ("h4", "h5", "h6", "w2", "w3"),
}


def make_fleet(seed, hosts=4, **options):
    """Return a fleet whose callers wait for long jobs; h1 and then h2 claim first."""
    cpu_milli = {f"h{n}": 1_000 for n in range(3, hosts + 1)}
    fleet = Fleet(
        seed,
        hosts=hosts,
        cpu_milli=cpu_milli | {"h1": 1_200, "h2": 1_100},
        expires_in_outage=True,
        target_latency_ms=CALLER_WAIT_MS,
        **options,
    )
    fleet.wait_ms = CALLER_WAIT_MS
    return fleet


def listed_by(fleet, host):
    """Return the names of the targets in the newest list of a host."""
    return {target.name for target in fleet.edges[host].host.targets}


def run_until(fleet, condition, limit_ms=10_000):
    """Let time pass until ``condition`` holds; fail if it doesn't in time."""
    for _ in range(limit_ms):
        if condition():
            return
        fleet.run(1)
    pytest.fail("the condition was not reached")


def start_on(fleet, worker, host, work_ms):
    """Submit long jobs at a host until one runs on a worker; cancel the others."""
    step = Step(count=1, work_ms=work_ms, cpu=1_500, mem_mb=64)
    callers = [fleet.submit(step, host=host) for _ in fleet.workers]
    before = len(fleet.starts_on(worker))
    run_until(fleet, lambda: len(fleet.starts_on(worker)) > before)
    job = fleet.starts_on(worker)[-1].task.partition(".")[0]
    for caller in callers:
        if caller.job.id != job:
            fleet.cancel(caller)


def run_until_it_follows(fleet, host):
    """Let time pass until a started host hears the coordinator, so it can succeed it.

    Before that, other hosts may claim the next term first.
    """
    run_until(fleet, fleet.edges[host].host.is_serving)


def take_over_by(fleet, successor):
    """Let the coordinator drain and the successor claim the next term."""
    first = fleet.coordinator()
    assert first != successor
    fleet.edges[first].host.drain()
    run_until(fleet, lambda: fleet.coordinator() == successor, 3_000)


def lose_first_host(fleet):
    """Kill the host that claims first; return the host that takes over."""
    fleet.kill("h1")
    fleet.run(2_500)
    assert fleet.coordinator()
    return fleet.coordinator()


def end_outage(fleet, missing):
    """End an outage just before entries come back, but for that of one worker."""
    fleet.registry.cut_off.add(missing)
    due_ms = fleet.registry.next_due_ms()
    fleet.run(due_ms - fleet.now_ms - 5)
    fleet.store.set_outages(fleet.now_ms, [])


def verify(fleet, duration_ms=3_000):
    """Let time pass, and check that no rule is broken then and after a recovery."""
    fleet.run(duration_ms)
    assert [(v.rule, v.detail) for v in fleet.violations()] == []
    fleet.registry.cut_off.clear()
    fleet.recover_and_verify()


# Guards against a second start by a host that started while entries had lapsed.
@every_seed
@pytest.mark.parametrize("kind", ["reset", "silent"])
def test_holder_started_while_entries_had_lapsed(seed, kind):
    fleet = make_fleet(seed, hosts=4)
    lose_first_host(fleet)
    fleet.store.set_outages(fleet.now_ms, [Outage(kind)])
    fleet.run(LAPSE_MS)
    fleet.start("h1")
    fleet.run(500 + 100 * seed)
    start_on(fleet, "w0", "h4", 4_000)
    end_outage(fleet, missing="w0")
    run_until(fleet, lambda: listed_by(fleet, "h1") == {"w1", "w2", "w3"}, RETURN_MS)
    take_over_by(fleet, "h1")
    verify(fleet)


def fleet_with_unread_entry(seed):
    """Return a fleet in which h1 has started work on a target that h2 hasn't read.

    The target w9 joins just after h2 has read the list.
    """
    fleet = make_fleet(seed, hosts=3)
    assert fleet.coordinator() == "h1"
    fleet.run(100 * seed)
    fleet.join("marker", "other")
    run_until(fleet, lambda: "marker" in listed_by(fleet, "h2"))
    fleet.join("w9")
    run_until(fleet, lambda: "w9" in listed_by(fleet, "h1"))
    start_on(fleet, "w9", "h3", 4_000)
    assert "w9" not in listed_by(fleet, "h2")
    return fleet


# Guards against a second start by a successor whose list is older than that of the
# coordinator that drains.
@every_seed
def test_entry_is_unread_by_the_successor_of_a_draining_host(seed):
    fleet = fleet_with_unread_entry(seed)
    take_over_by(fleet, "h2")
    verify(fleet)


# Guards against a second start by a successor whose list is older than that of the
# coordinator that was killed.
@every_seed
@pytest.mark.parametrize("resets", [True, False])
def test_entry_is_unread_by_the_successor_of_a_killed_host(seed, resets):
    fleet = fleet_with_unread_entry(seed)
    fleet.kill("h1", resets)
    verify(fleet)


# Guards against a second start by a successor whose list is older than that of the
# coordinator that was frozen.
@every_seed
@pytest.mark.parametrize("frozen_ms", [500, 900, 2_000])
def test_entry_is_unread_by_the_successor_of_a_frozen_host(seed, frozen_ms):
    fleet = fleet_with_unread_entry(seed)
    fleet.freeze("h1")
    fleet.run(frozen_ms)
    fleet.thaw("h1")
    verify(fleet)


# Guards against a second start by a successor whose list is older than that of the
# coordinator that lost its peers.
@every_seed
@pytest.mark.parametrize("lost", [("h2", "h3"), ("h2", "h3", "store")])
def test_entry_is_unread_by_the_successor_of_a_partitioned_host(seed, lost):
    fleet = fleet_with_unread_entry(seed)
    fleet.cut("h1", lost)
    verify(fleet)


# Guards against a second start by a host that started after the entry of one target,
# which is cut off from the store only, had lapsed.
@every_seed
def test_holder_started_after_one_entry_had_lapsed(seed):
    fleet = make_fleet(seed, hosts=4)
    lose_first_host(fleet)
    start_on(fleet, "w0", "h4", 14_000)
    fleet.registry.cut_off.add("w0")
    run_until(fleet, lambda: "w0" not in listed_by(fleet, fleet.coordinator()))
    fleet.start("h1")
    run_until(fleet, lambda: listed_by(fleet, "h1") == {"w1", "w2", "w3"})
    run_until_it_follows(fleet, "h1")
    take_over_by(fleet, "h1")
    verify(fleet)


# Guards against a second start of a job that the deputy of a data centre started on a
# target that the holder has never listed.
@every_seed
def test_deputy_used_a_target_that_the_holder_never_listed(seed):
    fleet = make_fleet(seed, hosts=6, zones=ZONES)
    holder = lose_first_host(fleet)
    assert fleet.zone_of(holder) == "x"
    fleet.cut_zone("y")
    run_until(fleet, lambda: listed_by(fleet, holder) == {"w0", "w1"})
    fleet.start("h1")
    run_until(fleet, lambda: listed_by(fleet, "h1") == {"w0", "w1"})
    run_until_it_follows(fleet, "h1")
    fleet.edges[holder].host.drain()
    run_until(fleet, lambda: fleet.edges["h1"].host.coordinator is not None)
    fleet.run(500)
    start_on(fleet, "w2", "h5", 4_000)
    fleet.mend()
    fleet.registry.cut_off.update(("w2", "w3"))
    verify(fleet, RETURN_MS)


# Guards against a second start of a job that the general deputy started on a target
# that the next holder has never listed.
@every_seed
def test_general_deputy_used_a_target_that_the_holder_never_listed(seed):
    fleet = make_fleet(seed, hosts=6)
    first = lose_first_host(fleet)
    fleet.store.set_outages(fleet.now_ms, [Outage("reset")])
    fleet.run(LAPSE_MS)
    fleet.kill(first)
    fleet.run(1_500)
    deputy = fleet.coordinator()
    assert fleet.edges[deputy].host.build_heartbeat().is_general
    fleet.start("h1")
    fleet.run(500 + 100 * seed)
    start_on(fleet, "w0", "h5", 4_000)
    end_outage(fleet, missing="w0")
    run_until(fleet, lambda: fleet.coordinator() == "h1")
    verify(fleet, RETURN_MS)


# Guards against a second start before the lease of a target with a slow clock has
# expired, after readings of its clock have fallen behind.
@every_seed
@pytest.mark.parametrize("idle_ms", [1_000, 6_000])
def test_target_with_a_slow_clock_is_cut_off(seed, idle_ms):
    fleet = make_fleet(seed, hosts=3)
    fleet.run(idle_ms)
    start_on(fleet, "w1", "h3", 4_000)
    fleet.cut(fleet.coordinator(), ["w1"])
    verify(fleet)


# Guards against a new coordinator that goes on reading the list as rarely as before.
@every_seed
def test_new_coordinator_reads_the_list_at_once_and_often(seed):
    fleet = make_fleet(seed, hosts=3)
    fleet.run(100 * seed)
    fleet.join("marker", "other")
    run_until(fleet, lambda: "marker" in listed_by(fleet, "h2"))
    fleet.join("w9")
    take_over_by(fleet, "h2")
    fleet.run(50)
    assert "w9" in listed_by(fleet, "h2")
    fleet.run(1_500)
    fleet.join("w10")
    fleet.run(500)
    assert "w10" in listed_by(fleet, "h2")
