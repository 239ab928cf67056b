"""All decisions of one host: methods handle events and return effects."""

__all__ = ["Engine"]

from collections import deque
from collections.abc import Iterable

import attrs

from hibiscusstack.clock import Clock
from hibiscusstack.dispatch.answers import (
    JobAnswer,
    Reason,
    not_run,
    outcome_unknown,
)
from hibiscusstack.dispatch.effects import (
    Answer,
    Effect,
    SendPeer,
    StartTask,
    TargetReply,
    TaskStates,
)
from hibiscusstack.dispatch.homes.assignment import assign_homes
from hibiscusstack.dispatch.homes.home import Home
from hibiscusstack.dispatch.homes.transfer import WorkTransfer
from hibiscusstack.dispatch.jobs import Job
from hibiscusstack.dispatch.loads import HomeLoad
from hibiscusstack.dispatch.messages import (
    BatchResults,
    CancelBatch,
    CancelJob,
    ForwardAnswer,
    ForwardJob,
    Heartbeat,
    HostName,
    Message,
    PlaceBatch,
    QueryBatch,
    RequestWork,
)
from hibiscusstack.dispatch.owners.owner import Owner
from hibiscusstack.dispatch.planning.planner import Planner
from hibiscusstack.dispatch.planning.policy_components import (
    PolicyComponents,
    make_policy_components,
)
from hibiscusstack.dispatch.policy.policy import Policy, with_policy_labels
from hibiscusstack.dispatch.submission.finished import FinishedJobs
from hibiscusstack.dispatch.submission.forwarding import ForwardedJobs
from hibiscusstack.dispatch.submission.ids import (
    Claim,
    ClaimRefusal,
    IdExpired,
    IdIssuer,
    parse_issued_id,
    reason_of_refusal,
)
from hibiscusstack.dispatch.targets import TargetInfo
from hibiscusstack.dispatch.views import QueueSnapshot, TargetSnapshot

DRAINING_RETRY_AFTER_MS = 0


@attrs.frozen
class _Waiter:
    """A request that awaits an answer.

    It came from a local caller if ``host`` is ``None``, and otherwise from ``host``.
    """

    request: int
    host: HostName | None = None


