"""A dispatcher host for pools of targets; it coordinates while it holds the term."""

__all__ = ["PoolHost", "PoolHostSettings"]

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from eliot import log_message
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorCore
from twisted.internet.task import LoopingCall

from hibiscusstack.clock import Clock
from hibiscusstack.daemon.pool_mesh import build_pool_mesh
from hibiscusstack.dispatch.messages import HostName, Message
from hibiscusstack.pool.claiming import HOSTS_TOPIC, HostRegistration, TermClaimer
from hibiscusstack.pool.coordinator import Coordinator
from hibiscusstack.pool.coordinator_discovery import CoordinatorDiscovery
from hibiscusstack.pool.coordinator_role import CoordinatorRole
from hibiscusstack.pool.deputy_activation import DeputyActivation
from hibiscusstack.pool.election import Election, Term
from hibiscusstack.pool.events import PoolEvents, RecentRun
from hibiscusstack.pool.first_contact import FirstContact
from hibiscusstack.pool.handover import Handover
from hibiscusstack.pool.heartbeat_pacing import RolePacing
from hibiscusstack.pool.host_agreement import HostAgreement
from hibiscusstack.pool.host_records import HostRecord
from hibiscusstack.pool.host_registry import HostRegistry, host_id
from hibiscusstack.pool.host_settings import PoolHostSettings
from hibiscusstack.pool.interfaces import KeyedRecord, SequencedLog
from hibiscusstack.pool.log_availability import LogAvailability
from hibiscusstack.pool.loss_recorder import LossRecorder
from hibiscusstack.pool.loss_records import apply_loss_records
from hibiscusstack.pool.messages import (
    AskStored,
    CancelSubmission,
    PoolHeartbeat,
    StoredAnswer,
    StoredJobAccepted,
    SubmissionAnswer,
    SubmitPoolJob,
)
from hibiscusstack.pool.ordering import OrderingPolicy
from hibiscusstack.pool.orders import TargetOrders
from hibiscusstack.pool.peer_answers import PeerAnswers
from hibiscusstack.pool.peer_states import PeerStates
from hibiscusstack.pool.recent_targets import RecentTargets
from hibiscusstack.pool.sharding import ShardPlace
from hibiscusstack.pool.stored.manager import StoredJobTiming
from hibiscusstack.pool.stored.service import StoredJobService, StoredMessage
from hibiscusstack.pool.submission_forwarder import SubmissionForwarder
from hibiscusstack.pool.target_losses import TargetLosses
from hibiscusstack.pool.target_reclaim import is_reclaim_due
from hibiscusstack.pool.target_recorder import TargetRecorder
from hibiscusstack.pool.target_records import TargetRecords
from hibiscusstack.pool.targets import ListedTarget
from hibiscusstack.pool.term_confirmation import TermConfirmation
from hibiscusstack.pool.timing import CoordinatorTiming
from hibiscusstack.pool.topic_follower import TopicFollower

BuildMesh = Callable[["PoolHost", RolePacing], Any]

HOSTS_READ_WAIT_MS = 1_000
TICK_INTERVAL_MS = 10
# A peer that has sent nothing for longer than this counts as silent.
SILENT_AFTER_MS = 250


