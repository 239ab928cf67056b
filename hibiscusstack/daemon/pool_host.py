"""A host of pools: receives jobs, and coordinates while it holds the term."""

__all__ = ["PoolHost", "PoolHostSettings"]

from collections.abc import Iterable, Sequence

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
from hibiscusstack.pool.events import PoolEvents
from hibiscusstack.pool.handover import Handover
from hibiscusstack.pool.host_records import HostRecord
from hibiscusstack.pool.host_registry import HostRegistry, host_id
from hibiscusstack.pool.host_settings import PoolHostSettings
from hibiscusstack.pool.interfaces import KeyedRecord, SequencedLog
from hibiscusstack.pool.log_availability import LogAvailability
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
from hibiscusstack.pool.peer_states import PeerStates
from hibiscusstack.pool.receiving import Receiver
from hibiscusstack.pool.recent_targets import RecentTargets
from hibiscusstack.pool.stored.manager import StoredJobTiming
from hibiscusstack.pool.stored.service import StoredJobService, StoredMessage
from hibiscusstack.pool.target_reclaim import is_reclaim_due
from hibiscusstack.pool.targets import ListedTarget
from hibiscusstack.pool.timing import CoordinatorTiming
from hibiscusstack.pool.topic_follower import TopicFollower
from hibiscusstack.pool.unlisted_targets import UnlistedTargets

HOSTS_WAIT_MS = 1_000
TICK_MS = 10
UNHEARD_MS = 250