class Engine:
    """One host in its three roles: owner of jobs, home of targets and forwarder.

    Every event handler returns the effects that its caller has to carry out.
    Messages from this host to itself are delivered before the handler returns.
    """

    def __init__(
        self,
        name: HostName,
        clock: Clock,
        ids: IdIssuer,
        parts: PolicyComponents | None = None,
    ) -> None:
        parts = parts or make_policy_components()
        self.name = name
        self.ids = ids
        self.configuration_offset = 0
        self._clock = clock
        self._policy_in_force = parts.current_policy
        self._planner = Planner(name, parts)
        self._owner = Owner(name, self._planner)
        self._home = Home(name, parts.queue, parts.health)
        self._transfer = WorkTransfer(name)
        self._forwarding = ForwardedJobs()
        self._finished = FinishedJobs()
        self._callers: dict[str, str] = {}
        self._waiters: dict[str, list[_Waiter]] = {}
        self._listed_targets: tuple[TargetInfo, ...] = ()
        self._home_of: dict[str, HostName] = {}
        self._peers: dict[HostName, Heartbeat | None] = {}
        self._disconnected: set[HostName] = set()
        self._is_draining = False
        self._handlers = {
            PlaceBatch: self._home.place,
            CancelBatch: self._home.cancel,
            QueryBatch: self._home.query,
            BatchResults: self._receive_results,
            ForwardJob: self._receive_forwarded_job,
            ForwardAnswer: self._forwarding.answer_received,
            RequestWork: self._home.return_movable_tasks,
            CancelJob: self._owner.cancel_forwarded,
            Heartbeat: self._receive_heartbeat,
        }

    @property
    def is_draining(self) -> bool:
        """Tell whether this host is draining and refuses all new jobs."""
        return self._is_draining

    @property
    def is_idle(self) -> bool:
        """Tell whether no job or task is in progress and every request is answered."""
        return not (len(self._owner) or len(self._forwarding)) and self._home.is_idle

    def submit(self, request: int, job: Job) -> list[Effect]:
        """Accept a job from a caller; exactly one ``Answer`` to ``request`` follows.

        ``request`` must be unique. This host owns the job if it issued its id, and
        forwards it to the owner otherwise.
        """
        issued = parse_issued_id(job.job_id)
        if issued.is_error():
            reason = reason_of_refusal(issued.error)
            return [Answer(request, not_run(job.job_id, reason))]
        if issued.ok.owner == self.name:
            return self._deliver_local(self._accept(_Waiter(request), job))
        return self._forwarding.submit(
            request, job, issued.ok.owner, self._clock.now_ms()
        )

    def cancel(self, job_id: str, caller: str) -> list[Effect]:
        """Cancel a job for its caller, on this host or on the owner of the job."""
        issued = parse_issued_id(job_id)
        if issued.is_error():
            return []
        if issued.ok.owner != self.name:
            return [SendPeer(issued.ok.owner, CancelJob(job_id, caller))]
        return self._deliver_local(
            self._owner.cancel(job_id, caller, self._clock.now_ms())
        )

    def progress_of(self, job_id: str, caller: str) -> tuple[int, int] | None:
        """Return how many tasks of a caller's job have ended, and their total.

        Returns ``None`` unless the job is in progress on this host.
        """
        if job_id not in self._owner or self._callers.get(job_id) != caller:
            return None
        return self._owner.progress_of(job_id)

    def answer_of(self, job_id: str, caller: str) -> JobAnswer | None:
        """Return the answer to a caller's finished job, while this host keeps it."""
        return self._finished.get(job_id, caller)

    def receive(self, sender: HostName, message: Message) -> list[Effect]:
        """Handle a message from a peer."""
        return self._deliver_local(self._dispatch_message(sender, message))

    def target_replied(self, started: StartTask, reply: TargetReply) -> list[Effect]:
        """Handle the outcome of a ``StartTask`` effect."""
        now_ms = self._clock.now_ms()
        effects = self._home.target_replied(
            started.target, started.task_id, reply, now_ms
        )
        return self._deliver_local(effects)

    def task_states_received(self, states: TaskStates) -> list[Effect]:
        """Handle the outcome of a ``StopTasks`` effect."""
        now_ms = self._clock.now_ms()
        effects = self._home.task_states_received(states, now_ms)
        effects += self._owner.task_states_received(states, now_ms)
        return self._deliver_local(effects)

    def peer_connected(self, peer: HostName) -> list[Effect]:
        """Handle a new connection to a peer, the first one or a reconnection."""
        self._peers.setdefault(peer, None)
        self._disconnected.discard(peer)
        self._home.owner_connected(peer)
        effects = self._forwarding.owner_connected(peer)
        effects += self._owner.home_connected(peer)
        return self._deliver_local(effects + self._assign_homes())

    def peer_disconnected(self, peer: HostName) -> list[Effect]:
        """Handle the end of a connection to a peer that may connect again."""
        self._forwarding.owner_disconnected(peer)
        self._home.owner_disconnected(peer)
        self._disconnected.add(peer)
        return self._deliver_local(self._assign_homes())

    def peer_lost(self, peer: HostName) -> list[Effect]:
        """Handle the loss of a peer that has not connected again in time."""
        self._peers.pop(peer, None)
        self._disconnected.discard(peer)
        now_ms = self._clock.now_ms()
        effects = self._forwarding.owner_lost(peer)
        self._home.owner_disconnected(peer)
        effects += self._owner.home_lost(peer, now_ms)
        return self._deliver_local(effects + self._assign_homes())

    def targets_listed(self, targets: Iterable[TargetInfo]) -> list[Effect]:
        """Replace the targets by the platform's list for all data centres."""
        self._listed_targets = tuple(targets)
        return self._deliver_local(self._assign_homes())

    def apply_configuration(self, policy: Policy, offset: int) -> list[Effect]:
        """Apply a new version of the configuration."""
        self._policy_in_force.policy = policy
        self.configuration_offset = offset
        return self._deliver_local(self._assign_homes())

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat with the current state of this host."""
        load = self._home.load(self._clock.now_ms())
        return Heartbeat(
            configuration_offset=self.configuration_offset,
            is_draining=self._is_draining,
            free_slots=load.free_slots,
            queued_ms=load.queued_ms,
            targets=load.targets,
            slots=load.slots,
            ejected=load.ejected,
            queued_ms_by_class=load.queued_ms_by_class,
            free_by_target=load.free_by_target,
        )

    def view_targets(self) -> list[TargetSnapshot]:
        """Return the listed targets, labelled, in the order of the list."""
        return [
            TargetSnapshot(
                with_policy_labels(self._policy_in_force.policy, target),
                self._home_of.get(target.name),
                self._home.slots.running_count(target.name),
            )
            for target in self._listed_targets
        ]

    def view_peers(self) -> list[tuple[HostName, Heartbeat | None]]:
        """Return the peers that are not lost, with the last heartbeat of each."""
        return sorted(self._peers.items(), key=lambda item: item[0])

    def view_queue(self) -> list[QueueSnapshot]:
        """Return the tasks queued on this host, by class and team."""
        return self._home.view_queue()

    def drain(self) -> list[Effect]:
        """Refuse new jobs from now on, and return queued tasks to their owners."""
        self._is_draining = True
        effects = self._assign_homes()
        if self.name not in self._home_candidates(self.name.data_centre):
            effects += self._home.return_queued_tasks(self._clock.now_ms())
        return self._deliver_local(effects)

    def tick(self) -> list[Effect]:
        """Handle everything that is due; to be called every few milliseconds."""
        now_ms = self._clock.now_ms()
        self._finished.drop_expired(now_ms)
        self._refresh_own_load()
        effects = self._home.tick(now_ms)
        effects += self._owner.tick(now_ms)
        effects += self._forwarding.tick(now_ms)
        effects += self._transfer.tick(self._planner.loads, now_ms)
        return self._deliver_local(effects)

    def _accept(self, waiter: _Waiter, job: Job) -> list[Effect]:
        """Submit a job that this host owns, or attach a duplicate to the first."""
        claim = self.ids.claim(parse_issued_id(job.job_id).ok, job.caller)
        if claim.is_error():
            return self._reply(
                waiter, _answer_to_refused_claim(job.job_id, claim.error)
            )
        if claim.ok is Claim.JOINED:
            return self._attach_duplicate(waiter, job)
        self._callers[job.job_id] = job.caller
        self._waiters[job.job_id] = [waiter]
        if self._is_draining:
            answer = not_run(
                job.job_id,
                Reason.DRAINING,
                "this host is draining and accepts no new jobs",
                DRAINING_RETRY_AFTER_MS,
            )
            return self._finish_job(answer)
        self._refresh_own_load()
        return self._owner.submit(job, self._clock.now_ms())

    def _attach_duplicate(self, waiter: _Waiter, job: Job) -> list[Effect]:
        """Give a duplicate submission the answer of the first, now or when it ends."""
        if job.job_id in self._owner:
            waiters = self._waiters.setdefault(job.job_id, [])
            if waiter not in waiters:
                waiters.append(waiter)
            return []
        answer = self._finished.get(job.job_id, job.caller)
        if answer is None:
            detail = "the job has ended and its answer has expired"
            answer = outcome_unknown(job.job_id, Reason.ANSWER_EXPIRED, detail)
        return self._reply(waiter, answer)

    def _finish_job(self, answer: JobAnswer) -> list[Effect]:
        """Keep the answer of an ended job and send it to every waiting request."""
        caller = self._callers.pop(answer.job_id)
        self._finished.put(caller, answer, self._clock.now_ms())
        effects: list[Effect] = []
        for waiter in self._waiters.pop(answer.job_id, []):
            effects += self._reply(waiter, answer)
        return effects

    def _reply(self, waiter: _Waiter, answer: JobAnswer) -> list[Effect]:
        if waiter.host is None:
            return [Answer(waiter.request, answer)]
        return [SendPeer(waiter.host, ForwardAnswer(waiter.request, answer))]

    def _dispatch_message(self, sender: HostName, message: Message) -> list[Effect]:
        handler = self._handlers.get(type(message))
        if handler is None:
            return []
        return handler(sender, message, self._clock.now_ms())

    def _receive_results(
        self, sender: HostName, message: BatchResults, now_ms: int
    ) -> list[Effect]:
        load = self._planner.loads.get(sender)
        if load is not None:
            self._planner.loads[sender] = attrs.evolve(
                load,
                free_slots=message.free_slots,
                queued_ms=message.queued_ms,
                queued_ms_by_class=message.queued_ms_by_class,
                free_by_target=message.free_by_target,
            )
        return self._owner.receive_results(sender, message, now_ms)

    def _receive_forwarded_job(
        self, sender: HostName, message: ForwardJob, now_ms: int
    ) -> list[Effect]:
        return self._accept(_Waiter(message.request, sender), message.job)

    def _receive_heartbeat(
        self, sender: HostName, message: Heartbeat, now_ms: int
    ) -> list[Effect]:
        previous = self._peers.get(sender)
        self._peers[sender] = message
        self._planner.loads[sender] = HomeLoad(
            message.free_slots,
            message.queued_ms,
            message.targets,
            message.slots,
            message.ejected,
            message.queued_ms_by_class,
            message.free_by_target,
        )
        self._update_fleet_ejections()
        was_draining = previous is not None and previous.is_draining
        if message.is_draining != was_draining:
            return self._assign_homes()
        return []

    def _refresh_own_load(self) -> None:
        load = self._home.load(self._clock.now_ms())
        self._planner.loads[self.name] = load

    def _update_fleet_ejections(self) -> None:
        """Tell the home the ejections and targets of this host's data centre."""
        own_data_centre = self.name.data_centre
        others = [
            load
            for home, load in self._planner.loads.items()
            if home != self.name and home.data_centre == own_data_centre
        ]
        ejected = sum(load.ejected for load in others)
        targets = sum(load.targets for load in others) + self._home.own_target_count
        self._home.set_fleet_ejections(ejected, targets)

    def _assign_homes(self) -> list[Effect]:
        """Compute the homes of all targets again and apply the assignment."""
        home_of: dict[str, HostName] = {}
        for data_centre in {each.data_centre for each in self._listed_targets}:
            home_of |= self._homes_in(data_centre)
        self._home_of = home_of
        own = frozenset(t for t, home in home_of.items() if home == self.name)
        self._planner.replace_targets(
            {each.name: each for each in self._listed_targets}, home_of
        )
        local_targets = [
            t for t in self._listed_targets if t.data_centre == self.name.data_centre
        ]
        effects = self._home.replace_targets(local_targets, own, self._clock.now_ms())
        self._refresh_own_load()
        return effects

    def _homes_in(self, data_centre: str) -> dict[str, HostName]:
        remaining = [
            target.name
            for target in self._listed_targets
            if target.data_centre == data_centre and not target.is_leaving
        ]
        return assign_homes(remaining, self._home_candidates(data_centre))

    def _home_candidates(self, data_centre: str) -> list[HostName]:
        """Return the hosts that may be a home, in order.

        Draining hosts are excluded, except this host if there is no other candidate.
        """
        peers = [
            peer
            for peer, heartbeat in self._peers.items()
            if peer.data_centre == data_centre
            and not (heartbeat is not None and heartbeat.is_draining)
            and peer not in self._disconnected
        ]
        is_needed = not (self._is_draining and peers)
        if is_needed and self.name.data_centre == data_centre:
            peers.append(self.name)
        return sorted(peers)

    def _deliver_local(self, effects: list[Effect]) -> list[Effect]:
        """Deliver messages to this host and send the answers of jobs that have ended.

        Returns the remaining effects, which the caller carries out.
        """
        pending = deque(effects)
        outgoing: list[Effect] = []
        while pending or self._enqueue_job_answers(pending):
            effect = pending.popleft()
            if isinstance(effect, SendPeer) and effect.to == self.name:
                pending.extend(self._dispatch_message(self.name, effect.message))
            else:
                outgoing.append(effect)
        return outgoing

    def _enqueue_job_answers(self, pending: deque[Effect]) -> bool:
        """End answered jobs and queue their replies; return whether any is pending."""
        for answer in self._owner.take_answers():
            pending.extend(self._finish_job(answer))
        return bool(pending)


def _answer_to_refused_claim(job_id: str, refusal: ClaimRefusal) -> JobAnswer:
    reason = reason_of_refusal(refusal)
    if isinstance(refusal, IdExpired) and not refusal.is_proven_unclaimed:
        detail = "the id expired too long ago to tell whether it was used"
        return outcome_unknown(job_id, reason, detail)
    return not_run(job_id, reason)
