"""A simulated cluster of hosts, workers and callers, for arbitrary fault sequences."""

__all__ = ["CRASHING_SHAPES", "HOSTS", "SHAPES", "WORKERS", "ModelCluster"]

import math
from collections import defaultdict
from collections.abc import Callable, Collection, Mapping
from functools import partial

import attrs

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.coordinator import Coordinator
from hibiscusstack.pool.election import Term
from hibiscusstack.pool.jobs import PoolJob, Resources
from hibiscusstack.pool.jobs import Step as PoolStep
from hibiscusstack.pool.messages import JobEnd, PoolMessage, SubmissionAnswer
from hibiscusstack.pool.submission_forwarder import ReceivedJob
from hibiscusstack.pool.target_losses import TargetLosses
from hibiscusstack.pool.targets import ListedTarget
from hibiscusstack.pool.tests.model_host import Link, ModelHost
from hibiscusstack_standins.estate.auditor import Auditor, ClientRecord, Violation
from hibiscusstack_standins.estate.jobs import Catalog, Job, Step
from hibiscusstack_standins.estate.network import Network
from hibiscusstack_standins.estate.runs import Capacity
from hibiscusstack_standins.estate.worker import Worker, WorkerFaults, WorkerPlan

HOSTS = {"h1": "x", "h2": "x", "h3": "y"}
WORKERS = {"w0": "x", "w1": "x", "w2": "y"}
SHAPES = {
    "two": (Step(2, 120, 400),),
    "chain": (Step(2, 120, 400), Step(1, 60, 400, after=(0,))),
    "wide": (Step(5, 250, 400),),
    "slow": (Step(3, 1_500, 400),),
    "long": (Step(1, 5_500, 400),),
    "labelled": (Step(2, 120, 400, requires="ssd", anti_affinity=1),),
    "failing": (Step(1, 60, 400, fails=True),),
}
CRASHING_SHAPES = {
    "crashing": (Step(1, 120, 400, crashing=(0,)),),
    "crashing late": (Step(2, 120, 400, crashing=(1,), crash_delay_ms=110),),
}

_LABELS = {"w0": ("ssd",), "w2": ("ssd",)}
_CLOCK_RATES = {"w1": 0.98}
_POOL = "s"
_CPU = 1_000
_MAX_ATTEMPTS = 2
_LONG_LATENCY_MS = 8_000
_SHORT_LATENCY_MS = 250
_ANSWER_TIMEOUT_MS = 20_000
_RESEND_MS = 1_300
_RETRY_MS = 1_000
_START_MS = 500
_SETTLE_MS = 60_000
_CALLERS = "callers"
_LOG = "log"
_STATUSES = {JobEnd.REFUSED: 503, JobEnd.UNKNOWN: 504}


@attrs.define(eq=False)
class Caller:
    """A caller that resubmits one job until it is answered.

    ``terms`` is the number of coordinators, deputies included, that existed when the
    job was first submitted.
    """

    job: Job = attrs.field(repr=lambda job: job.id)
    target_latency_ms: int
    terms: int
    host: str = ""
    attempt: int = 0
    sends: int = 0
    statuses: list[int | None] = attrs.field(factory=list)
    completed_ms: float = math.inf
    cancelled_ms: float = math.inf
    received: ReceivedJob | None = attrs.field(default=None, repr=False)
    report_gone: Callable[[], None] | None = attrs.field(default=None, repr=False)

    @property
    def is_done(self) -> bool:
        """Return whether the caller has its answer or has cancelled."""
        is_answered = bool(self.statuses) and self.statuses[-1] == 200
        return is_answered or not math.isinf(self.cancelled_ms)

    def record(self) -> ClientRecord:
        """Return the record of this caller for the auditor."""
        is_open = self.sends > len(self.statuses)
        statuses = (*self.statuses, None) if is_open else tuple(self.statuses)
        return ClientRecord(statuses, self.cancelled_ms, self.completed_ms)


@attrs.define
class _ClusterClock:
    network: Network

    def now_ms(self) -> int:
        """Return the time of the site."""
        return self.network.now_ms


