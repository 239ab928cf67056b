"""A fleet of hosts with their workers, store and callers, in virtual time."""

__all__ = ["Caller", "Fleet"]

import math
from collections.abc import Collection, Iterable, Mapping
from random import Random

import attrs

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.tests.streams import HostReactor, Streams
from hibiscusstack_standins.estate.auditor import Auditor, ClientRecord, Violation
from hibiscusstack_standins.estate.events import RunStarted
from hibiscusstack_standins.estate.jobs import Catalog, Job, Step
from hibiscusstack_standins.estate.log_store import LogStore
from hibiscusstack_standins.estate.network import Network
from hibiscusstack_standins.estate.queues import publish_queue
from hibiscusstack_standins.estate.registry import Registry
from hibiscusstack_standins.estate.runs import Capacity
from hibiscusstack_standins.estate.store_service import StoreService
from hibiscusstack_standins.estate.tests.edges import Edge
from hibiscusstack_standins.estate.worker import Worker, WorkerPlan

RESEND_MS = 1_300
RETRY_MS = 1_000
POLL_MS = 1_000
CALLERS = "callers"
GUARD_CPU = 2_000
# Longer than the latest order takes that a worker carries out late.
AFTERMATH_MS = 7_000
FINAL = (200, 400, 404)


@attrs.define(eq=False)
class Caller:
    """One caller with one job, which it sends until it is answered.

    One in a ``zone`` reaches only the hosts there.
    """

    job: Job
    zone: str = ""
    sent_ms: int = 0
    host: str = ""
    attempt: int = 0
    statuses: list[int | None] = attrs.field(factory=list)
    completed_ms: float = math.inf
    cancelled_ms: float = math.inf
    request: object = None

    @property
    def is_over(self) -> bool:
        """Tell whether the caller wants nothing any more."""
        status = self.statuses[-1] if self.statuses else None
        return status in FINAL or not math.isinf(self.cancelled_ms)

    def record(self) -> ClientRecord:
        """Return what the auditor needs to know."""
        return ClientRecord(tuple(self.statuses), self.cancelled_ms, self.completed_ms)


