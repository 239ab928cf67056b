"""Hosts with stored jobs, the platform's store and its workers in virtual time."""

__all__ = ["Frontend", "Site", "StoredClient", "capacity"]

import math
from base64 import b64decode
from collections.abc import Callable
from random import Random

import attrs
from adapter.frontend import Frontend
from adapter.store import StoreLog
from adapter.workers import WorkerOrders

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.coordinator import Coordinator
from hibiscusstack.pool.election import Election
from hibiscusstack.pool.host_records import TERM_KEY, encode_term
from hibiscusstack.pool.jobs import PoolJob, Resources, Step
from hibiscusstack.pool.messages import StoredRequest, StoredState
from hibiscusstack.pool.stored.service import StoredJobService
from hibiscusstack.pool.stored.submitting import Accepted, NotAccepted
from hibiscusstack.pool.targets import ListedTarget
from hibiscusstack.pool.term_confirmation import TermConfirmation
from hibiscusstack.pool.timing import CoordinatorTiming
from hibiscusstack.pool.topic_follower import TopicFollower
from hibiscusstack_standins.estate import jobs as estate
from hibiscusstack_standins.estate.auditor import AuditBounds, Auditor, ClientRecord
from hibiscusstack_standins.estate.edges import NetworkClient
from hibiscusstack_standins.estate.log_store import LogStore, StoreLimits
from hibiscusstack_standins.estate.messages import Request
from hibiscusstack_standins.estate.network import Network
from hibiscusstack_standins.estate.records import frame_keyed
from hibiscusstack_standins.estate.runs import Capacity
from hibiscusstack_standins.estate.store_service import StoreService
from hibiscusstack_standins.estate.worker import Worker, WorkerPlan
from hibiscusstack_standins.lab.streams import HostReactor, Streams

POOL = "s"
TICK_MS = 10
LISTING_MS = 200
TERM_TOKENS = 100
DEPUTY_TOKENS = 50
STORE_MS = 700
HOSTS_WAIT_MS = 2_000
SECLUSION_MS = CoordinatorTiming().seclusion_ms
_STATUS = {Accepted: 200, NotAccepted: 503}


class SiteHost:
    """One run of a host process."""

    def __init__(self, site: "Site", name: str, incarnation: int) -> None:
        self.site = site
        self.own = HostName("z", name, incarnation)
        self.reactor = HostReactor(Streams(site.network), name)
        self.coordinator: Coordinator | None = None
        self.stored = StoredJobService(
            own=self.own,
            reactor=self.reactor,
            clock=self.reactor,
            log=StoreLog(NetworkClient(site.network, name), "store:1", STORE_MS),
            send=self._send,
            timing=site.timing,
            wall_ms=self.reactor.now_ms,
        )
        self._follower = TopicFollower(
            self.reactor,
            StoreLog(NetworkClient(site.network, name), "store:1", STORE_MS),
            "hosts",
            lambda *_: None,
            wait_ms=HOSTS_WAIT_MS,
            clock=self.reactor,
        )
        self._follower.start()
        self._election = Election(self.own, patience_ms=200)
        self._confirmation = TermConfirmation(
            StoreLog(NetworkClient(site.network, name), "store:1", STORE_MS),
            self.reactor,
            self._election,
        )
        self._tick()

    def coordinate(self, token: int) -> None:
        """Coordinate in the term with this token."""
        self.begin_term()
        self._new_coordinator(token)
        journal = self.stored.start_manager(token, self.coordinator)
        self.coordinator.journal = journal
        self.coordinator.replace_targets(self.site.listed())
        self._list_targets()

    def begin_term(self) -> None:
        """Let the log have a new term of this host."""
        record = frame_keyed(TERM_KEY, encode_term(self.own))
        store, now_ms = self.site.store.store, self.site.network.now_ms
        self._election.record_log_end(store.put(now_ms, "keyed.hibiscus", record) + 1)

    def stand_in(self, token: int, names: tuple[str, ...]) -> None:
        """Order some targets in place of the coordinator."""
        self._new_coordinator(token, is_deputy=True)
        targets = [each for each in self.site.listed() if each.name in names]
        self.coordinator.replace_targets(targets)

    def _new_coordinator(self, token: int, **terms) -> None:
        orders = WorkerOrders(
            NetworkClient(self.site.network, self.own.name),
            CoordinatorTiming(),
            lambda: self.coordinator,
        )
        self.coordinator = Coordinator(
            token=token,
            clock=self.reactor,
            orders=orders,
            send_answer=lambda *_: None,
            **terms,
        )

    def stand_down(self) -> None:
        if self.coordinator is not None:
            self.coordinator.step_down()
            self.stored.stop_manager()
            self.coordinator = None

    def _send(self, to: HostName, message) -> bool:
        return self.site.send(self.own, to, message)

    def _tick(self) -> None:
        if self.coordinator is not None:
            self._confirm_term()
            self.coordinator.tick()
        unknown_ms = self.reactor.now_ms() - self._follower.current_as_of_ms
        is_apart = self.own.name in self.site.apart
        self.stored.set_isolated(unknown_ms >= SECLUSION_MS and is_apart)
        self.stored.tick()
        self.reactor.callLater(TICK_MS / 1000, self._tick)

    def _confirm_term(self) -> None:
        if self.coordinator.needs_term_confirmation:
            self._confirmation.request()
            if self._confirmation.confirmed_ms is not None:
                self.coordinator.confirm_term(self._confirmation.confirmed_ms)

    def _list_targets(self) -> None:
        if self.coordinator is not None:
            self.coordinator.replace_targets(self.site.listed())
            self.reactor.callLater(LISTING_MS / 1000, self._list_targets)


