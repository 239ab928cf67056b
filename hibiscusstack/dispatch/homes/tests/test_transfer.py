"""Idle homes take over what waits at busy ones."""

from hibiscusstack.dispatch.answers import Outcome
from hibiscusstack.dispatch.homes.transfer import REQUEST_INTERVAL_MS, WorkTransfer
from hibiscusstack.dispatch.loads import HomeLoad
from hibiscusstack.dispatch.messages import HostName, RequestWork
from hibiscusstack.dispatch.tests.fleets import Fleet, make_job

IDLE = HostName("dc1", "idle", 1)
BUSY = HostName("dc1", "busy", 1)
FAR = HostName("dc2", "far", 1)
FREE = HomeLoad(8, 0, 1, slots=8)
FULL = HomeLoad(0, 4_000, 1, slots=8)


def test_idle_home_asks_the_busiest_of_its_data_centre():
    transfer = WorkTransfer(IDLE)
    loads = {IDLE: FREE, BUSY: FULL, FAR: HomeLoad(0, 90_000, 1, slots=8)}
    (effect,) = transfer.tick(loads, now_ms=0)
    assert effect.to == BUSY
    assert effect.message == RequestWork(8)
    assert transfer.tick(loads, REQUEST_INTERVAL_MS - 1) == []
    assert transfer.tick(loads, REQUEST_INTERVAL_MS)


def test_nobody_asks_while_work_waits_at_home_or_nothing_waits_elsewhere():
    assert WorkTransfer(IDLE).tick({IDLE: FULL, BUSY: FULL}, 0) == []
    assert WorkTransfer(IDLE).tick({IDLE: FREE, BUSY: FREE}, 0) == []


def heartbeats(fleet):
    for name in fleet.names:
        heartbeat = fleet.engines[name].heartbeat()
        for host, other in enumerate(fleet.names):
            if other != name:
                fleet.call(host, "receive", name, heartbeat)


def test_work_that_waits_at_one_home_moves_to_the_other():
    fleet = Fleet(hosts=2, targets=8, slots=2)
    request = fleet.submit(0, make_job(fleet.mint(0), *[200] * 64))
    for _ in range(22):
        fleet.run(50)
        heartbeats(fleet)
    assert fleet.answers[request].outcome is Outcome.SUCCEEDED
    assert fleet.total_starts() == 64
    both = dict.fromkeys(fleet.names, 0)
    for name, engine in fleet.engines.items():
        for view in engine.view_targets():
            if view.home == name:
                both[name] += sum(fleet.targets[view.target.name].starts.values())
    assert min(both.values()) >= 24