class Fleet:
    """Hosts, workers, a store and callers; one seed gives one run.

    ``hosts`` are parties ``h1`` and so on; those that are killed have no edge.
    ``zones`` says which hosts and workers are where; all others are in zone ``z``.
    """

    def __init__(
        self,
        seed: int = 0,
        *,
        hosts: int = 3,
        workers: int = 4,
        zones: Mapping[str, Collection[str]] | None = None,
        **terms,
    ) -> None:
        self.zones = zones or {}
        self.network = Network(seed, delay_ms=(1, 3))
        self.random = Random(seed)
        self.catalog = Catalog()
        self.streams = Streams(self.network)
        self.store = StoreService(LogStore(), seed)
        self.registry = Registry(self.store)
        self.network.add("store", self.store)
        self.network.add("registry", self.registry)
        self.workers = {f"w{n}": self._worker(f"w{n}", seed) for n in range(workers)}
        self.registry.add(375 * (seed % 4), *self.workers.values())
        self.host_names = [f"h{number}" for number in range(1, hosts + 1)]
        self.edges: dict[str, Edge] = {}
        self.frozen: set[str] = set()
        self.rotation: list[str] = []
        self.callers: list[Caller] = []
        self.wait_ms = 4_000
        terms = {"max_attempts": 3, "target_latency_ms": 8_000} | terms
        publish_queue(self.store.store, 0, **terms)
        for name in self.host_names:
            self.start(name)
        self._poll()
        self.network.run(2_500)

    def _worker(self, name: str, seed: int) -> Worker:
        plan = WorkerPlan(
            name,
            address=f"{name}:1",
            zone=self.zone_of(name),
            capacity=Capacity(GUARD_CPU, 32_768),
            is_guarded=False,
            clock_rate=0.98 if name == "w1" else 1.0,
        )
        worker = Worker(plan, self.catalog, seed=seed)
        self.network.add(name, worker)
        return worker

    def zone_of(self, name: str) -> str:
        """Return the zone of a host or a worker."""
        found = (zone for zone, members in self.zones.items() if name in members)
        return next(found, "z")

    def members(self, zone: str) -> tuple[list[str], list[str]]:
        """Return the hosts and the workers of a zone."""
        hosts = [name for name in self.host_names if self.zone_of(name) == zone]
        return hosts, [name for name in self.workers if self.zone_of(name) == zone]

    def start(self, name: str) -> None:
        """Start a host, or start it again."""
        reactor = HostReactor(self.streams, name)
        own = HostName(self.zone_of(name), name, self.network.now_ms)
        port = int(name[1:])
        self.edges[name] = Edge(
            self.network, name, reactor=reactor, clock=reactor, name=own, port=port
        )

    def kill(self, name: str, resets: bool = True) -> None:
        """End a host; without ``resets`` nobody is told."""
        self.edges.pop(name, None)
        self.frozen.discard(name)
        self.streams.drop(name, resets)
        self.network.kill(name, resets)
        self.network.revive(name)
        for caller in self.callers:
            if caller.host == name and not caller.is_over:
                self._after(1, caller, self._broken)

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

    def cut_zone(self, zone: str) -> None:
        """Cut a zone off from the store and from all other zones."""
        hosts, workers = self.members(zone)
        elsewhere = [name for name in self.host_names if name not in hosts]
        far_workers = [name for name in self.workers if name not in workers]
        for host in hosts:
            self.cut(host, ["store", *elsewhere, *far_workers])
        for host in elsewhere:
            self.cut(host, workers)
        self.registry.cut_off.update(workers)

    def mend(self) -> None:
        """End all cuts."""
        self.registry.cut_off.clear()
        for pair in self.streams.cuts:
            self.network.mend(*pair)
        self.streams.mend()

    @property
    def now_ms(self) -> int:
        """Return the time of the fleet."""
        return self.network.now_ms

    def coordinator(self) -> str:
        """Return the host with the newest term that coordinates."""
        terms = {
            edge.host.coordinator.token: name
            for name, edge in self.edges.items()
            if edge.host.coordinator is not None
        }
        return terms[max(terms)]

    def others(self, name: str) -> list[str]:
        """Return all hosts but one."""
        return [other for other in self.host_names if other != name]

    def submit(self, *steps: Step, host: str = "", zone: str = "") -> Caller:
        """Let a caller send a job in, at any host unless one is named."""
        number = len(self.callers)
        job = Job(f"{number:016x}", spec=f"job {number}", steps=steps, best_effort=True)
        self.catalog.add(job)
        caller = Caller(job, zone, self.now_ms)
        self.callers.append(caller)
        self._send(caller, host)
        return caller

    def submit_some(self, count: int, zone: str = "", **step) -> list[Caller]:
        """Let callers send jobs of a few tasks in two steps."""
        defaults = {"count": 2, "work_ms": 300, "cpu": 500, "mem_mb": 64} | step
        first = Step(**defaults)
        second = attrs.evolve(first, count=1, after=(0,))
        return [self.submit(first, second, zone=zone) for _ in range(count)]

    def cancel(self, caller: Caller) -> None:
        """Let a caller go for good."""
        caller.cancelled_ms = self.network.now_ms
        self._leave(caller)

    def run(self, duration_ms: int) -> None:
        """Let time pass."""
        self.network.run(duration_ms)

    def violations(self) -> list[Violation]:
        """Return what broke the rules so far."""
        events = [event for worker in self.workers.values() for event in worker.events]
        records = {caller.job.id: caller.record() for caller in self.callers}
        return Auditor(self.catalog, records).audit(events, self.network.now_ms)

    def settle(self, duration_ms: int = 20_000) -> None:
        """End all faults, and check that all jobs end and no rule was broken.

        Time passes until nothing that is late can arrive any more.
        """
        self.mend()
        for name in list(self.frozen):
            self.thaw(name)
        for name in self.host_names:
            if name not in self.edges:
                self.start(name)
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms and not all(c.is_over for c in self.callers):
            self.run(100)
        self.run(min(AFTERMATH_MS, max(0, end_ms - self.now_ms)))
        assert self.violations() == []
        assert [caller for caller in self.callers if not caller.is_over] == []

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
        self.network.after(CALLERS, POLL_MS, self._poll)

    def _send(self, caller: Caller, host: str = "") -> None:
        if caller.is_over:
            return
        caller.attempt += 1
        in_reach = self.members(caller.zone)[0] if caller.zone else self.host_names
        choices = [n for n in self.rotation if n in in_reach and n != caller.host]
        caller.host = host or self.random.choice(choices or in_reach)
        if caller.host not in self.edges:
            self._after(1, caller, self._broken)
            return
        edge, attempt = self.edges[caller.host], caller.attempt

        def answered(status: int) -> None:
            self.network.after(
                CALLERS, 1, lambda: self._answered(caller, attempt, status)
            )

        def arrive() -> None:
            if caller.attempt == attempt:
                caller.request = edge.post(caller.job, answered)

        self.network.after(caller.host, 1, arrive)
        self._after(self.wait_ms, caller, self._broken)

    def _after(self, delay_ms: int, caller: Caller, action) -> None:
        attempt = caller.attempt

        def act() -> None:
            if caller.attempt == attempt and not caller.is_over:
                action(caller)

        self.network.after(CALLERS, delay_ms, act)

    def _answered(self, caller: Caller, attempt: int, status: int) -> None:
        if caller.attempt != attempt or caller.is_over:
            return
        caller.statuses.append(status)
        caller.request = None
        if status == 200:
            caller.completed_ms = self.network.now_ms
        elif status not in FINAL:
            caller.attempt += 1
            self._after(RETRY_MS if status == 503 else RESEND_MS, caller, self._send)

    def _broken(self, caller: Caller) -> None:
        """Give an attempt up that got no answer, and send again."""
        caller.statuses.append(None)
        self._leave(caller)
        caller.attempt += 1
        self._after(RESEND_MS, caller, self._send)

    def _leave(self, caller: Caller) -> None:
        request, caller.request = caller.request, None
        if request is not None and request.on_gone and caller.host in self.edges:
            self.network.after(caller.host, 1, request.on_gone)
