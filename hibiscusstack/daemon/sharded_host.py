"""A host of pools whose targets and jobs are divided into shards."""

__all__ = ["ShardedPoolHost", "build_pool_host"]

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorCore
from twisted.internet.task import LoopingCall

from hibiscusstack.clock import Clock
from hibiscusstack.daemon.pool_host import PoolHost
from hibiscusstack.daemon.pool_mesh import build_pool_mesh
from hibiscusstack.daemon.shard_mesh import ShardMesh, ShardPacing
from hibiscusstack.dispatch.messages import HostName, Message
from hibiscusstack.host import Mesh
from hibiscusstack.pool.coordinator import Coordinator
from hibiscusstack.pool.election import Term
from hibiscusstack.pool.events import PoolEvents, RecentRun
from hibiscusstack.pool.heartbeat_pacing import RolePacing
from hibiscusstack.pool.host_settings import PoolHostSettings
from hibiscusstack.pool.interfaces import KeyedRecord, SequencedLog
from hibiscusstack.pool.jobs import PoolJob
from hibiscusstack.pool.layout_keeper import LayoutKeeper
from hibiscusstack.pool.messages import (
    AskStored,
    CancelSubmission,
    ShardHeartbeats,
    StoredAnswer,
    StoredJobAccepted,
    StoredRequest,
    StoredState,
    SubmissionAnswer,
    SubmitPoolJob,
)
from hibiscusstack.pool.ordering import OrderingPolicy
from hibiscusstack.pool.orders import TargetOrders
from hibiscusstack.pool.sharding import (
    MAX_SHARDS,
    ShardingPolicy,
    ShardLayout,
    ShardLog,
    ShardPlace,
    shard_of,
)
from hibiscusstack.pool.stored.manager import StoredJobTiming
from hibiscusstack.pool.stored.submitting import SubmitAnswer
from hibiscusstack.pool.submission_forwarder import ReceivedJob
from hibiscusstack.pool.targets import ListedTarget
from hibiscusstack.pool.timing import CoordinatorTiming
from hibiscusstack.pool.topic_follower import TopicFollower

BuildOrders = Callable[[Callable[[], Coordinator | None]], TargetOrders]
LAYOUT_CHECK_INTERVAL_MS = 100


def build_pool_host(
    policy: ShardingPolicy, build_orders: BuildOrders, **terms: Any
) -> "PoolHost | ShardedPoolHost":
    """Return a host with shards, or one without if ``policy`` has none.

    ``terms`` are the other arguments of both.
    """
    if policy.targets_per_coordinator:
        return ShardedPoolHost(policy=policy, build_orders=build_orders, **terms)
    host = PoolHost(orders=build_orders(lambda: host.coordinator), **terms)
    return host


