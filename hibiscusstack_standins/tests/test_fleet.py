"""Tests of the control of a fleet of stand-in targets, in memory."""

import json

from treq.testing import StubTreq
from twisted.internet.testing import MemoryReactorClock

from hibiscusstack_standins.fleet import FleetPlan, TargetFleet

BASE = "http://10.0.0.9:80"


def fleet_of(count: int) -> tuple[TargetFleet, StubTreq]:
    """Return a fleet and a client of its control interface."""
    fleet = TargetFleet(MemoryReactorClock(), FleetPlan(count, rack_size=2))
    return fleet, StubTreq(fleet.control().resource())


def body_of(treq: StubTreq, answered) -> dict:
    """Return the JSON body of an answer."""
    bodies = []
    answered.addCallback(treq.json_content).addCallback(bodies.append)
    treq.flush()
    return bodies[0]


def test_targets_are_listed_with_their_racks():
    fleet, treq = fleet_of(3)
    hosts = body_of(treq, treq.get(f"{BASE}/control/hosts"))["hosts"]
    assert [host["name"] for host in hosts] == ["t1", "t2", "t3"]
    assert [host["rack"] for host in hosts] == ["dc1-rack1", "dc1-rack1", "dc1-rack2"]
    assert hosts == fleet.host_entries()


def test_faults_go_to_the_named_targets_only():
    fleet, treq = fleet_of(2)
    faults = {"targets": ["t2"], "leaving": True}
    body_of(treq, treq.post(f"{BASE}/control/faults", json=faults))
    states = [entry["state"] for entry in fleet.host_entries()]
    assert states == ["live", "leaving"]


def test_bad_faults_change_nothing():
    fleet, treq = fleet_of(1)
    for faults in ({"odd": 1}, {"hang": "yes"}, {"targets": ["x"]}, {"share": 2}, []):
        answered = treq.post(f"{BASE}/control/faults", json=faults)
        assert body_of(treq, answered)["type"] == "bad_request", json.dumps(faults)
    assert not fleet.targets["t1"].resource.faults.hang


def test_two_placements_of_one_task_are_a_second_start():
    fleet, treq = fleet_of(2)
    for name, task_id in (("t1", "j/0/7"), ("t2", "j/0/9"), ("t1", "j/1/7")):
        fleet.targets[name].resource.worker.starts[task_id] += 1
    record = body_of(treq, treq.get(f"{BASE}/control/starts"))
    assert (record["started"], record["started_twice"]) == (3, 1)
    assert record["counts_by_task"] == {"j/0": 2, "j/1": 1}
