"""A host of pools: receives jobs, and coordinates while it holds the term."""

__all__ = ["PoolHost", "PoolHostSettings"]

import random
from collections.abc import Iterable, Sequence

from eliot import log_message
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorCore
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from hibiscusstack.clock import Clock
from hibiscusstack.dispatch.messages import Hello, HostName, Message
from hibiscusstack.exceptions import DecodeError
from hibiscusstack.host import Mesh, MeshTiming, PeerAddress, TcpNetwork
from hibiscusstack.pool.coordinator import Coordinator
from hibiscusstack.pool.deputies import choose_deputy, deputy_token, term_token
from hibiscusstack.pool.election import Election, Term
from hibiscusstack.pool.events import PoolEvents
from hibiscusstack.pool.following import TopicFollower
from hibiscusstack.pool.host_records import (
    TERM_KEY,
    HostRecord,
    decode_host,
    decode_term,
    encode_host,
    encode_term,
    host_key,
)
from hibiscusstack.pool.host_settings import PoolHostSettings
from hibiscusstack.pool.interfaces import (
    Appended,
    AppendRefused,
    KeyedRecord,
    SequencedLog,
)
from hibiscusstack.pool.messages import (
    AskStored,
    CancelSubmission,
    PoolHeartbeat,
    StoredAnswer,
    SubmissionAnswer,
    SubmitPoolJob,
)
from hibiscusstack.pool.ordering import OrderingPolicy
from hibiscusstack.pool.orders import TargetOrders
from hibiscusstack.pool.receiving import Receiver
from hibiscusstack.pool.stored.keeper import KeeperTiming
from hibiscusstack.pool.stored.service import StoredJobs
from hibiscusstack.pool.targets import ListedTarget
from hibiscusstack.pool.timing import CoordinatorTiming
from hibiscusstack.pool.vanished import VanishedTargets

HOSTS_TOPIC = "hosts"
HOSTS_WAIT_MS = 1_000
LONGEST_DIAL_DELAY_MS = 500
TOUCH_MS = 1_300
SETTLING_MS = 700
TICK_MS = 10
RECENT_MS = 30_000
UNHEARD_MS = 250
DEPUTY_PATIENCE_MS = 100
FENCED_PATIENCE_MS = 100
LONGEST_FENCED_MS = 1_500


