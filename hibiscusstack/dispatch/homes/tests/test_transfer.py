"""Tests of the transfer of queued work from busy homes to idle ones."""

from hibiscusstack.dispatch.answers import Outcome
from hibiscusstack.dispatch.homes.transfer import REQUEST_INTERVAL_MS, WorkTransfer
from hibiscusstack.dispatch.loads import HomeLoad
from hibiscusstack.dispatch.messages import HostName, RequestWork
from hibiscusstack.dispatch.tests.fleets import Fleet, make_job

IDLE = HostName("dc1", "idle", 1)
BUSY = HostName("dc1", "busy", 1)
REMOTE = HostName("dc2", "far", 1)
IDLE_LOAD = HomeLoad(8, 0, 1, slots=8)
BUSY_LOAD = HomeLoad(0, 4_000, 1, slots=8)


def test_idle_home_requests_work_from_the_busiest_of_its_data_centre():
    transfer = WorkTransfer(IDLE)
    loads = {IDLE: IDLE_LOAD, BUSY: BUSY_LOAD, REMOTE: HomeLoad(0, 90_000, 1, slots=8)}
    (effect,) = transfer.tick(loads, now_ms=0)
    assert effect.to == BUSY
    assert effect.message == RequestWork(8)
    assert transfer.tick(loads, REQUEST_INTERVAL_MS - 1) == []
    assert transfer.tick(loads, REQUEST_INTERVAL_MS)


def test_no_request_when_own_queue_is_not_empty_or_other_queues_are_empty():
    assert WorkTransfer(IDLE).tick({IDLE: BUSY_LOAD, BUSY: BUSY_LOAD}, 0) == []
    assert WorkTransfer(IDLE).tick({IDLE: IDLE_LOAD, BUSY: IDLE_LOAD}, 0) == []


def exchange_heartbeats(fleet):
    for name in fleet.names:
        heartbeat = fleet.engines[name].heartbeat()
        for host, other in enumerate(fleet.names):
            if other != name:
                fleet.call(host, "receive", name, heartbeat)


def test_queued_work_moves_to_the_idle_home():
    fleet = Fleet(hosts=2, targets=8, slots=2)
    request = fleet.submit(0, make_job(fleet.mint(0), *[200] * 64))
    for _ in range(22):
        fleet.run(50)
        exchange_heartbeats(fleet)
    assert fleet.answers[request].outcome is Outcome.SUCCEEDED
    assert fleet.total_starts() == 64
    starts_by_home = dict.fromkeys(fleet.names, 0)
    for name, engine in fleet.engines.items():
        for view in engine.view_targets():
            if view.home == name:
                starts_by_home[name] += sum(
                    fleet.targets[view.target.name].starts.values()
                )
    assert min(starts_by_home.values()) >= 24
