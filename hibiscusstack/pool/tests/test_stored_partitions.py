"""Stored jobs while a data centre is cut off from the others and from the log."""

from functools import partial

import pytest

from hibiscusstack.pool.tests.fleet import Fleet
from hibiscusstack_standins.estate.jobs import Step
from hibiscusstack_standins.estate.store_service import Outage
from hibiscusstack_standins.lab.site import PLATFORM

ZONES = {
    "x": ("h1", "h4", "w0", "w3"),
    "y": ("h2", "h5", "w1", "w4"),
    "z": ("h3", "h6", "w2", "w5"),
}
CUT_MS = 5_500
RESTART_MS = 500
TASK_CPU_MILLI = 250


def submit_stored_jobs(fleet, duration_ms, pause_ms=250):
    """Submit stored jobs of four tasks each while time passes."""
    for _ in range(0, duration_ms, pause_ms):
        work_ms = fleet.random.randint(600, 2_400)
        fleet.submit(Step(4, work_ms, cpu=TASK_CPU_MILLI), is_stored=True)
        fleet.run(pause_ms)


# Guards against a coordinator that is cut off and takes the leases of targets that it
# can't reach for expired, though its successor has renewed them: it started stored
# tasks again that went on or were done elsewhere.
@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("resets", [True, False])
def test_coordinator_that_is_cut_off_repeats_no_stored_task(seed, resets):
    fleet = Fleet(seed, hosts=6, workers=6, zones=ZONES)
    submit_stored_jobs(fleet, 3_000)
    fleet.cut_zone(fleet.zone_of(fleet.coordinator()), resets)
    submit_stored_jobs(fleet, CUT_MS)
    fleet.mend()
    fleet.recover_and_verify(30_000)


# Guards against a proof that there is no successor which costs time in each recovery,
# or which can't be had while the log is away.
@pytest.mark.parametrize(("is_log_away", "delay_ms"), [(False, 2_000), (True, 2_500)])
def test_tasks_of_a_lost_target_start_again_soon_without_a_successor(
    is_log_away, delay_ms
):
    fleet = Fleet(hosts=3, workers=4)
    fleet.submit(Step(4, 3_000, cpu=TASK_CPU_MILLI * 4), is_stored=True)
    fleet.run(500)
    if is_log_away:
        fleet.store.set_outages(fleet.now_ms, [Outage("silent")])
    name = next(name for name in fleet.workers if fleet.starts_on(name))
    started = fleet.starts()
    fleet.network.kill(name, resets=False)
    fleet.run(delay_ms)
    assert fleet.starts() > started
    fleet.store.set_outages(fleet.now_ms, [])
    fleet.recover_and_verify()


# Guards against a deputy that has just started, has not heard that there are stored
# jobs, and acknowledges ends of their runs that nobody has recorded.
@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("early_ms", [0, 50])
def test_a_deputy_that_has_just_started_acknowledges_no_stored_end(seed, early_ms):
    zones = {"x": ("h1", "w0", "w3"), "y": ("h2", "w1", "w4"), "z": ("h3", "w2", "w5")}
    fleet = Fleet(seed, hosts=3, workers=6, zones=zones)
    coordinator = fleet.coordinator()
    first, other = sorted(set(fleet.host_names) - {coordinator})
    for _ in range(30):
        work_ms = fleet.random.randint(150, 450)
        fleet.submit(Step(12, work_ms, cpu=TASK_CPU_MILLI), host=other, is_stored=True)
    fleet.run(1_000)
    fleet.kill(first)
    fleet.run(RESTART_MS - early_ms)
    for name in (coordinator, other):
        fleet.kill(name)
    fleet.run(early_ms)
    fleet.start(first)
    fleet.run(RESTART_MS - early_ms)
    fleet.recover_and_verify(60_000)


# Guards against moments that single faults don't show: cuts and restarts that overlap.
@pytest.mark.parametrize("seed", range(8))
def test_cuts_and_restarts_in_series_repeat_no_stored_task(seed):
    fleet = Fleet(seed, hosts=6, workers=6, zones=ZONES)
    for _ in range(6):
        submit_stored_jobs(fleet, fleet.random.choice((250, 750, 1_500)))
        if fleet.random.random() < 1 / 2:
            cut_a_zone(fleet)
        else:
            restart_in_series(fleet)
    fleet.run(CUT_MS)
    fleet.recover_and_verify(30_000)


def cut_a_zone(fleet):
    """Cut a zone off, most often that of the coordinator, until a later time."""
    zone = fleet.random.choice(sorted(ZONES))
    coordinator = fleet.coordinator()
    if coordinator and fleet.random.random() < 2 / 3:
        zone = fleet.zone_of(coordinator)
    fleet.cut_zone(zone, resets=fleet.random.random() < 2 / 3)
    fleet.network.after(PLATFORM, fleet.random.choice((700, 2_500, CUT_MS)), fleet.mend)


def restart_in_series(fleet):
    """Kill some hosts one after the other; each starts again after a while."""
    names = fleet.random.sample(sorted(fleet.edges), fleet.random.randint(0, 3))
    pause_ms = fleet.random.choice((0, 50, 400))
    for place, name in enumerate(names):
        begin_ms = 1 + place * pause_ms
        fleet.network.after(PLATFORM, begin_ms, partial(fleet.kill, name))
        restart = partial(fleet.start, name)
        fleet.network.after(PLATFORM, begin_ms + RESTART_MS, restart)
    fleet.run(len(names) * pause_ms + RESTART_MS + 1)