class ModelCluster:
    """A cluster in two data centres, with coordinators of ``coordinator_class``.

    ``holders`` maps worker and token to the hosts whose orders the worker accepted.
    ``without_log`` names the hosts that cannot reach the log. ``unread`` maps each host
    to the workers whose list entries it has not read. ``recorded`` are the records of
    the workers in the log, with their first addresses. ``losses`` are the lost workers
    that all coordinators know of, as if each read the log at once.
    """

    def __init__(
        self,
        coordinator_class: type[Coordinator] = Coordinator,
        unread: Mapping[str, Collection[str]] | None = None,
    ) -> None:
        self.network = Network(delay_ms=(1, 2))
        self.clock = _ClusterClock(self.network)
        self.without_log: set[str] = set()
        self.unread: defaultdict[str, set[str]] = defaultdict(set)
        self.unread |= {host: set(names) for host, names in (unread or {}).items()}
        self.places = {(place, name) for name, place in HOSTS.items()}
        self.callers: list[Caller] = []
        self.hosts: dict[str, ModelHost] = {}
        self.losses = TargetLosses(self.clock)
        self.frozen: set[str] = set()
        self.cuts: set[frozenset[str]] = set()
        self.holders: defaultdict[tuple, set[HostName]] = defaultdict(set)
        self._coordinator_class = coordinator_class
        self._coordinator_count = 0
        self._catalog = Catalog()
        self._links: list[Link] = []
        self._log_end = 0
        self._term: Term | None = None
        self.workers = {name: self._worker(name) for name in WORKERS}
        self.listed = {name: self._listing_of(name) for name in WORKERS}
        self.recorded = dict(self.listed)
        for name in HOSTS:
            self.start_host(name)
        self.run(_START_MS)

    @property
    def now_ms(self) -> int:
        """Return the time of the site."""
        return self.network.now_ms

    def run(self, duration_ms: int) -> None:
        """Let time pass."""
        self.network.run(duration_ms)

    def make_coordinator(self, **options) -> Coordinator:
        """Return a new coordinator or deputy."""
        self._coordinator_count += 1
        return self._coordinator_class(losses=self.losses, **options)

    def start_host(self, name: str) -> None:
        """Start or restart a host."""
        own = HostName(HOSTS[name], name, self.now_ms)
        host = ModelHost(self, own, self._log_end)
        self.hosts[name] = host
        self._log_end += 1
        for each in self.hosts.values():
            self._read_later(each)
        self.network.after(name, 2, host.tick)

    def kill_host(self, name: str, resets: bool) -> None:
        """Kill a host; without ``resets`` its peers get no connection reset."""
        host = self.hosts.pop(name)
        host.is_over = True
        self.frozen.discard(name)
        for link in list(host.links.values()):
            if resets:
                self.close(link, host)
        self.network.kill(name)
        self.network.revive(name)
        for caller in self.callers:
            if caller.host == name and not caller.is_done:
                self._after(1, caller, self.break_connection)

    def freeze_host(self, name: str) -> None:
        """Suspend the process of a host."""
        self.frozen.add(name)
        self.network.freeze(name)

    def thaw_host(self, name: str) -> None:
        """Resume the process of a host."""
        self.frozen.discard(name)
        self.network.thaw(name)

    def awake(self) -> list[ModelHost]:
        """Return the hosts that are not suspended."""
        return [host for name, host in self.hosts.items() if name not in self.frozen]

    def claim(self, host: ModelHost, end: int) -> None:
        """Append a term if the log still ends at offset ``end``."""
        if host.party in self.without_log:
            self.network.after(host.party, 1_000, lambda: host.claim_completed(None))
            return

        def arrive() -> None:
            term = None
            if end == self._log_end:
                term = self._term = Term(end, host.name)
                self._log_end += 1
                for each in self.hosts.values():
                    self._read_later(each)
            self.network.after(host.party, 1, lambda: host.claim_completed(term))

        self.network.after(_LOG, 1, arrive)

    def set_log_reachable(self, name: str, is_reachable: bool) -> None:
        """Disconnect a host from the log, or reconnect it and let it catch up."""
        if not is_reachable:
            self.without_log.add(name)
        elif name in self.without_log:
            self.without_log.discard(name)
            if name in self.hosts:
                self.hosts[name].log_reachable_since_ms = self.now_ms
                self._read_later(self.hosts[name])

    def connect(self, host: ModelHost) -> None:
        """Connect a host to all peers that it can reach."""
        for peer in self.awake():
            is_cut = frozenset((host.party, peer.party)) in self.cuts
            if peer is not host and peer.party not in host.links and not is_cut:
                link = Link((host, peer))
                self._links.append(link)
                peer.connected(link)
                host.connected(link)

    def close(self, link: Link, near: ModelHost) -> None:
        """Close a connection; a peer behind a cut is not notified."""
        near.disconnected(link)
        if not link.is_open:
            return
        link.is_open = False
        self._links.remove(link)
        far = link.peer_of(near)
        if frozenset((near.party, far.party)) not in self.cuts and not far.is_over:
            self.network.after(far.party, 1, partial(far.disconnected, link))

    def carry(self, link: Link, near: ModelHost, message: PoolMessage) -> None:
        """Deliver a message to the other end, in order."""
        far = link.peer_of(near)

        def arrive() -> None:
            if not link.is_open or far.is_over:
                return
            if link.delayed or frozenset((near.party, far.party)) in self.cuts:
                link.delayed.append((far.party, arrive))
            else:
                far.handle_message(near, message)

        if not far.is_over:
            self.network.after(far.party, 1, arrive)

    def cut(self, one: str, other: str) -> None:
        """Cut the network between two hosts, or between a host and a worker."""
        self.cuts.add(frozenset((one, other)))
        if other in WORKERS and one in self.hosts:
            self.hosts[one].orders.cuts.add(other)

    def isolate_host(self, name: str) -> None:
        """Isolate a host from its peers and the log, but not from the workers."""
        self.set_log_reachable(name, False)
        for other in HOSTS.keys() - {name}:
            self.cut(name, other)

    def current_coordinator(self) -> str | None:
        """Return the host of the coordinator with the highest token, or ``None``."""
        leading = [host for host in self.awake() if host.coordinator is not None]
        newest = max(leading, key=lambda host: host.coordinator.token, default=None)
        return None if newest is None else newest.party

    def isolate_data_centre(self) -> None:
        """Isolate the smaller data centre from the other one and from the log."""
        self.set_log_reachable("h3", False)
        for name in ("h1", "h2"):
            self.cut(name, "h3")
            self.cut(name, "w2")
        for name in ("w0", "w1"):
            self.cut("h3", name)

    def end_cuts(self) -> None:
        """End all cuts and deliver the delayed messages."""
        self.cuts.clear()
        for host in self.hosts.values():
            host.orders.cuts.clear()
        for link in self._links:
            held, link.delayed = link.delayed, []
            for party, arrive in held:
                self.network.after(party, 1, arrive)
        for name in list(self.without_log):
            self.set_log_reachable(name, True)

    def crash_worker(self, name: str) -> None:
        """Crash a worker."""
        if self.workers[name].is_up:
            self.network.kill(name)

    def return_worker(self, name: str, moves: bool = False) -> None:
        """Restart a worker, with ``moves`` at another address."""
        self.network.kill(name)
        worker = self.workers[name]
        if moves:
            address = f"{name}:{self.now_ms + 2}"
            worker.plan = attrs.evolve(worker.plan, address=address)
        self.network.revive(name)

    def list_worker(self, name: str, is_listed: bool = True) -> None:
        """Add or update the list entry of a worker, or remove it."""
        if not is_listed:
            self.listed.pop(name, None)
        elif self.workers[name].is_up:
            self.listed[name] = self._listing_of(name)
        for host in self.hosts.values():
            self._read_later(host)

    def read_lists(self) -> None:
        """Let all hosts read the whole list."""
        self.unread.clear()
        for host in self.hosts.values():
            self._read_later(host)

    def drain_worker(self, name: str) -> None:
        """Drain a worker for 2 s."""
        if self.workers[name].is_up:
            self.workers[name].drain(self.now_ms, 2_000)
            self.list_worker(name)

    def set_faults(self, name: str, faults: WorkerFaults) -> None:
        """Set the faults of a worker."""
        self.workers[name].set_faults(self.now_ms, faults)

    def submit(
        self, host: str, shape: str, has_short_objective: bool = False
    ) -> Caller:
        """Submit a job of a new caller; return the caller."""
        number = len(self.callers)
        job = Job(
            f"{number:016x}",
            spec=f"job {number}",
            steps=(SHAPES | CRASHING_SHAPES)[shape],
            max_attempts=_MAX_ATTEMPTS,
            best_effort=True,
        )
        self._catalog.add(job)
        latency_ms = _SHORT_LATENCY_MS if has_short_objective else _LONG_LATENCY_MS
        caller = Caller(job, latency_ms, self._coordinator_count)
        self.callers.append(caller)
        self._send(caller, host)
        return caller

    def cancel(self, caller: Caller) -> None:
        """Let a caller cancel its job."""
        caller.cancelled_ms = self.now_ms
        self._report_gone(caller)

    def break_connection(self, caller: Caller) -> None:
        """Break the connection of a caller, which resubmits later."""
        caller.statuses.append(None)
        self._report_gone(caller)
        caller.attempt += 1
        self._after(_RESEND_MS, caller, self._send)

    def violations(self) -> list[Violation]:
        """Return the violations found so far.

        A job that only one coordinator handled is checked by the stricter rules for
        jobs that are not best effort.
        """
        events = [event for worker in self.workers.values() for event in worker.events]
        jobs, records = [], {}
        for caller in self.callers:
            jobs.append(
                attrs.evolve(
                    caller.job, best_effort=not self._had_single_coordinator(caller)
                )
            )
            records[caller.job.id] = caller.record()
        return Auditor(Catalog(*jobs), records).audit(events, self.now_ms)

    def recover(self) -> None:
        """End all faults; run until every caller is done or time runs out."""
        self.end_cuts()
        self.read_lists()
        for name in list(self.frozen):
            self.thaw_host(name)
        for name in HOSTS:
            if name not in self.hosts:
                self.start_host(name)
            self.hosts[name].orders.fates.clear()
        for name in self.workers:
            self.set_faults(name, WorkerFaults())
            self.list_worker(name)
        end_ms = self.now_ms + _SETTLE_MS
        while self.now_ms < end_ms and not all(each.is_done for each in self.callers):
            for name, worker in self.workers.items():
                if not worker.is_up:
                    self.return_worker(name)
                    self.list_worker(name)
            self.run(100)

    def _had_single_coordinator(self, caller: Caller) -> bool:
        """Return whether a single coordinator handled the job without interruption."""
        received = caller.received
        was_moved = received is not None and received.send_count > 1
        is_first = caller.attempt <= 1 and caller.terms == self._coordinator_count
        return is_first and not was_moved

    def _worker(self, name: str) -> Worker:
        plan = WorkerPlan(
            name,
            service=_POOL,
            address=f"{name}:1",
            zone=WORKERS[name],
            labels=_LABELS.get(name, ()),
            capacity=Capacity(_CPU),
            is_guarded=False,
            clock_rate=_CLOCK_RATES.get(name, 1.0),
        )
        worker = Worker(plan, self._catalog)
        self.network.add(name, worker)
        return worker

    def _listing_of(self, name: str) -> ListedTarget:
        worker = self.workers[name]
        return ListedTarget(
            name,
            _POOL,
            worker.plan.address,
            worker.born,
            Resources(worker.plan.capacity.cpu, worker.plan.capacity.mem_mb),
            WORKERS[name],
            frozenset(worker.plan.labels),
            worker.report(self.now_ms)["state"] == "draining",
        )

    def _read_later(self, host: ModelHost) -> None:
        """Let a host read the log and the list of workers, if it can reach the log."""

        def read() -> None:
            if host.party in self.without_log:
                return
            host.election.record_log_end(self._log_end)
            if self._term is not None:
                host.apply_term(self._term)
            unread = self.unread[host.party]
            host.replace_targets(
                listing for name, listing in self.listed.items() if name not in unread
            )

        self.network.after(host.party, 2, read)

    def _send(self, caller: Caller, host: str = "") -> None:
        if caller.is_done:
            return
        caller.attempt += 1
        caller.sends += 1
        others = [name for name in HOSTS if name != caller.host]
        in_reach = [name for name in others if name in self.hosts]
        caller.host = host or (in_reach or others)[0]
        self._after(_ANSWER_TIMEOUT_MS, caller, self.break_connection)
        attempt = caller.attempt

        def answered(answer: SubmissionAnswer) -> None:
            respond = partial(self._answered, caller, attempt, answer)
            self.network.after(_CALLERS, 1, respond)

        def arrive() -> None:
            if caller.attempt == attempt and not caller.is_done:
                receiver = self.hosts[caller.host].receiver
                job = _pool_job(caller)
                caller.received = ReceivedJob(job, self.now_ms, None, answered)
                submission = receiver.submit(caller.received)
                caller.report_gone = partial(receiver.caller_disconnected, submission)

        if caller.host in self.hosts:
            self.network.after(caller.host, 1, arrive)
        else:
            self._after(1, caller, self.break_connection)

    def _after(
        self, delay_ms: int, caller: Caller, action: Callable[[Caller], None]
    ) -> None:
        attempt = caller.attempt

        def act() -> None:
            if caller.attempt == attempt and not caller.is_done:
                action(caller)

        self.network.after(_CALLERS, delay_ms, act)

    def _answered(self, caller: Caller, attempt: int, answer: SubmissionAnswer) -> None:
        if caller.attempt != attempt or caller.is_done:
            return
        status = _STATUSES.get(answer.end, 200)
        caller.statuses.append(status)
        caller.report_gone = None
        if answer.end is JobEnd.COMPLETED:
            caller.completed_ms = self.now_ms
        if status != 200:
            caller.attempt += 1
            delay_ms = _RETRY_MS if status == 503 else _RESEND_MS
            self._after(delay_ms, caller, self._send)

    def _report_gone(self, caller: Caller) -> None:
        leave, caller.report_gone = caller.report_gone, None
        if leave is not None and caller.host in self.hosts:
            self.network.after(caller.host, 1, leave)


def _pool_job(caller: Caller) -> PoolJob:
    steps = tuple(
        PoolStep(
            step.count,
            Resources(step.cpu),
            step.work_ms,
            step.after,
            step.requires,
            "",
            step.anti_affinity,
        )
        for step in caller.job.steps
    )
    return PoolJob(
        caller.job.id,
        _POOL,
        caller.job.spec,
        steps,
        max_attempts=caller.job.max_attempts,
        target_latency_ms=caller.target_latency_ms,
    )