class PoolHost:
    """One host of a site whose targets keep leases.

    It lists itself in the log, meets its peers, elects the coordinator with them and
    is the coordinator while the newest term is its own. While its data centre is cut
    off from the coordinator, it may stand in for that one there; while nobody reaches
    the log, for all.
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
    ) -> None:
        own = settings.name
        self.is_draining = False
        self._events = events or PoolEvents()
        self.receiver = Receiver(clock, self._send, self._events)
        self._timing = timing or CoordinatorTiming()
        self._settings = settings
        self._reactor = reactor
        self._clock = clock
        self._ticked_ms = clock.now_ms()
        vanished = UnlistedTargets(self._timing.max_orphan_run_ms)
        self._targets = RecentTargets(vanished)
        self._listing = HostRegistry(own)
        self._peers = PeerStates()
        self._contact = LogAvailability()
        self._mesh = build_pool_mesh(settings, self, reactor, clock)
        self.stored = StoredJobService(
            own=own,
            reactor=reactor,
            clock=clock,
            log=log,
            send=self._send_stored,
            timing=stored_timing,
        )
        self._office = CoordinatorRole(
            own=own,
            clock=clock,
            orders=orders,
            send_answer=self._answer,
            timing=self._timing,
            events=self._events,
            ordering=ordering,
            targets=self._targets,
            stored=self.stored,
        )
        self._election = Election(own, settings.patience_ms)
        self._holder = CoordinatorDiscovery(
            own, self._election, self._peers, self._office, self._is_connected
        )
        self._handover = Handover(settings.cpu_milli)
        self._hands_over = False
        self._standing_in = DeputyActivation(own, self._listing, self._peers)
        record = HostRecord(own, settings.address, settings.port)
        self._self_listing = HostRegistration(reactor, log, record)
        self._claims = TermClaimer(log, own, self._election, self._take_term)
        self._follower = TopicFollower(
            reactor,
            log,
            HOSTS_TOPIC,
            self._take_records,
            wait_ms=HOSTS_WAIT_MS,
            on_end=self._note_read,
            clock=clock,
        )
        self._ticking = LoopingCall(self._tick)
        self._ticking.clock = reactor

    @property
    def name(self) -> HostName:
        """Which host this is."""
        return self._settings.name

    @property
    def targets(self) -> tuple[ListedTarget, ...]:
        """The newest list of targets."""
        return self._targets.listed

    @property
    def term(self) -> Term | None:
        """The newest term that this host knows."""
        return self._election.term

    @property
    def coordinator(self) -> Coordinator | None:
        """What orders targets here, if this host holds the term or is a deputy."""
        return self._office.coordinator

    @coordinator.setter
    def coordinator(self, coordinator: Coordinator | None) -> None:
        self._office.coordinator = coordinator

    def start(self) -> Deferred[None]:
        """Listen for peers, list this host and begin to work."""
        return self._mesh.listen().addCallback(self._begin)

    def stop(self) -> None:
        """Close the connections to the peers, and order nothing any more."""
        if self._ticking.running:
            self._ticking.stop()
        self._follower.stop()
        self.stored.stop()
        self._mesh.stop()

    def drain(self) -> None:
        """Take no more jobs, and let another host coordinate."""
        self.is_draining = True
        self._mesh.send_heartbeats()

    def replace_targets(self, targets: Iterable[ListedTarget]) -> None:
        """Take over a newer list of targets."""
        self._targets.replace(targets, self._clock.now_ms())
        self._office.targets_changed()

    def is_serving(self) -> bool:
        """Tell whether a job received now would reach the coordinator."""
        return self._holder.find_coordinator() is not None and not self.is_draining

    def build_heartbeat(self) -> PoolHeartbeat:
        """Return what peers have to know of this host."""
        term = self._election.term
        return PoolHeartbeat(
            term=term.offset if term else -1,
            holder=term.holder if term else None,
            hears_holder=self._hears_staying_holder(),
            is_draining=self.is_draining,
            is_deputy=self._office.is_deputy,
            has_stored=self.stored.has_jobs,
            offered_cpu_milli=self._offered_cpu_milli(self._clock.now_ms()),
            is_general=self._office.is_general,
            token=self._office.token,
            general_token=self._peers.general_token,
            lacks_log=self._contact.is_unavailable(self._clock.now_ms()),
        )

    def peer_connected(self, peer: HostName) -> None:
        """Hand jobs over if the peer is the coordinator."""
        self._peers.connected(peer)
        self.receiver.connection_replaced(peer)
        self._find_coordinator()

    def peer_disconnected(self, peer: HostName) -> None:
        """Wait for the peer for a while; then its work is stopped."""
        self._peers.disconnected(peer, self._clock.now_ms())
        self._find_coordinator()

    def peer_lost(self, peer: HostName) -> None:
        """Stop the work of a peer that is gone."""
        self._peers.lost(peer)
        if self.coordinator is not None:
            self.coordinator.owner_lost(peer)

    def peer_message(self, sender: HostName, message: Message) -> None:
        """Act on one message of a peer."""
        if isinstance(message, PoolHeartbeat):
            self._take_heartbeat(sender, message)
        elif isinstance(message, SubmissionAnswer):
            self.receiver.answered(sender, message)
        elif isinstance(message, AskStored | StoredAnswer | StoredJobAccepted):
            self.stored.handle_message(sender, message)
        elif isinstance(message, SubmitPoolJob | CancelSubmission):
            self._office.handle_message(sender, message)

    def _begin(self, _: object) -> None:
        self._mesh.start()
        self._follower.start()
        self._self_listing.append()
        self._ticking.start(TICK_MS / 1000, now=False)

    def _note_read(self, end: int) -> None:
        self._election.note_end(end)
        self._contact.note_read(self._clock.now_ms())

    def _take_records(self, records: Sequence[KeyedRecord], is_whole: bool) -> None:
        for term in self._listing.apply_records(records, is_whole):
            self._take_term(term)
        self._mesh.replace_listed(self._listing.peer_addresses())

    def _take_heartbeat(self, sender: HostName, beat: PoolHeartbeat) -> None:
        was_deputy = self._peers.is_deputy(sender)
        is_change = self._peers.record_heartbeat(sender, beat)
        self.stored.has_jobs |= beat.has_stored
        if was_deputy and not beat.is_deputy:
            self.receiver.coordinator_left(sender)
        if is_change:
            self._find_coordinator()
        if beat.holder is not None:
            self._take_term(Term(beat.term, beat.holder))

    def _take_term(self, term: Term) -> None:
        if not self._election.note_term(term):
            return
        self._events.counters.terms += 1
        log_message("pool:term", token=term.offset, holder=term.holder.name)
        is_renewed = self._election.is_holder and self._office.is_holding
        if self._election.is_holder:
            self._office.begin_term(term)
        else:
            self._office.step_down()
        if not is_renewed:
            # A host that holds one term after another may have forgotten its jobs.
            self.receiver.coordinator_changed(None)
        self._mesh.send_heartbeats()
        self._find_coordinator()

    def _find_coordinator(self) -> None:
        self.receiver.coordinator_changed(self._holder.find_coordinator())
        self.stored.coordinator_changed(self._holder.heard_holder())

    def _is_connected(self, peer: HostName) -> bool:
        return self._mesh.silent_ms(peer) is not None

    def _send_stored(self, to: HostName, message: StoredMessage) -> bool:
        return self._mesh.send(to, message).is_ok()

    def _send(self, to: HostName, message: SubmitPoolJob | CancelSubmission) -> bool:
        if to != self.name:
            return self._mesh.send(to, message).is_ok()
        return self._office.handle_message(to, message)

    def _answer(self, owner: HostName, answer: SubmissionAnswer) -> None:
        if owner == self.name:
            self._reactor.callLater(0, self.receiver.answered, owner, answer)
        else:
            self._mesh.send(owner, answer)

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        paused_ms, self._ticked_ms = now_ms - self._ticked_ms, now_ms
        if paused_ms > self._settings.longest_pause_ms:
            self._resume_after(paused_ms)
        for peer in self._peers.disconnected_longer_than(
            self._settings.owner_grace_ms, now_ms
        ):
            self.peer_lost(peer)
        self._hand_over_if_due(now_ms)
        self._claim_if_due(now_ms)
        self._yield_if_due()
        self._stand_in_if_due(now_ms)
        self._retake_if_due(now_ms)
        self._forget_vanished(now_ms)
        if self.coordinator is not None:
            self.coordinator.set_unheard_owners(self._unheard_peers())
            self.coordinator.tick()
        self.receiver.tick()
        self.stored.set_isolated(self._is_secluded(now_ms))
        self.stored.tick()

    def _resume_after(self, paused_ms: float) -> None:
        """Give up the term: its leases have lapsed, and others may have taken over."""
        log_message("pool:paused", level="warning", for_ms=int(paused_ms))
        self._targets.unlisted.record_agreement(False, self._clock.now_ms())
        self._office.step_down()
        self._election.resign()
        self.receiver.refuse_all("host was paused")

    def _hears_staying_holder(self) -> bool:
        return self._holder.hears_holder_keeping_term(
            self.is_draining or self._hands_over
        )

    def _offered_cpu_milli(self, now_ms: float) -> int:
        """Return the processor for a coordinator, nothing without a chance to claim."""
        may_claim = not self.is_draining and self._contact.is_stable(now_ms)
        return self._settings.cpu_milli if may_claim else 0

    def _hand_over_if_due(self, now_ms: float) -> None:
        """Let a much larger host claim the next term."""
        offered = self._peers.offered_cpu_milli() if self._office.is_holding else {}
        is_due = self._handover.is_due(now_ms, offered)
        if is_due != self._hands_over:
            self._hands_over = is_due
            self._mesh.send_heartbeats()

    def _claim_if_due(self, now_ms: float) -> None:
        if self.is_draining or not self._contact.is_stable(now_ms):
            return
        term = self._election.term
        hears = self._peers.hearing_holder(term.offset if term else -1)
        offered = self._peers.offered_cpu_milli()
        offered[self.name] = self._settings.cpu_milli
        hears_holder = self._hears_staying_holder()
        if self._election.should_claim(now_ms, hears_holder, hears, offered):
            self._claims.claim()

    def _yield_if_due(self) -> None:
        """Cease to order targets where another host has followed."""
        if self.coordinator is None:
            return
        is_refused = self._office.is_general and self._office.is_fenced_everywhere()
        if not is_refused and not self._holder.must_step_down():
            return
        if self._office.is_holding:
            log_message("pool:yielded", token=self._office.token)
            self._election.resign()
        else:
            log_message("pool:deputy_ended", token=self._office.token)
        self._office.step_down()
        self._find_coordinator()
        self._mesh.send_heartbeats()

    def _stand_in_if_due(self, now_ms: float) -> None:
        """Become the deputy of this data centre, or of all."""
        is_free, connected = self._is_free(), self._mesh.peers()
        is_cut_off = is_free and self._contact.is_unavailable(now_ms)
        if self._standing_in.is_due(is_free, connected, now_ms):
            self._stand_in(is_general=False)
        elif self._standing_in.is_general_due(is_cut_off, self.term, connected, now_ms):
            self._stand_in(is_general=True)

    def _is_free(self) -> bool:
        """Tell whether this host could order targets, and knows no holder."""
        is_known = self.term is not None and self._self_listing.offset is not None
        is_idle = not self.is_draining and self.coordinator is None
        return is_known and is_idle and not self._holder.hears_holder()

    def _stand_in(self, is_general: bool) -> None:
        self._office.begin_deputy(self.term, self._self_listing.offset, is_general)
        token = self._office.token
        if is_general:
            self._peers.record_general_token(token)
        log_message(
            "pool:deputy", token=token, term=self.term.offset, is_general=is_general
        )
        self._find_coordinator()
        self._mesh.send_heartbeats()

    def _retake_if_due(self, now_ms: float) -> None:
        """Claim a new term to take back the targets of a deputy that has ended."""
        if not self._office.is_holding or self.is_draining:
            return
        if self._contact.is_unavailable(now_ms):
            return
        returned = self._peers.data_centres_following_holder() | {self.name.data_centre}
        if is_reclaim_due(self.coordinator.fenced_since_ms(), returned, now_ms):
            self._claims.claim()

    def _forget_vanished(self, now_ms: float) -> None:
        """Wait no more for targets that are missing once nobody else orders any."""
        coordinator, vanished = self.coordinator, self._targets.unlisted
        is_waiting = coordinator is not None and coordinator.has_missing
        is_united = (is_waiting or bool(vanished)) and self._is_united(now_ms)
        if vanished.record_agreement(is_united, now_ms) and coordinator is not None:
            coordinator.forget_missing()

    def _is_united(self, now_ms: float) -> bool:
        """Tell whether all listed hosts are heard and follow the newest term."""
        if not self._contact.is_stable(now_ms) or not self._hears_staying_holder():
            return False
        following = self._peers.followers(self.term) | {host_id(self.name)}
        return self._listing.host_ids() <= following

    def _unheard_peers(self) -> list[HostName]:
        silent = {peer: self._mesh.silent_ms(peer) for peer in self._mesh.peers()}
        late = [peer for peer, ms in silent.items() if ms is None or ms > UNHEARD_MS]
        return [*late, *self._peers.disconnected_peers()]

    def _is_secluded(self, now_ms: float) -> bool:
        """Tell whether an unheard host may have begun a term some time ago."""
        if now_ms - self._follower.current_as_of_ms < self._timing.seclusion_ms:
            return False
        heard = self._peers.host_ids() | {host_id(self.name)}
        return not self._listing.host_ids() <= heard
