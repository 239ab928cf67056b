"""Tests of the workers' entries in the store."""

import json
from base64 import b64decode

from hibiscusstack_standins.estate.log_store import LogStore
from hibiscusstack_standins.estate.messages import Request
from hibiscusstack_standins.estate.network import Network
from hibiscusstack_standins.estate.registry import SERVERS_TOPIC, Registry
from hibiscusstack_standins.estate.store_service import Outage, StoreService
from hibiscusstack_standins.estate.worker import Worker, WorkerPlan


class Site:
    """A store, a registry and workers in a network."""

    def __init__(self, workers=1, **options):
        self.network = Network()
        self.store = StoreService(LogStore())
        self.registry = Registry(self.store, **options)
        self.workers = [Worker(WorkerPlan(f"w{n}")) for n in range(workers)]
        for worker in self.workers:
            self.network.add(worker.plan.id, worker)
        self.network.add("store", self.store)
        self.network.add("registry", self.registry)
        self.registry.add(0, *self.workers)

    def servers(self):
        """Return what a reader of the newest records finds."""
        query = {"topic": SERVERS_TOPIC, "part": 0}
        request = Request("/log-newest", query=query, caller="operator")
        items = self.store.store.handle(self.network.now_ms, request).body["items"]
        return {i["key"]: json.loads(b64decode(i["value"])) for i in items}

    def record_count(self):
        """Return how many records were written."""
        query = {"topic": SERVERS_TOPIC, "part": 0}
        request = Request("/log-newest", query=query, caller="operator")
        return self.store.store.handle(self.network.now_ms, request).body["end"]


def test_workers_register_and_write_only_changes():
    site = Site(workers=2)
    site.network.run(10_000)
    assert set(site.servers()) == {"w0", "w1"}
    assert site.record_count() == 2
    entry = site.servers()["w0"]
    assert (entry["state"], entry["seq"], entry["born"]) == ("ready", 1, 0)


def test_a_silent_worker_s_entry_goes_after_three_intervals():
    site = Site()
    site.network.run(1_600)
    site.network.kill("w0")
    site.network.run(4_000 - 1_600)
    assert set(site.servers()) == {"w0"}
    site.network.run(2_000)
    assert site.servers() == {}


def test_a_new_life_is_a_new_entry():
    site = Site()
    site.network.run(100)
    site.workers[0].restart(100)
    site.network.run(2_000)
    entry = site.servers()["w0"]
    assert (entry["born"], entry["seq"]) == (100, 1)


def test_a_draining_worker_says_so_and_is_gone_when_it_has_left():
    site = Site()
    site.network.run(100)
    site.registry.drain(100, "w0", 2_000)
    site.network.run(100)
    assert site.servers()["w0"]["state"] == "draining"
    site.network.run(2_000)
    assert not site.workers[0].is_up
    site.network.run(1_500)
    assert site.servers() == {}


def test_a_drain_begins_when_the_store_accepts_the_report():
    site = Site()
    site.network.run(100)
    site.store.set_outages(100, [Outage("busy")])
    site.registry.drain(100, "w0", 2_000)
    site.network.run(3_000)
    assert site.workers[0].is_up
    site.store.set_outages(3_100, [])
    site.network.run(1_600)
    assert site.servers()["w0"]["state"] == "draining"


def test_entries_that_expired_in_an_outage_are_back_soon_after():
    site = Site(expires_in_outage=True)
    site.network.run(100)
    site.store.set_outages(100, [Outage("busy")])
    site.network.run(6_000)
    assert site.registry.entries() == {}
    site.store.set_outages(6_100, [])
    site.network.run(2_000)
    assert set(site.servers()) == {"w0"}


def test_a_worker_that_is_cut_off_from_the_store_loses_its_entry():
    site = Site()
    site.network.run(100)
    site.registry.cut_off.add("w0")
    site.network.run(6_000)
    assert site.servers() == {}
    assert site.workers[0].is_up
    site.registry.cut_off.clear()
    site.network.run(2_000)
    assert set(site.servers()) == {"w0"}