class ShardedPoolHost:
    """A host with one :class:`PoolHost` for each shard, on one mesh.

    Until the layout is known there is the first shard alone, without targets
    and without jobs. ``build_orders`` returns what sends the orders of one shard; its
    argument returns the coordinator of that shard.
    """

    def __init__(
        self,
        *,
        settings: PoolHostSettings,
        reactor: IReactorCore,
        clock: Clock,
        log: SequencedLog,
        build_orders: BuildOrders,
        policy: ShardingPolicy,
        timing: CoordinatorTiming | None = None,
        stored_timing: StoredJobTiming | None = None,
        events: PoolEvents | None = None,
        ordering: OrderingPolicy | None = None,
    ) -> None:
        self.shards: list[PoolHost] = []
        self.is_draining = False
        self.submissions = _ShardedSubmissions(self)
        self.stored = _ShardedStoredJobs(self)
        self._settings = settings
        self._reactor = reactor
        self._clock = clock
        self._log = log
        self._build_orders = build_orders
        self._terms = {
            "timing": timing,
            "stored_timing": stored_timing,
            "events": events or PoolEvents(),
            "ordering": ordering,
        }
        self._targets: tuple[ListedTarget, ...] = ()
        self._targets_follower: TopicFollower | None = None
        self._evacuated_since_ms: dict[str, float] = {}
        self._awaits_requests = False
        self._pacing = ShardPacing()
        self._mesh: Mesh = build_pool_mesh(settings, self, self._pacing, reactor, clock)
        first = self._add_shard(0)
        first.on_host_records = self._apply_host_records
        self._layout_keeper = LayoutKeeper(
            log, clock, first.election, policy, self._layout_known
        )
        self._layout_loop = LoopingCall(self._update_layout)
        self._layout_loop.clock = reactor

    @property
    def name(self) -> HostName:
        """The name of this host."""
        return self._settings.name

    @property
    def layout(self) -> ShardLayout | None:
        """How the site is divided, ``None`` until that is known."""
        return self._layout_keeper.layout

    @property
    def targets(self) -> tuple[ListedTarget, ...]:
        """The newest list of targets."""
        return self._targets

    @property
    def recent_runs(self) -> Iterable[RecentRun]:
        """The last runs that this host started or adopted, oldest first."""
        return self._terms["events"].recent_runs

    @property
    def term(self) -> Term | None:
        """The newest term of the first shard."""
        return self.shards[0].term

    @property
    def coordinator(self) -> Coordinator | None:
        """One of the coordinators on this host, if there is any."""
        return next(iter(self.coordinators()), None)

    @property
    def evacuated_since_ms(self) -> Mapping[str, float]:
        """Since when each data centre is evacuated."""
        return self._evacuated_since_ms

    @property
    def targets_follower(self) -> TopicFollower | None:
        """The follower that supplies the list of targets."""
        return self._targets_follower

    @targets_follower.setter
    def targets_follower(self, follower: TopicFollower | None) -> None:
        self._targets_follower = follower
        for shard in self.shards:
            shard.targets_follower = follower

    @property
    def awaits_requests(self) -> bool:
        """Whether operators may have made requests that weren't read yet."""
        return self._awaits_requests

    @awaits_requests.setter
    def awaits_requests(self, value: bool) -> None:
        self._awaits_requests = value
        for shard in self.shards:
            shard.awaits_requests = value

    def coordinators(self) -> list[Coordinator]:
        """Return the coordinators on this host, one for each shard that it holds."""
        found = (shard.coordinator for shard in self.shards)
        return [coordinator for coordinator in found if coordinator is not None]

    def start(self) -> Deferred[None]:
        """Listen for peers, register this host in the log and start to tick."""
        self._layout_loop.start(LAYOUT_CHECK_INTERVAL_MS / 1000, now=False)
        return self.shards[0].start()

    def stop(self) -> None:
        """Close the connections to peers and stop all periodic work."""
        if self._layout_loop.running:
            self._layout_loop.stop()
        for shard in reversed(self.shards):
            shard.stop()

    def drain(self) -> None:
        """Refuse new jobs, and ask other hosts to claim the next terms."""
        self.is_draining = True
        for shard in self.shards:
            shard.drain()

    def replace_targets(self, targets: Iterable[ListedTarget]) -> None:
        """Replace the list of targets with a newer one."""
        self._targets = tuple(targets)
        self._distribute_targets()

    def set_evacuated(self, since_ms: Mapping[str, float]) -> None:
        """Start nothing more at the targets of these data centres."""
        self._awaits_requests = False
        self._evacuated_since_ms = dict(since_ms)
        for shard in self.shards:
            shard.set_evacuated(since_ms)

    def is_serving(self) -> bool:
        """Tell whether a job received now could reach the coordinator of its shard."""
        return self.layout is not None and any(
            shard.is_serving() for shard in self.shards
        )

    def shard_for(self, job_id: str) -> PoolHost:
        """Return the part of this host for the shard of a job."""
        return self.shards[shard_of(job_id, len(self.shards))]

    def build_heartbeat(self) -> ShardHeartbeats:
        """Return the state of all shards to be sent to peers."""
        return ShardHeartbeats(tuple(each.build_heartbeat() for each in self.shards))

    def peer_connected(self, peer: HostName) -> None:
        """Tell all shards of a new connection."""
        for shard in list(self.shards):
            shard.peer_connected(peer)

    def peer_disconnected(self, peer: HostName) -> None:
        """Tell all shards of the end of a connection."""
        for shard in list(self.shards):
            shard.peer_disconnected(peer)

    def peer_lost(self, peer: HostName) -> None:
        """Tell all shards of the loss of a peer."""
        for shard in list(self.shards):
            shard.peer_lost(peer)

    def peer_message(self, sender: HostName, message: Message) -> None:
        """Hand a message to the shard that it is for.

        A peer may know of shards that this host has not read of yet.
        """
        if isinstance(message, ShardHeartbeats):
            for shard, heartbeat in zip(
                list(self.shards), message.shards, strict=False
            ):
                shard.peer_message(sender, heartbeat)
            return
        index = self._shard_index(message)
        if index is not None and index < len(self.shards):
            self.shards[index].peer_message(sender, message)

    def _shard_index(self, message: Message) -> int | None:
        match message:
            case SubmitPoolJob(job=job) | StoredJobAccepted(job=job):
                return shard_of(job.job_id, len(self.shards))
            case SubmissionAnswer(number) | CancelSubmission(number):
                return number % MAX_SHARDS
            case AskStored(number) | StoredAnswer(number):
                return number % MAX_SHARDS
        return None

    def _add_shard(self, index: int) -> PoolHost:
        def find_coordinator() -> Coordinator | None:
            return shard.coordinator

        def divide_cpu() -> int:
            held = sum(each.coordinator is not None for each in self.shards[:index])
            return self._settings.cpu_milli // (1 + held)

        shard = PoolHost(
            settings=self._settings,
            reactor=self._reactor,
            clock=self._clock,
            log=ShardLog(self._log, index) if index else self._log,
            orders=self._build_orders(find_coordinator),
            place=ShardPlace(index, has_others=True),
            build_mesh=self._build_shard_mesh,
            find_cpu_milli=divide_cpu,
            **self._terms,
        )
        shard.targets_follower = self._targets_follower
        shard.awaits_requests = self._awaits_requests
        self.shards.append(shard)
        return shard

    def _build_shard_mesh(self, _: object, pacing: RolePacing) -> ShardMesh:
        self._pacing.add(pacing)
        return ShardMesh(lambda: self._mesh, is_first=not self.shards)

    def _apply_host_records(self, records: Sequence[KeyedRecord]) -> None:
        self._layout_keeper.apply_records(records)

    def _update_layout(self) -> None:
        self._layout_keeper.update(self.shards[0].is_holding_term, self._targets)

    def _layout_known(self, layout: ShardLayout) -> None:
        for index in range(1, layout.count):
            shard = self._add_shard(index)
            if not self._awaits_requests:
                shard.set_evacuated(self._evacuated_since_ms)
            shard.start()
            for peer in self._mesh.peers():
                shard.peer_connected(peer)
            if self.is_draining:
                shard.drain()
        self._distribute_targets()

    def _distribute_targets(self) -> None:
        layout = self.layout
        if layout is None:
            return
        parts: list[list[ListedTarget]] = [[] for _ in self.shards]
        for target in self._targets:
            parts[layout.shard_of_target(target.name)].append(target)
        for shard, part in zip(self.shards, parts, strict=True):
            shard.replace_targets(part)