@attrs.define(eq=False)
class StoredClient:
    """What the clients of one job saw."""

    job: estate.Job
    statuses: list[int | None] = attrs.field(factory=list)
    states: list[StoredState | None] = attrs.field(factory=list)
    cancels: list[StoredState | None] = attrs.field(factory=list)
    cancelled_ms: float = math.inf
    completed_ms: float = math.inf

    @property
    def is_accepted(self) -> bool:
        """Tell whether any attempt was answered with success."""
        return 200 in self.statuses

    def record(self) -> ClientRecord:
        """Return what the auditor needs to know."""
        return ClientRecord(tuple(self.statuses), self.cancelled_ms, self.completed_ms)


class Site:
    """Some hosts, of which one coordinates when it is told to."""

    def __init__(
        self, seed=0, *, hosts=3, workers=4, timing=None, limits=None, **plan
    ) -> None:
        self.network = Network(seed, delay_ms=(1, 3))
        self.random = Random(seed)
        self.timing = timing
        self.catalog = estate.Catalog()
        self.store = StoreService(LogStore(limits or StoreLimits(keep_s=20)), seed)
        self.network.add("store", self.store)
        self.workers: list[Worker] = []
        for number in range(workers):
            self.add_worker(f"w{number}", **plan)
        self.clients: dict[str, StoredClient] = {}
        self.hosts: dict[str, SiteHost] = {}
        self.token = 0
        self.apart: set[str] = set()
        self.is_told_of_jobs = True
        self.holder: HostName | None = None
        for number in range(hosts):
            self.start(f"h{number}")
        self.take_over("h0")

    def start(self, name: str) -> None:
        """Start the process of a host."""
        self.hosts[name] = SiteHost(self, name, self.network.now_ms)
        self.hosts[name].stored.coordinator_changed(self.holder)

    def kill(self, *names: str) -> None:
        """End the processes of hosts, and start them again 200 ms later."""
        for name in names:
            self.network.kill(name)
            self.network.revive(name)
            host = self.hosts.pop(name)
            if host.own == self.holder:
                self._note_holder(None)
        self.network.after(
            "platform", 200, lambda: [self.start(name) for name in names]
        )

    def add_worker(self, name: str, **plan) -> None:
        """Let a worker be listed from now on."""
        born_ms = self.network.now_ms
        worker = Worker(WorkerPlan(name, **plan), self.catalog, born_ms=born_ms)
        self.workers.append(worker)
        self.network.add(name, worker)

    def cut_off(self, *names: str) -> None:
        """Part some hosts and workers from everything else."""
        parties = ["store", *self.hosts, *(w.plan.id for w in self.workers)]
        self.apart.update(names)
        for name in names:
            for other in parties:
                if other not in names:
                    self.network.cut(name, other)

    def stand_in(self, name: str, *workers: str) -> None:
        """Let a host order workers that are cut off with it."""
        self.hosts[name].stand_in(self.token + DEPUTY_TOKENS, workers)

    def retake(self) -> None:
        """Let the holder begin another term, and end the work of deputies."""
        self.mend()
        self.token += TERM_TOKENS
        self.hosts[self.holder.name].begin_term()
        self.hosts[self.holder.name].coordinator.adopt_token(self.token)

    def mend(self) -> None:
        """End all cuts; hosts learn of the term that has begun meanwhile."""
        for name in self.apart:
            for other in ("store", *self.hosts, *(w.plan.id for w in self.workers)):
                self.network.mend(name, other)
        self.apart.clear()
        for host in self.hosts.values():
            if host.own != self.holder:
                host.stand_down()

    def take_over(self, name: str, is_told: bool = True) -> None:
        """Begin a term; an earlier holder may not be told that it is over."""
        self.token += TERM_TOKENS
        if is_told:
            for host in self.hosts.values():
                host.stand_down()
        self.hosts[name].coordinate(self.token)
        self._note_holder(self.hosts[name].own)

    def send(self, sender: HostName, to: HostName, message) -> bool:
        """Carry a message between hosts."""
        host = self.hosts.get(to.name)
        if host is None or host.own != to:
            return False
        if not self.is_told_of_jobs and type(message).__name__ == "StoredJobAccepted":
            return True

        def deliver() -> None:
            host.stored.handle_message(sender, message)

        self.network.after(to.name, 1, deliver)
        return True

    def listed(self) -> list[ListedTarget]:
        """Return the workers as they register themselves."""
        return [
            ListedTarget(
                name=worker.plan.id,
                pool=POOL,
                address=f"{worker.plan.id}:1",
                instance_started_ms=worker.born,
                capacity=Resources(
                    worker.plan.capacity.cpu, worker.plan.capacity.mem_mb
                ),
            )
            for worker in self.workers
            if worker.is_up
        ]

    def new_job(self, *steps: estate.Step, **terms) -> StoredClient:
        """Let a client mean to submit a job."""
        job_id = f"{self.random.getrandbits(64):016x}"
        job = estate.Job(job_id, spec=f"spec {job_id}", steps=steps, **terms)
        self.catalog.add(job)
        self.clients[job_id] = StoredClient(job)
        return self.clients[job_id]

    def submit(self, client: StoredClient, host="h1", timeout_ms=1_500) -> None:
        """Send a job to a host."""
        place = len(client.statuses)
        client.statuses.append(None)

        def answered(answer) -> None:
            client.statuses[place] = _STATUS.get(type(answer))

        job = _pool_job(client.job)
        self.hosts[host].stored.submit(client.job.queue, job, timeout_ms, answered)

    def read(self, client: StoredClient, host="h2") -> None:
        """Ask a host for the state of a job."""

        def answered(answer) -> None:
            state = None if answer is None else answer.state
            client.states.append(state)
            if state is StoredState.COMPLETED:
                client.completed_ms = min(client.completed_ms, self.network.now_ms)

        self._ask(StoredRequest.READ, client, host, answered)

    def cancel(self, client: StoredClient, host="h2") -> None:
        """Ask a host to cancel a job."""

        def answered(answer) -> None:
            state = None if answer is None else answer.state
            client.cancels.append(state)
            if state is StoredState.CANCELLED:
                client.cancelled_ms = min(client.cancelled_ms, self.network.now_ms)

        self._ask(StoredRequest.CANCEL, client, host, answered)

    def pending(self, host="h2", queue="q") -> int:
        """Return how many jobs of a queue have not begun."""
        found = []
        self.hosts[host].stored.ask(StoredRequest.COUNT, queue, "", None, found.append)
        self.network.run(500)
        return found[0].pending

    def states(self, host="h2") -> dict[str, StoredState | None]:
        """Return the state of every job, as a host shows it now."""
        for client in self.clients.values():
            self.read(client, host)
        self.network.run(5_000)
        return {key: client.states[-1] for key, client in self.clients.items()}

    def newest_keys(self, topic: str) -> list[str]:
        """Return the keys of a topic that the log keeps for good."""
        return list(self.newest(topic))

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key of a topic."""
        query = {"topic": topic, "part": 0}
        request = Request("/log-newest", query=query, caller="operator")
        answer = self.store.store.perform(self.network.now_ms, request)
        items = answer.body["items"]
        return {item["key"]: b64decode(item["value"]) for item in items}

    def run_until(self, is_reached: Callable[[], bool], limit_ms=20_000) -> None:
        """Let time pass until a condition holds."""
        end_ms = self.network.now_ms + limit_ms
        while not is_reached() and self.network.now_ms < end_ms:
            self.network.run(1)
        assert is_reached()

    def starts(self, client: StoredClient | None = None) -> list:
        """Return the starts that workers saw, of one job or of all."""
        return [
            event
            for event in self.events()
            if type(event).__name__ == "RunStarted"
            and (client is None or event.task.startswith(client.job.id))
        ]

    def events(self) -> list:
        """Return what all workers saw."""
        return [event for worker in self.workers for event in worker.events]

    def violations(self) -> list:
        """Return the rules that were broken."""
        records = {key: client.record() for key, client in self.clients.items()}
        auditor = Auditor(self.catalog, records, bounds=AuditBounds())
        return auditor.audit(self.events(), self.network.now_ms)

    def _ask(self, request, client, host, answered) -> None:
        self.hosts[host].stored.ask(
            request, client.job.queue, client.job.id, 4_000, answered
        )

    def _note_holder(self, holder: HostName | None) -> None:
        self.holder = holder
        for host in self.hosts.values():
            host.stored.coordinator_changed(holder)


def _pool_job(job: estate.Job) -> PoolJob:
    steps = tuple(
        Step(
            count=step.count,
            needs=Resources(step.cpu, step.mem_mb, step.gpu),
            estimate_ms=step.work_ms,
            after=step.after,
            is_checkpointing=step.checkpointing,
        )
        for step in job.steps
    )
    return PoolJob(job.id, POOL, job.spec, steps, 1, job.max_attempts, 2.0, 100)


def capacity(cpu: int) -> Capacity:
    """Return the capacity of a small worker."""
    return Capacity(cpu, 32_768)
