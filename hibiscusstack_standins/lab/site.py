"""Hosts with their workers, store and registry, in virtual time."""

__all__ = ["Site", "SitePlan"]

from collections.abc import Iterable, Mapping, Sequence
from random import Random
from typing import Any

import attrs

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack_standins.estate.auditor import Auditor, ClientRecord, Violation
from hibiscusstack_standins.estate.edges import Edge
from hibiscusstack_standins.estate.events import Event, RunStarted
from hibiscusstack_standins.estate.jobs import Catalog, TaskName
from hibiscusstack_standins.estate.log_store import LogStore
from hibiscusstack_standins.estate.network import Network
from hibiscusstack_standins.estate.queues import DEFAULT_SERVICE, publish_queues
from hibiscusstack_standins.estate.registry import Registry
from hibiscusstack_standins.estate.store_service import StoreService
from hibiscusstack_standins.estate.worker import Worker, WorkerPlan
from hibiscusstack_standins.lab.streams import HostReactor, Streams

POLL_MS = 1_000
START_MS = 2_500
PLATFORM = "platform"


@attrs.frozen
class SitePlan:
    """What a site is made of.

    ``hosts`` gives the zone of each host; each is a party of the network. ``routes``
    are the queues by name, with their terms in the words of the platform.
    ``host_terms`` are further arguments of each ``Edge``, and ``cpu_milli`` is the
    processor of the hosts that tell their size. With ``expires_in_outage`` the entries
    of workers lapse also while the store is down.
    """

    hosts: Mapping[str, str]
    workers: Sequence[WorkerPlan]
    routes: Mapping[str, Mapping[str, Any]]
    delay_ms: tuple[int, int] = (1, 3)
    host_terms: Mapping[str, Any] = attrs.field(factory=dict)
    cpu_milli: Mapping[str, int] = attrs.field(factory=dict)
    expires_in_outage: bool = False