class PoolHost:
    """One dispatcher host in a cluster whose targets hold leases.

    It registers itself in the log, connects to its peers, elects the coordinator with
    them, and is the coordinator while it holds the newest term. While its data centre
    is cut off from the coordinator, it may become the deputy coordinator of that data
    centre. While no host can reach the log, it may become the general deputy, which
    coordinates in all data centres.

    To step down is to stop coordinating, as holder or as deputy. To resign is to give
    up the term, if this host holds it: it must claim a new one before it coordinates as
    holder again.

    The owner of a job is the host that received it from its caller.

    On a site with shards a host has one of these for each shard, at ``place``.
    ``build_mesh`` then returns its part of the mesh, and ``find_cpu_milli`` the CPU
    that the host has left for its coordinator. ``on_host_records`` gets all records of
    the topic of the terms.

    ``targets_follower`` is the follower that supplies the list of targets, if there is
    one. It reads the list anew when this host begins to coordinate. While the host
    ``awaits_requests``, operators may have asked for evacuations that it hasn't read
    yet.
    """

    def __init__(
        self,
        *,
        settings: PoolHostSettings,
        reactor: IReactorCore,
        clock: Clock,
        log: SequencedLog,
        orders: TargetOrders,
        timing: CoordinatorTiming | None = None,
        stored_timing: StoredJobTiming | None = None,
        events: PoolEvents | None = None,
        ordering: OrderingPolicy | None = None,
        place: ShardPlace | None = None,
        build_mesh: BuildMesh | None = None,
        find_cpu_milli: Callable[[], int] | None = None,
    ) -> None:
        own = settings.name
        place = place or ShardPlace()
        self.on_host_records: Callable[[Sequence[KeyedRecord]], None] | None = None
        self._find_cpu_milli = find_cpu_milli or (lambda: settings.cpu_milli)
        self.is_draining = self.awaits_requests = False
        self.targets_follower: TopicFollower | None = None
        self.evacuated_since_ms: dict[str, float] = {}
        self._events = events or PoolEvents()
        self.submissions = SubmissionForwarder(
            clock, self._send, self._events, place.numbers()
        )
        self._timing = timing or CoordinatorTiming()
        self._settings = settings
        self._reactor = reactor
        self._clock = clock
        self._last_tick_ms = self._created_ms = clock.now_ms()
        self._targets = RecentTargets()
        self._target_records = TargetRecords()
        self._losses = TargetLosses(clock, is_recorded=True)
        self._agreement = HostAgreement(self._timing.max_orphan_run_ms)
        self._election = Election(own, settings.patience_ms, place)
        self._target_recorder = TargetRecorder(
            log, clock, self._election, self._target_records, self._targets_recorded
        )
        self._loss_recorder = LossRecorder(log, clock, self._election, self._losses)
        self._registry = HostRegistry(own)
        self._peer_states = PeerStates()
        self._log_availability = LogAvailability()
        self._pacing = RolePacing(
            self._peer_states, self._registry.count, settings.silence_ms
        )
        self._peer_answers = PeerAnswers()
        if build_mesh is None:
            self._mesh = build_pool_mesh(settings, self, self._pacing, reactor, clock)
        else:
            self._mesh = build_mesh(self, self._pacing)
        self._first_contact = FirstContact(
            own, self._registry, self._mesh.ended_attempts
        )
        self.stored = StoredJobService(
            own=own,
            reactor=reactor,
            clock=clock,
            log=log,
            send=self._send_stored,
            timing=stored_timing,
            numbers=place.numbers(),
        )
        self._role = CoordinatorRole(
            own=own,
            clock=clock,
            orders=orders,
            send_answer=self._answer,
            timing=self._timing,
            events=self._events,
            ordering=ordering,
            targets=self._targets,
            records=self._target_records,
            losses=self._losses,
            stored=self.stored,
        )
        self._coordinator_discovery = CoordinatorDiscovery(
            own, self._election, self._peer_states, self._role, self._is_connected
        )
        self._handover = Handover(settings.cpu_milli)
        self._is_handing_over = False
        self._deputy_activation = DeputyActivation(
            own, self._registry, self._peer_states
        )
        record = HostRecord(own, settings.address, settings.port)
        self._registration = HostRegistration(reactor, log, record)
        self._term_claimer = TermClaimer(
            log, clock, own, self._election, self._record_term
        )
        self._hosts_follower = TopicFollower(
            reactor,
            log,
            HOSTS_TOPIC,
            self._apply_host_records,
            wait_ms=HOSTS_READ_WAIT_MS,
            on_end=self._record_log_read,
            clock=clock,
        )
        self._term_confirmation = TermConfirmation(log, clock, self._election)
        self._tick_loop = LoopingCall(self._tick)
        self._tick_loop.clock = reactor

    @property
    def name(self) -> HostName:
        """The name of this host."""
        return self._settings.name

    @property
    def targets(self) -> tuple[ListedTarget, ...]:
        """The newest list of targets."""
        return self._targets.listed

    @property
    def recent_runs(self) -> Iterable[RecentRun]:
        """The last runs that this host started or adopted, oldest first."""
        return self._events.recent_runs

    @property
    def term(self) -> Term | None:
        """The newest term that this host knows."""
        return self._election.term

    @property
    def coordinator(self) -> Coordinator | None:
        """The coordinator on this host, if it holds the term or is a deputy."""
        return self._role.coordinator

    @coordinator.setter
    def coordinator(self, coordinator: Coordinator | None) -> None:
        self._role.coordinator = coordinator

    @property
    def election(self) -> Election:
        """What this host knows of the terms."""
        return self._election

    @property
    def is_holding_term(self) -> bool:
        """Whether this host coordinates as the holder of a term."""
        return self._role.is_holding

    def coordinators(self) -> list[Coordinator]:
        """Return the coordinator on this host, if there is one."""
        return [] if self.coordinator is None else [self.coordinator]

    def start(self) -> Deferred[None]:
        """Listen for peers, register this host in the log and start to tick."""
        return self._mesh.listen().addCallback(self._start_work)

    def stop(self) -> None:
        """Close the connections to peers and stop all periodic work."""
        if self._tick_loop.running:
            self._tick_loop.stop()
        self._hosts_follower.stop()
        self.stored.stop()
        self._mesh.stop()

    def drain(self) -> None:
        """Refuse new jobs, and ask another host to claim the next term.

        The heartbeats say that this host drains. It coordinates until it hears of the
        next term.
        """
        self.is_draining = True
        if self.coordinator is not None:
            self.coordinator.log_open_runs("draining")
        self._mesh.send_heartbeats()

    def replace_targets(self, targets: Iterable[ListedTarget]) -> None:
        """Replace the list of targets with a newer one."""
        self._targets.replace(targets, self._clock.now_ms())
        self._role.targets_changed()

    def set_evacuated(self, since_ms: Mapping[str, float]) -> None:
        """Start nothing more at the targets of these data centres.

        ``since_ms`` tells since when each of them is evacuated. Until this has been
        called, a host that ``awaits_requests`` doesn't coordinate.
        """
        self.awaits_requests = False
        self.evacuated_since_ms = dict(since_ms)
        self._role.set_evacuated(frozenset(since_ms))

    def is_serving(self) -> bool:
        """Tell whether a job received now would reach the coordinator."""
        return (
            self._coordinator_discovery.find_coordinator() is not None
            and not self.is_draining
        )

    def build_heartbeat(self) -> PoolHeartbeat:
        """Return the state of this host to be sent to peers."""
        term = self._election.term
        return PoolHeartbeat(
            term=term.offset if term else -1,
            holder=term.holder if term else None,
            hears_holder=self._hears_holder_keeping_term(),
            is_draining=self.is_draining,
            is_deputy=self._role.is_deputy,
            has_stored=self.stored.has_jobs,
            offered_cpu_milli=self._offered_cpu_milli(self._clock.now_ms()),
            is_general=self._role.is_general,
            token=self._role.token,
            general_token=self._peer_states.highest_general_token,
            lacks_log=self._log_availability.is_unavailable(self._clock.now_ms()),
            log_end=self._election.log_end_offset or 0,
        )

    def peer_connected(self, peer: HostName) -> None:
        """Send waiting jobs to the peer again if it is the coordinator."""
        self._peer_states.connected(peer)
        self._first_contact.record_connected(peer)
        self.submissions.connection_replaced(peer)
        self._update_coordinator()

    def peer_disconnected(self, peer: HostName) -> None:
        """Start the grace period after which the peer counts as lost."""
        self._peer_states.disconnected(peer, self._clock.now_ms())
        self._agreement.record(False, self._clock.now_ms())
        self._update_coordinator()

    def peer_lost(self, peer: HostName) -> None:
        """Stop the jobs that a lost peer owns, if this host coordinates."""
        self._peer_states.lost(peer)
        if self.coordinator is not None:
            self.coordinator.owner_lost(peer)

    def peer_message(self, sender: HostName, message: Message) -> None:
        """Handle one message from a peer."""
        if isinstance(message, PoolHeartbeat):
            self._record_heartbeat(sender, message)
        elif isinstance(message, SubmissionAnswer):
            self.submissions.answer_received(sender, message)
        elif isinstance(message, AskStored | StoredAnswer | StoredJobAccepted):
            self.stored.handle_message(sender, message)
        elif isinstance(message, SubmitPoolJob | CancelSubmission):
            self._role.handle_message(sender, message)

    def _start_work(self, _: object) -> None:
        self._mesh.start()
        self._hosts_follower.start()
        self._registration.append()
        self._tick_loop.start(TICK_INTERVAL_MS / 1000, now=False)

    def _record_log_read(self, end: int) -> None:
        self._election.record_log_end(end)
        self._target_records.forget_offsets_before(end)
        self._log_availability.note_read(self._clock.now_ms())

    def _apply_host_records(
        self, records: Sequence[KeyedRecord], is_snapshot: bool
    ) -> None:
        if self.on_host_records is not None:
            self.on_host_records(records)
        self._target_records.apply_records(records, is_snapshot)
        self._targets_recorded()
        has_losses = apply_loss_records(self._losses, records, is_snapshot)
        if has_losses and self.coordinator is not None:
            self.coordinator.losses_changed()
        for term in self._registry.apply_records(records, is_snapshot):
            self._record_term(term)
        self._mesh.replace_listed(self._registry.peer_addresses())

    def _record_heartbeat(self, sender: HostName, heartbeat: PoolHeartbeat) -> None:
        if heartbeat.is_deputy:
            # The deputy may have ended before the next tick.
            self._agreement.record(False, self._clock.now_ms())
        was_deputy = self._peer_states.is_deputy(sender)
        is_changed = self._peer_states.record_heartbeat(sender, heartbeat)
        self.stored.has_jobs |= heartbeat.has_stored
        if was_deputy and not heartbeat.is_deputy:
            self.submissions.coordinator_stepped_down(sender)
        if is_changed:
            self._update_coordinator()
        if heartbeat.holder is not None:
            self._record_term(Term(heartbeat.term, heartbeat.holder))

    def _record_term(self, term: Term) -> None:
        """Follow ``term`` if it is newer than the known one, else ignore it.

        Terms are learned from the log, from heartbeats and from this host's own claims.
        The logged ``token`` is the offset of the term, not its fencing token.
        """
        if not self._election.note_term(term):
            return
        self._events.counters.terms += 1
        log_message("pool:term", token=term.offset, holder=term.holder.name)
        keeps_coordinating = self._election.is_holder and self._role.is_holding
        if self._election.is_holder:
            self._role.begin_term(term)
            self._log_coordination()
            if self.targets_follower is not None:
                self.targets_follower.read_now()
        else:
            self._role.step_down()
        if not keeps_coordinating:
            # Even if the same host holds the new term, it may have stopped coordinating
            # in between and lost its jobs. The call withdraws all jobs, and the update
            # below then sends them again, also to the same host.
            self.submissions.coordinator_changed(None)
        self._mesh.send_heartbeats()
        self._update_coordinator()

    def _log_coordination(self) -> None:
        """Log what is known of the targets as this host begins to coordinate."""
        follower = self.targets_follower
        recorded = set(self._target_records.names())
        self._events.coordination_began(
            self._role.token,
            is_deputy=self._role.is_deputy,
            listed=len(self.targets),
            recorded=len(recorded),
            unlisted=sorted(recorded - {target.name for target in self.targets}),
            list_offset=follower.offset if follower else None,
            list_age_ms=follower.age_ms() if follower else None,
            log_available_ms=self._hosts_follower.available_for_ms(),
            uptime_ms=self._clock.now_ms() - self._created_ms,
        )

    def _update_coordinator(self) -> None:
        self.submissions.coordinator_changed(
            self._coordinator_discovery.find_coordinator()
        )
        self.stored.coordinator_changed(self._coordinator_discovery.find_holder())

    def _is_connected(self, peer: HostName) -> bool:
        # A disconnected peer has no time since its last message.
        return self._mesh.silent_ms(peer) is not None

    def _send_stored(self, to: HostName, message: StoredMessage) -> bool:
        return self._mesh.send(to, message).is_ok()

    def _send(self, to: HostName, message: SubmitPoolJob | CancelSubmission) -> bool:
        if to != self.name:
            return self._mesh.send(to, message).is_ok()
        return self._role.handle_message(to, message)

    def _answer(self, owner: HostName, answer: SubmissionAnswer) -> None:
        if owner == self.name:
            self._reactor.callLater(0, self.submissions.answer_received, owner, answer)
        else:
            self._mesh.send(owner, answer)

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        paused_ms, self._last_tick_ms = now_ms - self._last_tick_ms, now_ms
        if paused_ms > self._settings.longest_pause_ms:
            self._handle_pause(paused_ms)
        for peer in self._peer_states.disconnected_longer_than(
            self._settings.owner_grace_ms, now_ms
        ):
            self.peer_lost(peer)
        self._hand_over_if_due(now_ms)
        self._ask_peers_if_holder_lost(now_ms)
        self._claim_if_due(now_ms)
        self._step_down_if_due()
        self._begin_deputy_if_due(now_ms)
        self._reclaim_targets_if_due(now_ms)
        self._record_targets(now_ms)
        self._loss_recorder.update(may_delete=self._role.is_holding)
        if self.coordinator is not None:
            self.coordinator.set_unheard_owners(self._silent_peers())
            self._confirm_term_if_needed(now_ms)
            self.coordinator.tick()
        self.submissions.tick()
        self.stored.set_isolated(self._may_be_superseded(now_ms))
        self.stored.tick()

    def _handle_pause(self, paused_ms: float) -> None:
        """Step down and resign after this process did not run for ``paused_ms``.

        The leases have expired meanwhile, and another host may have taken over. The
        time that all hosts must agree before target records are deleted starts anew.
        """
        log_message("pool:paused", level="warning", for_ms=int(paused_ms))
        self._agreement.record(False, self._clock.now_ms())
        self._role.step_down()
        self._election.resign()
        self.submissions.end_all_locally("host was paused")

    def _hears_holder_keeping_term(self) -> bool:
        """Tell whether this host hears the holder and the holder keeps its term.

        If this host is the holder, it does not keep its term while it drains or hands
        over to a larger host. Peers receive this as ``PoolHeartbeat.hears_holder``.
        """
        return self._coordinator_discovery.hears_holder_keeping_term(
            self.is_draining or self._is_handing_over
        )

    def _offered_cpu_milli(self, now_ms: float) -> int:
        """Return the CPU offered for coordinating, 0 if this host may not claim."""
        may_claim = not self.is_draining and self._log_availability.is_stable(now_ms)
        return self._find_cpu_milli() if may_claim else 0

    def _hand_over_if_due(self, now_ms: float) -> None:
        """Offer the next term to a much larger host, or withdraw the offer."""
        offered = self._peer_states.offered_cpu_milli() if self._role.is_holding else {}
        self._handover.cpu_milli = self._find_cpu_milli()
        is_due = self._handover.is_due(now_ms, offered)
        if is_due != self._is_handing_over:
            self._is_handing_over = is_due
            self._mesh.send_heartbeats()

    def _ask_peers_if_holder_lost(self, now_ms: float) -> None:
        """Ask the peers of a large site for their state once the holder is lost."""
        hears_holder = (
            not self._pacing.has_rare_pairs() or self._hears_holder_keeping_term()
        )
        if self._peer_answers.record(hears_holder, now_ms):
            self._mesh.send_heartbeats()

    def _reachable_peers(self, now_ms: float) -> list[HostName]:
        """Return the connected peers without those that don't answer any more."""
        return [
            peer
            for peer in self._mesh.peers()
            if self._peer_answers.is_reachable(self._mesh.silent_ms(peer), now_ms)
        ]

    def _claim_if_due(self, now_ms: float) -> None:
        """Claim the next term if the election says so and the log is stable.

        A holder must be registered, since others delete records of targets once all
        registered hosts follow them.
        """
        if self.is_draining or self.awaits_requests:
            return
        if self._registration.offset is None:
            return
        if not self._log_availability.is_stable(now_ms):
            return
        term = self._election.term
        may_keep_term = (
            self._hears_holder_keeping_term() or self._first_contact.is_pending(term)
        )
        hearing_peers, offered = {}, {}
        if not may_keep_term:
            hearing_peers = {
                peer: hears
                and self._peer_answers.has_answered(self._mesh.silent_ms(peer), now_ms)
                for peer, hears in self._peer_states.hearing_holder(
                    term.offset if term else -1
                ).items()
            }
            offered = self._peer_states.offered_cpu_milli()
            offered[self.name] = self._find_cpu_milli()
        if not self._election.should_claim(
            now_ms, may_keep_term, hearing_peers, offered
        ):
            return
        if term is None or self._peer_answers.is_time_over():
            self._term_claimer.claim()
        else:
            self._election.claim_failed()

    def _step_down_if_due(self) -> None:
        """Stop coordinating if another host has taken over.

        A holder also resigns, so it must claim a new term to coordinate again. Only a
        general deputy steps down because all targets refuse its token: it has
        superseded the holder of its term, so hearing that holder doesn't end its role.
        """
        if self.coordinator is None:
            return
        is_fenced_general_deputy = (
            self._role.is_general and self._role.is_fenced_everywhere()
        )
        if (
            not is_fenced_general_deputy
            and not self._coordinator_discovery.must_step_down()
        ):
            return
        if self._role.is_holding:
            log_message("pool:yielded", token=self._role.token)
            self._election.resign()
        else:
            log_message("pool:deputy_ended", token=self._role.token)
        self._role.step_down()
        self._update_coordinator()
        self._mesh.send_heartbeats()

    def _begin_deputy_if_due(self, now_ms: float) -> None:
        """Become the deputy of this data centre, or of all data centres.

        The deputy of all data centres is called the general deputy.
        """
        is_eligible = self._is_eligible_deputy()
        connected = self._reachable_peers(now_ms) if is_eligible else ()
        is_eligible_without_log = is_eligible and self._log_availability.is_unavailable(
            now_ms
        )
        if self._deputy_activation.should_become_deputy(is_eligible, connected, now_ms):
            self._begin_deputy(is_general=False)
        elif self._deputy_activation.should_become_general_deputy(
            is_eligible_without_log, self.term, connected, now_ms
        ):
            self._begin_deputy(is_general=True)

    def _is_eligible_deputy(self) -> bool:
        """Tell whether this host could coordinate and cannot hear the term's holder.

        A deputy's token is derived from the term and from the log offset of its
        registration, so both must be known. It must have read the log up to there, so
        that it knows all retired targets of which the holder expects it to know.
        """
        offset, end = self._registration.offset, self._election.log_end_offset
        can_derive_token = self.term is not None and offset is not None
        has_read_log = can_derive_token and end is not None and end > offset
        is_available = (
            not self.is_draining
            and not self.awaits_requests
            and self.coordinator is None
        )
        return (
            has_read_log
            and is_available
            and not self._coordinator_discovery.hears_holder()
            and not self._first_contact.is_pending(self.term)
        )

    def _begin_deputy(self, is_general: bool) -> None:
        self._role.begin_deputy(self.term, self._registration.offset, is_general)
        token = self._role.token
        if is_general:
            self._peer_states.record_general_token(token)
        log_message(
            "pool:deputy", token=token, term=self.term.offset, is_general=is_general
        )
        self._log_coordination()
        self._update_coordinator()
        self._mesh.send_heartbeats()

    def _reclaim_targets_if_due(self, now_ms: float) -> None:
        """Claim a new term to reclaim the targets of a deputy that has ended.

        The targets refuse tokens lower than the deputy's. The token of a new term is
        higher. Only the holder claims, for data centres whose targets refuse its token:
        soon where hosts follow it again, later elsewhere.
        """
        if not self._role.is_holding or self.is_draining:
            return
        if self._log_availability.is_unavailable(now_ms):
            return
        following_holder = self._peer_states.data_centres_following_holder() | {
            self.name.data_centre
        }
        if is_reclaim_due(self.coordinator.fenced_since_ms(), following_holder, now_ms):
            self._term_claimer.claim()

    def _record_targets(self, now_ms: float) -> None:
        """Record the targets that the coordinator waits to use, if this is the holder.

        A holder that drains records no more, so that its successor's claim, which also
        depends on the end of the log, is not refused for a record.
        """
        if not self._role.is_holding or self.is_draining:
            self._agreement.record(False, now_ms)
            return
        has_retired = bool(self._target_records.retired())
        have_agreed = self._agreement.record(
            has_retired and self._hosts_agree(now_ms), now_ms
        )

        def find_deletable(retired: dict[str, int]) -> list[str]:
            return [
                name
                for name, offset in retired.items()
                if have_agreed and self._have_all_read(offset)
            ]

        self._target_recorder.update(
            self.coordinator.unrecorded_targets(),
            self.coordinator.missing_targets,
            find_deletable,
        )

    def _targets_recorded(self) -> None:
        if self.coordinator is not None:
            self.coordinator.records_changed()

    def _have_all_read(self, offset: int) -> bool:
        """Tell whether all registered hosts have read the log beyond ``offset``."""
        readers = self._peer_states.hosts_with_log_end(offset + 1)
        return self._registry.host_ids() <= readers | {host_id(self.name)}

    def _hosts_agree(self, now_ms: float) -> bool:
        """Tell whether all registered hosts are heard and follow the newest term."""
        return (
            self._log_availability.is_stable(now_ms)
            and self._hears_holder_keeping_term()
            and self._all_hosts_follow()
        )

    def _all_hosts_follow(self) -> bool:
        following = self._peer_states.followers(self.term) | {host_id(self.name)}
        return self._registry.host_ids() <= following

    def _confirm_term_if_needed(self, now_ms: float) -> None:
        """Find out for the coordinator whether its term is over, where tasks wait.

        The log tells. While it is away, hosts that all follow this one do: what each of
        them last said was sent after the time that counts as confirmed.
        """
        if not self._role.is_holding or not self.coordinator.needs_term_confirmation:
            return
        confirmed_ms = [self._hosts_follower.current_as_of_ms]
        if self._term_confirmation.confirmed_ms is not None:
            confirmed_ms.append(self._term_confirmation.confirmed_ms)
        if self._all_hosts_follow() and not self._silent_peers():
            delay_ms = self._settings.longest_pause_ms + SILENT_AFTER_MS
            confirmed_ms.append(now_ms - delay_ms)
        self.coordinator.confirm_term(max(confirmed_ms))
        if self.coordinator.needs_term_confirmation:
            self._term_confirmation.request()

    def _silent_peers(self) -> list[HostName]:
        """Return the peers that are disconnected or have sent nothing lately."""
        silence_ms_by_peer = {
            peer: self._mesh.silent_ms(peer) for peer in self._mesh.peers()
        }
        silent = [
            peer
            for peer, ms in silence_ms_by_peer.items()
            if ms is None or ms > SILENT_AFTER_MS
        ]
        return [*silent, *self._peer_states.disconnected_peers()]

    def _may_be_superseded(self, now_ms: float) -> bool:
        """Tell whether another host may have begun a term that this host has not seen.

        That is excluded while this host has read the log to its end within
        ``seclusion_ms``, or while it hears all registered hosts.
        """
        if now_ms - self._hosts_follower.current_as_of_ms < self._timing.seclusion_ms:
            return False
        heard = self._peer_states.host_ids() | {host_id(self.name)}
        return not self._registry.host_ids() <= heard