class PoolHost:
    """One host of a site whose targets keep leases.

    It lists itself in the log, meets its peers, elects the coordinator with them and
    is the coordinator while the newest term is its own. While its data centre is cut
    off from the coordinator, it may stand in for that one there.
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
        stored_timing: KeeperTiming | None = None,
        events: PoolEvents | None = None,
        ordering: OrderingPolicy | None = None,
    ) -> None:
        self.is_draining = False
        self.coordinator: Coordinator | None = None
        self._events = events or PoolEvents()
        self.receiver = Receiver(clock, self._send, self._events)
        self._timing = timing or CoordinatorTiming()
        self._ordering = ordering
        self._settings = settings
        self._reactor = reactor
        self._clock = clock
        self._log = log
        self._orders = orders
        self._targets: tuple[ListedTarget, ...] = ()
        self._recent_targets: dict[str, ListedTarget] = {}
        self._vanished = VanishedTargets(self._timing.quiet_bound_ms)
        self._election = Election(settings.name, settings.patience_ms)
        self._hears: dict[HostName, PoolHeartbeat] = {}
        self._away_since_ms: dict[HostName, float] = {}
        self._ticked_ms = clock.now_ms()
        self._listing_offset: int | None = None
        self._alone_since_ms: float | None = None
        self._is_claiming = False
        self._read_ms: float | None = None
        self._in_touch_since_ms: float | None = None
        self._hosts: dict[str, HostRecord] = {}
        self._mesh = Mesh(
            hello=Hello(settings.name, settings.address, settings.port),
            events=self,
            network=TcpNetwork(reactor, settings.connect_timeout_ms),
            reactor=reactor,
            clock=clock,
            timing=MeshTiming(
                heartbeat_ms=settings.heartbeat_ms,
                silence_ms=settings.silence_ms,
                far_heartbeat_ms=settings.heartbeat_ms,
                far_silence_ms=settings.silence_ms,
                lost_after_ms=settings.silence_ms,
                longest_dial_delay_ms=LONGEST_DIAL_DELAY_MS,
            ),
            rng=random.Random(settings.name.incarnation),
        )
        self.stored = StoredJobs(
            own=settings.name,
            reactor=reactor,
            clock=clock,
            log=log,
            send=self._send_stored,
            timing=stored_timing,
        )
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
        return self._targets

    @property
    def term(self) -> Term | None:
        """The newest term that this host knows."""
        return self._election.term

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
        self._targets = tuple(targets)
        now_ms = self._clock.now_ms()
        self._vanished.replace_listed([each.name for each in self._targets], now_ms)
        self._recent_targets.update({each.name: each for each in self._targets})
        for name in self._vanished.left_before(now_ms - RECENT_MS):
            self._recent_targets.pop(name, None)
        if self._is_deputy():
            self.coordinator.replace_targets(self._own_targets())
        elif self.coordinator is not None:
            self.coordinator.replace_targets(self._targets)

    def is_serving(self) -> bool:
        """Tell whether a job received now would reach the coordinator."""
        return self._find_holder() is not None and not self.is_draining

    def heartbeat(self) -> PoolHeartbeat:
        """Return what peers have to know of this host."""
        term = self._election.term
        return PoolHeartbeat(
            term=term.offset if term else -1,
            holder=term.holder if term else None,
            hears_holder=self._hears_staying_holder(),
            is_draining=self.is_draining,
            is_deputy=self._is_deputy(),
            has_stored=self.stored.has_jobs,
        )

    def peer_connected(self, peer: HostName) -> None:
        """Hand jobs over if the peer is the coordinator."""
        self._away_since_ms.pop(peer, None)
        self.receiver.connection_replaced(peer)
        self._find_coordinator()

    def peer_disconnected(self, peer: HostName) -> None:
        """Wait for the peer for a while; then its work is stopped."""
        self._hears.pop(peer, None)
        self._away_since_ms.setdefault(peer, self._clock.now_ms())
        self._find_coordinator()

    def peer_lost(self, peer: HostName) -> None:
        """Stop the work of a peer that is gone."""
        self._away_since_ms.pop(peer, None)
        if self.coordinator is not None:
            self.coordinator.owner_lost(peer)

    def peer_message(self, sender: HostName, message: Message) -> None:
        """Act on one message of a peer."""
        if isinstance(message, PoolHeartbeat):
            before = self._hears.get(sender)
            self._hears[sender] = message
            self.stored.has_jobs |= message.has_stored
            if message.is_deputy != (before is not None and before.is_deputy):
                self._find_coordinator()
            if message.holder is not None:
                self._take_term(Term(message.term, message.holder))
        elif isinstance(message, SubmissionAnswer):
            self.receiver.answered(sender, message)
        elif isinstance(message, AskStored | StoredAnswer):
            self.stored.take_message(sender, message)
        elif self.coordinator is None:
            return
        elif isinstance(message, SubmitPoolJob):
            self.coordinator.submit(sender, message)
        elif isinstance(message, CancelSubmission):
            self.coordinator.cancel(sender, message.submission)

    def _begin(self, _: object) -> None:
        self._mesh.start()
        self._follower.start()
        self._list_itself()
        self._ticking.start(TICK_MS / 1000, now=False)

    def _list_itself(self) -> None:
        settings = self._settings
        record = HostRecord(settings.name, settings.address, settings.port)
        key = host_key(settings.name)
        appended = self._log.append(HOSTS_TOPIC, key, encode_host(record))
        appended.addCallbacks(self._listed_itself, self._list_again)

    def _listed_itself(self, result: Appended) -> None:
        self._listing_offset = result.offset

    def _list_again(self, failure: Failure) -> None:
        log_message("pool:listing_failed", cause=failure.getErrorMessage())
        self._reactor.callLater(0.5, self._list_itself)

    def _note_read(self, end: int) -> None:
        """Note that the log was read, and after which silence."""
        self._election.note_end(end)
        now_ms = self._clock.now_ms()
        if self._read_ms is not None and now_ms - self._read_ms > TOUCH_MS:
            self._in_touch_since_ms = now_ms
        self._read_ms = now_ms

    def _is_in_touch(self, now_ms: float) -> bool:
        """Tell whether the log is read, and peers had time to be heard again.

        Otherwise a host that was cut off would claim a term as soon as it is back.
        """
        if self._read_ms is None or now_ms - self._read_ms > TOUCH_MS:
            return False
        since_ms = self._in_touch_since_ms
        return since_ms is None or now_ms - since_ms >= SETTLING_MS

    def _take_records(self, records: Sequence[KeyedRecord], is_whole: bool) -> None:
        if is_whole:
            self._hosts.clear()
        for record in records:
            try:
                self._take_record(record)
            except DecodeError as error:
                log_message("pool:record_refused", level="warning", cause=str(error))
        addresses = [
            PeerAddress(host.address, host.port)
            for host in self._hosts.values()
            if host.name != self._settings.name
        ]
        self._mesh.replace_listed(addresses)

    def _take_record(self, record: KeyedRecord) -> None:
        holder = decode_term(record)
        if holder is not None:
            self._take_term(Term(record.offset, holder))
            return
        host = decode_host(record)
        if host is not None:
            self._hosts[record.key] = host
        elif record.value is None:
            self._hosts.pop(record.key, None)

    def _take_term(self, term: Term) -> None:
        if not self._election.note_term(term):
            return
        self._events.counters.terms += 1
        log_message("pool:term", token=term.offset, holder=term.holder.name)
        coordinator = self.coordinator
        is_own = self._election.is_holder
        if is_own and coordinator is not None and not coordinator.is_deputy:
            coordinator.renew(term_token(term.offset))
        else:
            self._step_down()
            if is_own:
                self._coordinate(term)
            # A host that holds one term after another may have forgotten its jobs.
            self.receiver.coordinator_changed(None)
        self._mesh.send_heartbeats()
        self._find_coordinator()

    def _step_down(self) -> None:
        if self.coordinator is not None:
            self.coordinator.step_down()
            self.stored.stand_down()
            self.coordinator = None

    def _coordinate(self, term: Term) -> None:
        self.coordinator = Coordinator(
            token=term_token(term.offset),
            clock=self._clock,
            orders=self._orders,
            send_answer=self._answer,
            timing=self._timing,
            events=self._events,
            ordering=self._ordering,
            missing=self._vanished.names(),
        )
        self.coordinator.journal = self.stored.coordinate(
            term.offset + 1, self.coordinator
        )
        self.coordinator.replace_targets(self._targets)

    def _hears_holder(self) -> bool:
        term = self._election.term
        if term is None:
            return False
        if term.holder == self._settings.name:
            return self.coordinator is not None and not self.coordinator.is_deputy
        return self._mesh.silent_ms(term.holder) is not None

    def _hears_staying_holder(self) -> bool:
        """Tell whether the holder is heard and does not want to hand over."""
        term = self._election.term
        if term is None or not self._hears_holder():
            return False
        if term.holder == self._settings.name:
            return not self.is_draining
        beat = self._hears.get(term.holder)
        if beat is None:
            return True
        has_resigned = beat.term == term.offset and not beat.hears_holder
        return not (beat.is_draining or has_resigned)

    def _find_coordinator(self) -> None:
        self.receiver.coordinator_changed(self._find_holder())
        term = self._election.term
        holder = term.holder if term and self._hears_holder() else None
        self.stored.coordinator_changed(holder)

    def _send_stored(self, to: HostName, message: AskStored | StoredAnswer) -> bool:
        return self._mesh.send(to, message).is_ok()

    def _find_holder(self) -> HostName | None:
        """Return the coordinator, or else the deputy that stands in for it here."""
        term = self._election.term
        if term is not None and self._hears_holder():
            return term.holder
        if self._is_deputy():
            return self._settings.name
        deputies = [
            peer
            for peer, beat in self._hears.items()
            if beat.is_deputy and peer.data_centre == self._settings.name.data_centre
        ]
        return min(deputies, default=None)

    def _is_deputy(self) -> bool:
        return self.coordinator is not None and self.coordinator.is_deputy

    def _stand_in_if_due(self, now_ms: float) -> None:
        """Become the deputy of a data centre that is cut off, or cease to be."""
        if self._is_deputy():
            if self._hears_holder():
                log_message("pool:deputy_ended")
                self._step_down()
                self._find_coordinator()
                self._mesh.send_heartbeats()
            return
        if not self._may_stand_in():
            self._alone_since_ms = None
        elif self._alone_since_ms is None:
            self._alone_since_ms = now_ms
        elif now_ms - self._alone_since_ms >= DEPUTY_PATIENCE_MS:
            self._stand_in()

    def _may_stand_in(self) -> bool:
        if self._election.term is None or self._listing_offset is None:
            return False
        if self.is_draining or self.coordinator is not None or self._hears_holder():
            return False
        if any(beat.is_deputy for beat in self._hears.values()):
            return False
        own = self._settings.name
        listed = {
            (host.name.data_centre, host.name.name) for host in self._hosts.values()
        }
        staying = [p for p in self._mesh.peers() if not self._is_leaving(p)]
        return choose_deputy(own, listed, staying) == own

    def _is_leaving(self, peer: HostName) -> bool:
        beat = self._hears.get(peer)
        return beat is not None and beat.is_draining

    def _stand_in(self) -> None:
        term = self._election.term
        token = deputy_token(term.offset, self._listing_offset)
        log_message("pool:deputy", token=token, term=term.offset)
        self.coordinator = Coordinator(
            token=token,
            clock=self._clock,
            orders=self._orders,
            send_answer=self._answer,
            timing=self._timing,
            events=self._events,
            ordering=self._ordering,
            is_deputy=True,
            voids_ends=self.stored.has_jobs,
        )
        self.coordinator.replace_targets(self._own_targets())
        self._find_coordinator()
        self._mesh.send_heartbeats()

    def _own_targets(self) -> list[ListedTarget]:
        """Return the targets of this data centre, listed or missing since the cut."""
        own = self._settings.name.data_centre
        return [
            target
            for target in self._recent_targets.values()
            if target.data_centre == own
        ]

    def _retake_fenced(self, now_ms: float) -> None:
        """Claim a new term to take back the targets of a deputy that has ended."""
        coordinator = self.coordinator
        if coordinator is None or coordinator.is_deputy or self.is_draining:
            return
        back = {
            peer.data_centre
            for peer, beat in self._hears.items()
            if not beat.is_deputy and beat.hears_holder
        }
        back.add(self._settings.name.data_centre)
        for data_centre, since_ms in coordinator.fenced_since_ms().items():
            fenced_ms = now_ms - since_ms
            is_over = data_centre in back and fenced_ms >= FENCED_PATIENCE_MS
            if is_over or fenced_ms >= LONGEST_FENCED_MS:
                self._claim(self._election.end)
                return

    def _send(self, to: HostName, message: SubmitPoolJob | CancelSubmission) -> bool:
        if to != self._settings.name:
            return self._mesh.send(to, message).is_ok()
        if self.coordinator is None:
            return False
        if isinstance(message, SubmitPoolJob):
            self.coordinator.submit(to, message)
        else:
            self.coordinator.cancel(to, message.submission)
        return True

    def _answer(self, owner: HostName, answer: SubmissionAnswer) -> None:
        if owner == self._settings.name:
            self._reactor.callLater(0, self.receiver.answered, owner, answer)
        else:
            self._mesh.send(owner, answer)

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        paused_ms, self._ticked_ms = now_ms - self._ticked_ms, now_ms
        if paused_ms > self._settings.longest_pause_ms:
            self._resume_after(paused_ms)
        for peer, since_ms in list(self._away_since_ms.items()):
            if now_ms - since_ms > self._settings.owner_grace_ms:
                self.peer_lost(peer)
        self._claim_if_due(now_ms)
        self._stand_in_if_due(now_ms)
        self._retake_fenced(now_ms)
        self._forget_vanished(now_ms)
        if self.coordinator is not None:
            self.coordinator.note_unheard(self._unheard_peers())
            self.coordinator.tick()
        self.receiver.tick()
        self.stored.note_seclusion(self._is_secluded())
        self.stored.tick()

    def _forget_vanished(self, now_ms: float) -> None:
        coordinator = self.coordinator
        is_waiting = coordinator is not None and coordinator.has_missing
        matters = is_waiting or bool(self._vanished)
        is_united = matters and self._is_united(now_ms)
        is_quiet = self._vanished.note_hosts(is_united, now_ms)
        if is_quiet and coordinator is not None:
            coordinator.forget_missing()

    def _is_united(self, now_ms: float) -> bool:
        """Tell whether all listed hosts are heard and follow the newest term."""
        term = self._election.term
        if not self._is_in_touch(now_ms) or not self._hears_staying_holder():
            return False
        own = self._settings.name
        following = {
            (peer.data_centre, peer.name)
            for peer, beat in self._hears.items()
            if beat.term == term.offset and beat.hears_holder and not beat.is_deputy
        }
        following.add((own.data_centre, own.name))
        return following >= {
            (host.name.data_centre, host.name.name) for host in self._hosts.values()
        }

    def _is_secluded(self) -> bool:
        """Tell whether an unheard host may have begun a term some time ago."""
        unknown_ms = self._clock.now_ms() - self._follower.known_ms
        if unknown_ms < self._timing.seclusion_ms:
            return False
        heard = {(peer.data_centre, peer.name) for peer in self._hears}
        own = self._settings.name
        heard.add((own.data_centre, own.name))
        listed = {
            (host.name.data_centre, host.name.name) for host in self._hosts.values()
        }
        return not listed <= heard

    def _resume_after(self, paused_ms: float) -> None:
        """Give up the term: its leases have lapsed, and others may have taken over."""
        log_message("pool:paused", level="warning", for_ms=int(paused_ms))
        self._vanished.note_hosts(False, self._clock.now_ms())
        self._step_down()
        self._election.resign()
        self.receiver.refuse_all("host was paused")

    def _unheard_peers(self) -> list[HostName]:
        silent = {peer: self._mesh.silent_ms(peer) for peer in self._mesh.peers()}
        late = [peer for peer, ms in silent.items() if ms is None or ms > UNHEARD_MS]
        return [*late, *self._away_since_ms]

    def _claim_if_due(self, now_ms: float) -> None:
        if self.is_draining or not self._is_in_touch(now_ms):
            return
        term = self._election.term
        known = term.offset if term else -1
        hears = {
            peer: beat.hears_holder and beat.term >= known
            for peer, beat in self._hears.items()
            if not beat.is_draining
        }
        hears_holder = self._hears_staying_holder()
        if not self._election.should_claim(now_ms, hears_holder, hears):
            return
        self._claim(self._election.end)

    def _claim(self, end: int) -> None:
        if self._is_claiming:
            return
        self._is_claiming = True
        log_message("pool:claiming", at=end)
        value = encode_term(self._settings.name)
        claimed = self._log.append(HOSTS_TOPIC, TERM_KEY, value, at=end)
        claimed.addBoth(self._claim_ended)
        claimed.addCallbacks(self._claimed, self._claim_failed)

    def _claim_ended(self, result: object) -> object:
        self._is_claiming = False
        return result

    def _claimed(self, result: Appended | AppendRefused) -> None:
        if isinstance(result, Appended):
            self._take_term(Term(result.offset, self._settings.name))
        else:
            self._election.claim_settled()

    def _claim_failed(self, failure: Failure) -> None:
        log_message("pool:claim_failed", cause=failure.getErrorMessage())
        self._election.claim_settled()