class Site:
    """A whole site; one seed gives one run.

    Hosts that are killed have no edge. ``rotation`` names the hosts that were ready
    when the balancer asked last.
    """

    def __init__(self, seed: int, plan: SitePlan) -> None:
        self.plan = plan
        self.seed = seed
        self.network = Network(seed, delay_ms=plan.delay_ms)
        self.random = Random(seed)
        self.catalog = Catalog()
        self.streams = Streams(self.network)
        self.store = StoreService(LogStore(), seed)
        self.registry = Registry(self.store, expires_in_outage=plan.expires_in_outage)
        self.network.add("store", self.store)
        self.network.add("registry", self.registry)
        self.workers: dict[str, Worker] = {}
        for worker in plan.workers:
            self.workers[worker.id] = Worker(worker, self.catalog, seed=seed)
            self.network.add(worker.id, self.workers[worker.id])
        self.registry.add(375 * (seed % 4), *self.workers.values())
        self.host_names = list(plan.hosts)
        self.edges: dict[str, Edge] = {}
        self.frozen: set[str] = set()
        self.rotation: list[str] = []
        publish_queues(self.store.store, 0, plan.routes)
        for name in self.host_names:
            self.start(name)
        self._poll()

    @property
    def now_ms(self) -> int:
        """Return the time of the site."""
        return self.network.now_ms

    def run(self, duration_ms: int) -> None:
        """Let time pass."""
        self.network.run(duration_ms)

    def add_worker(self, plan: WorkerPlan) -> None:
        """Let one more worker start and report."""
        worker = Worker(plan, self.catalog, born_ms=self.now_ms, seed=self.seed)
        self.workers[plan.id] = worker
        self.network.add(plan.id, worker)
        self.registry.add(self.now_ms, worker)

    def zone_of(self, name: str) -> str:
        """Return the zone of a host or a worker."""
        if name in self.workers:
            return self.workers[name].plan.zone
        return self.plan.hosts[name]

    def members(self, zone: str) -> tuple[list[str], list[str]]:
        """Return the hosts and the workers of a zone."""
        hosts = [name for name in self.host_names if self.zone_of(name) == zone]
        return hosts, [name for name in self.workers if self.zone_of(name) == zone]

    def others(self, name: str) -> list[str]:
        """Return all hosts but one."""
        return [other for other in self.host_names if other != name]

    def start(self, name: str) -> None:
        """Start a host, or start it again."""
        reactor = HostReactor(self.streams, name)
        own = HostName(self.zone_of(name), name, self.network.now_ms)
        terms = dict(self.plan.host_terms)
        if name in self.plan.cpu_milli:
            size = {"cpu_milli": self.plan.cpu_milli[name]}
            terms["peers"] = {**terms.get("peers", {}), **size}
        self.edges[name] = Edge(
            self.network,
            name,
            reactor=reactor,
            clock=reactor,
            name=own,
            port=1 + self.host_names.index(name),
            **terms,
        )

    def kill(self, name: str, resets: bool = True) -> None:
        """End a host; without ``resets`` nobody is told."""
        self.edges.pop(name, None)
        self.frozen.discard(name)
        self.streams.drop(name, resets)
        self.network.kill(name, resets)
        self.network.revive(name)

    def freeze(self, name: str) -> None:
        """Stop the process of a host."""
        self.frozen.add(name)
        self.network.freeze(name)

    def thaw(self, name: str) -> None:
        """Let the process of a host go on."""
        self.frozen.discard(name)
        self.network.thaw(name)

    def cut(self, one: str, others: Iterable[str]) -> None:
        """Cut links of a host, to workers, the store or its peers."""
        for other in others:
            self.network.cut(one, other)
            self.streams.cuts.add(frozenset((one, other)))

    def cut_zone(self, zone: str, resets: bool = False) -> None:
        """Cut a zone off from the store and from all other zones.

        With ``resets`` hosts notice at once that their streams to peers are broken.
        """
        hosts, workers = self.members(zone)
        elsewhere = [name for name in self.host_names if name not in hosts]
        far_workers = [name for name in self.workers if name not in workers]
        for host in hosts:
            self.cut(host, ["store", *elsewhere, *far_workers])
        for host in elsewhere:
            self.cut(host, workers)
        if resets:
            self.streams.reset(self.streams.cuts)
        self.registry.cut_off.update(workers)

    def mend(self) -> None:
        """End all cuts."""
        self.registry.cut_off.clear()
        for pair in sorted(map(sorted, self.streams.cuts)):
            self.network.mend(*pair)
        self.streams.mend()

    def mend_pairs(self, pairs: Iterable[frozenset[str]]) -> None:
        """End the cuts between some pairs of hosts, workers and the store."""
        for pair in sorted(map(sorted, pairs)):
            self.network.mend(*pair)
        self.streams.mend_pairs(pairs)

    def coordinator(self) -> str:
        """Return the host with the newest term that coordinates, or nothing."""
        terms = {
            edge.host.coordinator.token: name
            for name, edge in self.edges.items()
            if edge.host.coordinator is not None
        }
        return terms[max(terms)] if terms else ""

    def events(self) -> list[Event]:
        """Return what all workers saw so far."""
        return [event for worker in self.workers.values() for event in worker.events]

    def audit(self, records: Mapping[str, ClientRecord]) -> list[Violation]:
        """Return what broke the rules so far; ``records`` are those of all jobs."""
        services = {
            name: (terms.get("service", DEFAULT_SERVICE),)
            for name, terms in self.plan.routes.items()
        }
        auditor = Auditor(self.catalog, records, services)
        return auditor.audit(self.events(), self.now_ms)

    def cpu_of(self, task: str) -> int:
        """Return the processor need of a task in thousandths of a core."""
        return self.catalog.step_of(TaskName.parse(task)).cpu

    def starts_on(self, name: str) -> list[RunStarted]:
        """Return the runs that a worker began."""
        events = self.workers[name].events
        return [event for event in events if isinstance(event, RunStarted)]

    def starts(self) -> int:
        """Return how many runs all workers began."""
        return sum(len(self.starts_on(name)) for name in self.workers)

    def _poll(self) -> None:
        """Ask each host whether it is ready, as the balancer does."""
        awake = [name for name in self.edges if name not in self.frozen]
        self.rotation = [name for name in awake if self.edges[name].is_ready()]
        self.network.after(PLATFORM, POLL_MS, self._poll)