class _ShardedSubmissions:
    """Submits each job in its shard; submissions are numbered by shard."""

    def __init__(self, host: ShardedPoolHost) -> None:
        self._host = host

    def __len__(self) -> int:
        return sum(len(shard.submissions) for shard in self._host.shards)

    def submit(self, received: ReceivedJob) -> int:
        """Accept a job, forward it and return the number of its submission."""
        return self._host.shard_for(received.job.job_id).submissions.submit(received)

    def caller_disconnected(self, submission: int) -> None:
        """Drop a job whose caller disconnected, and cancel it at the coordinator."""
        shard = self._host.shards[submission % MAX_SHARDS]
        shard.submissions.caller_disconnected(submission)


class _ShardedStoredJobs:
    """Stores each job in its shard, and asks all shards about a queue."""

    def __init__(self, host: ShardedPoolHost) -> None:
        self._host = host

    def submit(
        self,
        queue: str,
        job: PoolJob,
        timeout_ms: float | None,
        answer: Callable[[SubmitAnswer], None],
    ) -> None:
        """Store a job, and notify the coordinator of its shard."""
        stored = self._host.shard_for(job.job_id).stored
        stored.submit(queue, job, timeout_ms, answer)

    def ask(
        self,
        request: StoredRequest,
        queue: str,
        job_id: str,
        timeout_ms: float | None,
        answer: Callable[[StoredAnswer | None], None],
    ) -> Callable[[], None]:
        """Query the coordinator; return a function to call when the caller left."""
        if request is not StoredRequest.COUNT:
            stored = self._host.shard_for(job_id).stored
            return stored.ask(request, queue, job_id, timeout_ms, answer)
        answers: list[StoredAnswer | None] = []

        def add(part: StoredAnswer | None) -> None:
            answers.append(part)
            if len(answers) < len(shards):
                return
            if None in answers:
                answer(None)
            else:
                pending = sum(each.pending for each in answers)
                answer(StoredAnswer(0, StoredState.UNKNOWN, pending))

        shards = list(self._host.shards)
        leave = [
            shard.stored.ask(request, queue, job_id, timeout_ms, add)
            for shard in shards
        ]
        return lambda: [each() for each in leave]
